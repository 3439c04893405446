/** Status output shared by relays and other hosts: disagreements, then one row per host. */
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type HostResult} from '../utils/fleet.js';
import {
	exitCodes, print, printJson, printTable,
} from '../utils/output.js';

/** A host and its view of the cluster's members. */
export type MemberView = {
	readonly host: string;
	readonly members: ReadonlyArray<Pick<MemberRecord, 'host' | 'state'>>;
};

/** Query results of a fleet and their presentation. */
export type HostTable<Answer> = {
	readonly results: ReadonlyArray<HostResult<Answer>>;
	readonly disagreements: readonly string[];
	readonly headings: readonly string[];
	readonly rowOf: (answer: Answer) => string[];
};

/** Describes the hosts that did not respond. */
export function findUnreachable(results: ReadonlyArray<HostResult<unknown>>): string[] {
	return results.flatMap(each => (each.ok ? [] : [`${each.host} did not respond: ${each.code} ${each.reason}`]));
}

/** Describes members that responded to the query but that a host considers dead or suspect. */
export function findMemberDisagreements(views: readonly MemberView[]): string[] {
	const answering = new Set(views.map(each => each.host));
	const found: string[] = [];
	for (const {host, members} of views) {
		for (const member of members) {
			if (answering.has(member.host) && (member.state === 'dead' || member.state === 'suspect')) {
				found.push(`${host} considers ${member.host} ${member.state}, but it responded`);
			}
		}
	}

	return found;
}

/** Prints the status of all hosts; exit code 1 if they disagree. */
export function printHostTable<Answer>({results, disagreements, headings, rowOf}: HostTable<Answer>, isJson: boolean): number {
	const exitCode = disagreements.length === 0 ? exitCodes.ok : exitCodes.negative;
	if (isJson) {
		printJson({disagreements, hosts: results});
		return exitCode;
	}

	for (const line of disagreements) {
		print(`! ${line}`);
	}

	printTable(headings, results.map(each => (each.ok ? rowOf(each.answer) : [each.host, '', 'no response'])));
	return exitCode;
}
