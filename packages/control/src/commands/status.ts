/** `gateheadctl status` and `usage`: all hosts side by side, what they disagree about first. Neither safety nor efficiency rests here. */
import process from 'node:process';
import {
	hostStatus, usageRows, type HostStatus, type UsageRows,
} from '@gatehead/schema/admin-protocol';
import {type FleetFile} from '../utils/files.js';
import {askFleet, type Answered} from '../utils/fleet.js';
import {
	exitCodes, print, printJson, printTable,
} from '../utils/output.js';
import {findMemberDisagreements, findSilent, showSideBySide} from './side-by-side.js';

/** Finds what hosts disagree about, in words. */
export function findDisagreements(answers: ReadonlyArray<Answered<HostStatus>>): string[] {
	const found = findSilent(answers);
	const known = answers.flatMap(each => (each.ok ? [each.answer] : []));
	const bundles = new Set(known.map(({bundle: {version, digest}}) => `${version} ${digest.slice(0, 12)}`));
	if (bundles.size > 1) {
		found.push(`bundles in force differ: ${[...bundles].join(', ')}`);
	}

	for (const {host, isReady, isConfigurationDown} of known) {
		if (!isReady) {
			found.push(`${host} is not ready`);
		}

		if (isConfigurationDown) {
			found.push(`${host} cannot read the configuration service`);
		}
	}

	for (const cell of new Set(known.flatMap(({cells}) => cells.map(each => each.cell)))) {
		const keepers = known.filter(({cells}) => cells.some(each => each.cell === cell)).map(each => each.host);
		if (keepers.length > 1) {
			found.push(`cell ${cell} is kept twice, by ${keepers.join(' and ')}`);
		}
	}

	return [...found, ...findMemberDisagreements(known)];
}

/** Prints all hosts; exit code 1 where they disagree. */
export async function showStatus(fleet: FleetFile, isJson: boolean): Promise<number> {
	const answers = await askFleet(fleet, '/v1/status', data => hostStatus.parse(data));
	return showSideBySide({
		answers, disagreements: findDisagreements(answers), headings: ['host', 'hall', 'state', 'ready', 'bundle', 'open', 'members', 'keeps'], rowOf,
	}, isJson);
}

function rowOf({host, hall, state, isReady, bundle, open, members, cells}: HostStatus): string[] {
	const alive = members.filter(each => each.state === 'alive').length;
	const kept = cells.map(({cell, free, slots, waiting}) => `${cell} (${free} of ${slots} slots free, ${waiting} wait)`).join(', ');
	return [host, hall, state, isReady ? 'yes' : 'no', String(bundle.version), String(open), `${alive}/${members.length}`, kept];
}

/** Use of one caller over the fleet. */
export type Use = {
	readonly caller: string;
	readonly member: string;
	readonly priority: number;
	readonly share: number;
	readonly counts: Readonly<Record<string, number>>;
};

/** Adds up the hosts' rows by caller. */
export function addUsage(all: readonly UsageRows[]): Use[] {
	const byCaller = new Map<string, Use>();
	for (const {caller, member, priority, share, counts} of all.flat()) {
		const known = byCaller.get(caller)?.counts ?? {};
		const names = new Set([...Object.keys(known), ...Object.keys(counts)]);
		byCaller.set(caller, {
			caller, member, priority, share, counts: Object.fromEntries([...names].toSorted().map(name => [name, (known[name] ?? 0) + (counts[name] ?? 0)])),
		});
	}

	return [...byCaller.values()].toSorted((left, right) => (left.member + left.caller < right.member + right.caller ? -1 : 1));
}

/** How usage is printed. */
export type UsageForm = 'text' | 'json' | 'csv';

/** Prints the use of all callers; exit code 1 where a host did not answer, so that no audit rests on a part. */
export async function showUsage(fleet: FleetFile, form: UsageForm): Promise<number> {
	const answers = await askFleet(fleet, '/v1/usage', data => usageRows.parse(data));
	const uses = addUsage(answers.flatMap(each => (each.ok ? [each.answer] : [])));
	const silent = answers.filter(each => !each.ok).map(each => each.host);
	const names = [...new Set(uses.flatMap(({counts}) => Object.keys(counts)))].toSorted();
	const rows = uses.map(({caller, member, priority, share, counts}) => [member, caller, String(priority), String(share), ...names.map(name => String(counts[name] ?? 0))]);
	const headings = ['member', 'caller', 'priority', 'share', ...names];
	const printers: Record<UsageForm, () => void> = {
		text() {
			printTable(headings, rows);
		},
		json() {
			printJson({uses, silent});
		},
		csv() {
			for (const row of [headings, ...rows]) {
				print(row.join(','));
			}
		},
	};
	printers[form]();
	if (silent.length > 0 && form !== 'json') {
		process.stderr.write(`no answer from ${silent.join(', ')}: these figures are a part only\n`);
	}

	return silent.length === 0 ? exitCodes.ok : exitCodes.negative;
}
