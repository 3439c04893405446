/** The `gateheadctl status` command for fleets with relays. */
import {relayStatus, type RelayStatus} from '@gatehead/schema/relay-status';
import {type FleetFile} from '../utils/files.js';
import {queryFleet, type HostResult} from '../utils/fleet.js';
import {print, printTable} from '../utils/output.js';
import {printServiceLoad} from './service-load.js';
import {findMemberDisagreements, findUnreachable, printHostTable} from './host-table.js';

const millisecondsPerSecond = 1000;

/** Describes disagreements and failures of relays. */
export function findRelayDisagreements(results: ReadonlyArray<HostResult<RelayStatus>>): string[] {
	const statuses = results.flatMap(each => (each.ok ? [each.answer] : []));
	const found = findUnreachable(results);
	const versions = new Set(statuses.map(({routingVersion}) => routingVersion));
	if (versions.size > 1) {
		found.push(`configurations in force differ: ${[...versions].join(', ')}`);
	}

	for (const {host, isReady, isDirectoryDown, services, unreachable} of statuses) {
		for (const service of unreachable) {
			found.push(`${host} has lost its links to ${service}`);
		}

		if (!isReady) {
			found.push(`${host} is not ready`);
		}

		if (isDirectoryDown) {
			found.push(`${host} cannot read the directory`);
		}

		for (const {service, ready, paused} of services) {
			if (ready === paused) {
				found.push(`${host} has no endpoint for ${service}: ${paused} of ${ready} paused`);
			}
		}
	}

	return [...found, ...findMemberDisagreements(statuses)];
}

function rowOf(status: RelayStatus): string[] {
	const {host, hall, isReady, routingVersion, directoryRevision, directoryEpoch, open, waiting, retryLeft, subset, members, services} = status;
	const alive = members.filter(each => each.state === 'alive').length;
	const endpoints = services.map(({service, ready, paused}) => `${service} ${ready - paused}/${ready}`).join(', ');
	return [
		host,
		hall,
		isReady ? 'yes' : 'no',
		String(routingVersion),
		directoryEpoch === undefined ? String(directoryRevision) : `${directoryRevision} of ${directoryEpoch}`,
		`${open} (${waiting} waiting)`,
		String(retryLeft),
		`${subset.own + 1}/${subset.count}`,
		`${alive}/${members.length}`,
		endpoints,
	];
}

/** Table rows of the endpoint signals that relays act on, ordered by endpoint. */
export function listSignals(results: ReadonlyArray<HostResult<RelayStatus>>): string[][] {
	const statuses = results.flatMap(each => (each.ok ? [each.answer] : []));
	return statuses.flatMap(({host, signals}) => signals.map(({endpoint, signal, value, leftMs, source}) => [
		endpoint, signal, value === undefined ? '' : `${value}/s`, leftMs === undefined ? '' : `${(leftMs / millisecondsPerSecond).toFixed(1)} s`, source, host,
	])).toSorted((left, right) => (left.join(' ') < right.join(' ') ? -1 : 1));
}

const retryAmounts = ['requests', 'repeats', 'left', 'share', 'lent', 'borrowed'] as const;

/** Table rows of the retry budgets: for each service all hosts together, then each host. */
export function listRetries(results: ReadonlyArray<HostResult<RelayStatus>>): string[][] {
	const states = results.flatMap(each => (each.ok ? each.answer.retries.map(state => ({...state, host: each.host})) : []));
	const services = [...new Set(states.map(({service}) => service))].toSorted();
	return services.flatMap(service => {
		const ofService = states.filter(state => state.service === service);
		const totals = retryAmounts.map(column => ofService.reduce((sum, state) => sum + state[column], 0));
		return [
			[service, 'all', ...totals.map(amount => amount.toFixed(1))],
			...ofService.map(state => [service, state.host, ...retryAmounts.map(column => state[column].toFixed(1))]),
		];
	});
}

/** Prints the status of all relays and the endpoint signals that they act on; exit code 1 if they disagree. */
export async function showRelayStatus(fleet: FleetFile, isJson: boolean): Promise<number> {
	const results = await queryFleet(fleet, '/status', data => relayStatus.parse(data));
	const exitCode = printHostTable({
		results, disagreements: findRelayDisagreements(results), headings: ['host', 'hall', 'ready', 'version', 'revision', 'open', 'retries left', 'subset', 'members', 'endpoints'], rowOf,
	}, isJson);
	const retries = listRetries(results);
	if (!isJson && retries.length > 0) {
		print('');
		printTable(['service', 'host', ...retryAmounts], retries);
	}

	if (!isJson) {
		printServiceLoad(results);
	}

	const signals = listSignals(results);
	if (!isJson && signals.length > 0) {
		print('');
		printTable(['endpoint', 'signal', 'limit', 'left', 'received by', 'at'], signals);
	}

	return exitCode;
}
