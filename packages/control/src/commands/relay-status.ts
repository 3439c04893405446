/** `gateheadctl status` for relays: all side by side, what they disagree about first. Neither safety nor efficiency rests here. */
import {relayStatus, type RelayStatus} from '@gatehead/schema/relay-status';
import {type FleetFile} from '../utils/files.js';
import {askFleet, type Answered} from '../utils/fleet.js';
import {print, printTable} from '../utils/output.js';
import {findMemberDisagreements, findSilent, showSideBySide} from './side-by-side.js';

const millisecondsPerSecond = 1000;

/** Finds what relays disagree about, in words. */
export function findRelayDisagreements(answers: ReadonlyArray<Answered<RelayStatus>>): string[] {
	const known = answers.flatMap(each => (each.ok ? [each.answer] : []));
	const found = findSilent(answers);
	const versions = new Set(known.map(({routingVersion}) => routingVersion));
	if (versions.size > 1) {
		found.push(`configurations in force differ: ${[...versions].join(', ')}`);
	}

	for (const {host, isReady, isDirectoryDown, services} of known) {
		if (!isReady) {
			found.push(`${host} is not ready`);
		}

		if (isDirectoryDown) {
			found.push(`${host} cannot read the directory`);
		}

		for (const {service, ready, paused} of services) {
			if (ready === paused) {
				found.push(`${host} has no endpoint for ${service}: ${paused} of ${ready} set aside`);
			}
		}
	}

	return [...found, ...findMemberDisagreements(known)];
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
		`${open} (${waiting} wait)`,
		String(retryLeft),
		`${subset.own + 1}/${subset.count}`,
		`${alive}/${members.length}`,
		endpoints,
	];
}

/** Signals of endpoints in force, by host. */
export function listSignals(answers: ReadonlyArray<Answered<RelayStatus>>): string[][] {
	const known = answers.flatMap(each => (each.ok ? [each.answer] : []));
	return known.flatMap(({host, signals}) => signals.map(({endpoint, signal, value, leftMs, source}) => [
		endpoint, signal, value === undefined ? '' : `${value}/s`, leftMs === undefined ? '' : `${(leftMs / millisecondsPerSecond).toFixed(1)} s`, source, host,
	])).toSorted((left, right) => (left.join(' ') < right.join(' ') ? -1 : 1));
}

/** Prints all relays, and the signals of endpoints that they act on; exit code 1 where they disagree. */
export async function showRelayStatus(fleet: FleetFile, isJson: boolean): Promise<number> {
	const answers = await askFleet(fleet, '/status', data => relayStatus.parse(data));
	const exitCode = showSideBySide({
		answers, disagreements: findRelayDisagreements(answers), headings: ['host', 'hall', 'ready', 'version', 'revision', 'open', 'retries left', 'subset', 'members', 'endpoints'], rowOf,
	}, isJson);
	const signals = listSignals(answers);
	if (!isJson && signals.length > 0) {
		print('');
		printTable(['endpoint', 'signal', 'limit', 'left', 'received by', 'at'], signals);
	}

	return exitCode;
}
