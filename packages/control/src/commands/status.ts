/** The `gateheadctl status` and `gateheadctl usage` commands. */
import process from 'node:process';
import {
	hostStatus, usageRows, type HostStatus, type UsageRows,
} from '@gatehead/schema/admin-protocol';
import {type FleetFile} from '../utils/files.js';
import {queryFleet, type HostResult} from '../utils/fleet.js';
import {
	exitCodes, print, printJson, printTable,
} from '../utils/output.js';
import {findMemberDisagreements, findUnreachable, printHostTable} from './host-table.js';

/** Describes disagreements and failures of hosts. */
export function findDisagreements(results: ReadonlyArray<HostResult<HostStatus>>): string[] {
	const found = findUnreachable(results);
	const statuses = results.flatMap(each => (each.ok ? [each.answer] : []));
	const bundles = new Set(statuses.map(({bundle: {version, digest}}) => `${version} ${digest.slice(0, 12)}`));
	if (bundles.size > 1) {
		found.push(`bundles in force differ: ${[...bundles].join(', ')}`);
	}

	for (const {host, isReady, isConfigurationDown} of statuses) {
		if (!isReady) {
			found.push(`${host} is not ready`);
		}

		if (isConfigurationDown) {
			found.push(`${host} cannot read the configuration service`);
		}
	}

	for (const cell of new Set(statuses.flatMap(({cells}) => cells.map(each => each.cell)))) {
		const owners = statuses.filter(({cells}) => cells.some(each => each.cell === cell)).map(each => each.host);
		if (owners.length > 1) {
			found.push(`cell ${cell} has more than one owner: ${owners.join(', ')}`);
		}
	}

	return [...found, ...findMemberDisagreements(statuses)];
}

/** Prints the status of all hosts; exit code 1 if they disagree. */
export async function showStatus(fleet: FleetFile, isJson: boolean): Promise<number> {
	const results = await queryFleet(fleet, '/v1/status', data => hostStatus.parse(data));
	return printHostTable({
		results, disagreements: findDisagreements(results), headings: ['host', 'hall', 'state', 'ready', 'bundle', 'open', 'members', 'cells'], rowOf,
	}, isJson);
}

function rowOf({host, hall, state, isReady, bundle, open, members, cells}: HostStatus): string[] {
	const alive = members.filter(each => each.state === 'alive').length;
	const ownedCells = cells.map(({cell, free, slots, waiting}) => `${cell} (${free} of ${slots} slots free, ${waiting} waiting)`).join(', ');
	return [host, hall, state, isReady ? 'yes' : 'no', String(bundle.version), String(open), `${alive}/${members.length}`, ownedCells];
}

/** Usage of a caller, summed over the fleet. */
export type CallerUsage = {
	readonly caller: string;
	readonly member: string;
	readonly priority: number;
	readonly share: number;
	readonly counts: Readonly<Record<string, number>>;
};

/** Sums the rows of all hosts by caller. */
export function sumUsage(all: readonly UsageRows[]): CallerUsage[] {
	const byCaller = new Map<string, CallerUsage>();
	for (const {caller, member, priority, share, counts} of all.flat()) {
		const previous = byCaller.get(caller)?.counts ?? {};
		const names = new Set([...Object.keys(previous), ...Object.keys(counts)]);
		byCaller.set(caller, {
			caller, member, priority, share, counts: Object.fromEntries([...names].toSorted().map(name => [name, (previous[name] ?? 0) + (counts[name] ?? 0)])),
		});
	}

	return [...byCaller.values()].toSorted((left, right) => (left.member + left.caller < right.member + right.caller ? -1 : 1));
}

/** Output format of usage. */
export type UsageFormat = 'text' | 'json' | 'csv';

/** Prints the usage of all callers; exit code 1 if a host did not respond, since the sums are then incomplete. */
export async function showUsage(fleet: FleetFile, form: UsageFormat): Promise<number> {
	const results = await queryFleet(fleet, '/v1/usage', data => usageRows.parse(data));
	const usage = sumUsage(results.flatMap(each => (each.ok ? [each.answer] : [])));
	const unreachable = results.filter(each => !each.ok).map(each => each.host);
	const names = [...new Set(usage.flatMap(({counts}) => Object.keys(counts)))].toSorted();
	const rows = usage.map(({caller, member, priority, share, counts}) => [member, caller, String(priority), String(share), ...names.map(name => String(counts[name] ?? 0))]);
	const headings = ['member', 'caller', 'priority', 'share', ...names];
	const printers: Record<UsageFormat, () => void> = {
		text() {
			printTable(headings, rows);
		},
		json() {
			printJson({uses: usage, silent: unreachable});
		},
		csv() {
			for (const row of [headings, ...rows]) {
				print(row.join(','));
			}
		},
	};
	printers[form]();
	if (unreachable.length > 0 && form !== 'json') {
		process.stderr.write(`no response from ${unreachable.join(', ')}: the sums are incomplete\n`);
	}

	return unreachable.length === 0 ? exitCodes.ok : exitCodes.negative;
}
