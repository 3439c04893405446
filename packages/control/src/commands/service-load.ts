/** Tables of the load of services, from the states that relays report; a table without rows is left out. */
import {type RelayStatus, type ServiceState} from '@gatehead/schema/relay-status';
import {print, printTable} from '../utils/output.js';
import {type HostResult} from '../utils/fleet.js';

type Results = ReadonlyArray<HostResult<RelayStatus>>;

type LoadTable = {
	readonly headings: readonly string[];
	readonly listRows: (results: Results) => string[][];
};

/** The state of one service at one host. */
type ReportedService = ServiceState & {readonly host: string};

function compareNames(left: string, right: string): number {
	return left === right ? 0 : (left < right ? -1 : 1);
}

function listServices(results: Results): ReportedService[] {
	const reported = results.flatMap(each => (each.ok ? each.answer.services.map(state => ({...state, host: each.host})) : []));
	return reported.toSorted((left, right) => compareNames(left.service, right.service));
}

/** Sums counts over hosts by the words that name them. */
function sumRows(entries: Iterable<readonly [names: readonly string[], count: number]>): string[][] {
	const sums = new Map<string, {readonly names: readonly string[]; readonly count: number}>();
	for (const [names, count] of entries) {
		const key = JSON.stringify(names);
		sums.set(key, {names, count: (sums.get(key)?.count ?? 0) + count});
	}

	return [...sums.values()].map(({names, count}) => [...names, String(count)]);
}

/** Rows of waiting requests by service, urgency and workspace, over all hosts. */
export function listWaiting(results: Results): string[][] {
	const rows = sumRows(listServices(results).flatMap(({service, waiting = []}) => waiting.map(({urgency, workspace, count}) => [[service, String(urgency), workspace ?? '-'], count] as const)));
	return rows.toSorted(([leftService = '', leftUrgency], [rightService = '', rightUrgency]) => compareNames(leftService, rightService) || Number(leftUrgency) - Number(rightUrgency));
}

/** Rows of refusals by service and cause, over all hosts, most frequent first. */
export function listRefusals(results: Results): string[][] {
	const rows = sumRows(listServices(results).flatMap(({service, refusals = []}) => refusals.map(({cause, count}) => [[service, cause], count] as const)));
	return rows.toSorted(([leftService = '', , leftCount], [rightService = '', , rightCount]) => compareNames(leftService, rightService) || Number(rightCount) - Number(leftCount));
}

/** Rows of the use and share of each workspace, as each host sees them. */
export function listShares(results: Results): string[][] {
	return listServices(results).flatMap(({service, host, shares = []}) => shares.map(({workspace, use, share}) => [service, workspace, host, use.toFixed(2), share.toFixed(2)]));
}

/** Rows of endpoint paces by service and activity, over all hosts that report one; the slowest first. */
export function listPaces(results: Results): string[][] {
	const paces = new Map<string, {readonly names: readonly string[]; readonly values: number[]}>();
	for (const {service, paces: reported = []} of listServices(results)) {
		for (const {endpoint, activity, pace} of reported) {
			const names = [service, endpoint, activity];
			const entry = paces.get(names.join(' ')) ?? {names, values: []};
			entry.values.push(pace);
			paces.set(names.join(' '), entry);
		}
	}

	return [...paces.values()]
		.map(({names, values}) => ({
			names, lowest: Math.min(...values), highest: Math.max(...values), mean: values.reduce((sum, value) => sum + value, 0) / values.length,
		}))
		.toSorted((left, right) => right.mean - left.mean)
		.map(({names, mean, lowest, highest}) => [...names, mean.toFixed(2), `${lowest.toFixed(2)} to ${highest.toFixed(2)}`]);
}

/** Rows of promised retries, preemptions and unread bytes by service and host, without hosts that report none of them. */
export function listAmounts(results: Results): string[][] {
	return listServices(results)
		.filter(({promisedReturns = 0, preemptions, unreadBytes = 0}) => promisedReturns > 0 || unreadBytes > 0 || preemptions !== undefined)
		.map(({service, host, promisedReturns, preemptions, unreadBytes}) => [service, host, textOf(promisedReturns), textOf(preemptions?.expected, 1), textOf(preemptions?.observed), textOf(unreadBytes)]);
}

function textOf(amount: number | undefined, digits = 0): string {
	return amount === undefined ? '' : amount.toFixed(digits);
}

const tables: readonly LoadTable[] = [
	{headings: ['service', 'urgency', 'workspace', 'waiting'], listRows: listWaiting},
	{headings: ['service', 'refused because of', 'requests'], listRows: listRefusals},
	{headings: ['service', 'workspace', 'host', 'use', 'share'], listRows: listShares},
	{headings: ['service', 'endpoint', 'activity', 'pace', 'at hosts'], listRows: listPaces},
	{headings: ['service', 'host', 'promised retries', 'preemptions expected', 'observed', 'unread bytes'], listRows: listAmounts},
];

/** Reports whether load is managed; prints nothing if no host reports it. */
export function describeManagement(results: Results): string | undefined {
	const known = results.flatMap(each => (each.ok && each.answer.isLoadManaged !== undefined ? [each.answer.isLoadManaged] : []));
	const managed = known.filter(Boolean).length;
	if (known.length === 0) {
		return undefined;
	}

	return managed === known.length ? 'load is managed' : (managed === 0 ? 'load is not managed' : `load is managed at ${managed} of ${known.length} hosts`);
}

/** Prints the tables that have rows. */
export function printServiceLoad(results: Results): void {
	const management = describeManagement(results);
	if (management !== undefined) {
		print('');
		print(management);
	}

	for (const {headings, listRows} of tables) {
		const rows = listRows(results);
		if (rows.length > 0) {
			print('');
			printTable([...headings], rows);
		}
	}
}
