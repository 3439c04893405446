/** Hosts side by side, what they disagree about first: shared by the status of own hosts and of relays. Reads only; neither safety nor efficiency rests here. */
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type Answered} from '../utils/fleet.js';
import {
	exitCodes, print, printJson, printTable,
} from '../utils/output.js';

/** What one host holds of the others. */
export type MemberView = {
	readonly host: string;
	readonly members: ReadonlyArray<Pick<MemberRecord, 'host' | 'state'>>;
};

/** The answers of a fleet, and how they are shown. */
export type SideBySide<Answer> = {
	readonly answers: ReadonlyArray<Answered<Answer>>;
	readonly disagreements: readonly string[];
	readonly headings: readonly string[];
	readonly rowOf: (answer: Answer) => string[];
};

/** Names the hosts that do not answer. */
export function findSilent(answers: ReadonlyArray<Answered<unknown>>): string[] {
	return answers.flatMap(each => (each.ok ? [] : [`${each.host} does not answer: ${each.code} ${each.reason}`]));
}

/** Who is held to be gone by some host although it answers here. */
export function findMemberDisagreements(known: readonly MemberView[]): string[] {
	const answering = new Set(known.map(each => each.host));
	const found: string[] = [];
	for (const {host, members} of known) {
		for (const member of members) {
			if (answering.has(member.host) && (member.state === 'dead' || member.state === 'suspect')) {
				found.push(`${host} holds ${member.host} to be ${member.state}, and it answers`);
			}
		}
	}

	return found;
}

/** Prints all hosts; exit code 1 where they disagree. */
export function showSideBySide<Answer>({answers, disagreements, headings, rowOf}: SideBySide<Answer>, isJson: boolean): number {
	const exitCode = disagreements.length === 0 ? exitCodes.ok : exitCodes.negative;
	if (isJson) {
		printJson({disagreements, hosts: answers});
		return exitCode;
	}

	for (const line of disagreements) {
		print(`! ${line}`);
	}

	printTable(headings, answers.map(each => (each.ok ? rowOf(each.answer) : [each.host, '', 'no answer'])));
	return exitCode;
}
