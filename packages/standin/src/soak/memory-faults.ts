/** Faults that fill the memory of hosts: responses without end, slow large requests, and large responses that nobody reads. */
import {Buffer} from 'node:buffer';
import {setTimeout as pause} from 'node:timers/promises';
import {pick} from '@gatehead/policy/utils/random';
import {openCaller, writeRequest, type RawCaller} from '../wire/raw-caller.js';
import {endlessFaults, largePath} from '../wire/replica-server.js';
import {platformTimes} from '../wire/world.js';
import {type Bed} from './bed.js';

/** Chance of a replica to answer without end where some do. */
const floodShare = 0.6;
const callersPerFault = 32;
/** What callers send in all, and at once, in bytes, and how often; in milliseconds. */
const bodyBytes = 4_000_000;
const part = Buffer.alloc(65_536, 'x').toString();
const partIntervalMs = 50;
/** Time between two reads of a caller that reads slowly, in milliseconds. */
const readIntervalMs = 100;

/** Connections to one host: none where it is down. */
async function openCallers({random, hosts}: Bed, isPaused: boolean): Promise<RawCaller[]> {
	const address = pick(random, hosts)?.caller ?? '';
	const opened = await Promise.allSettled(Array.from({length: callersPerFault}, async () => openCaller(address, isPaused)));
	return opened.filter(each => each.status === 'fulfilled').map(({value}) => value);
}

/** An id of its own for each request. */
function nameRequest(kind: string, index: number): string {
	return `${kind}-${index}-${Math.round(performance.now())}`;
}

/** Does the same to all callers at an interval, for a time, and then closes their connections. */
async function useCallers(callers: readonly RawCaller[], lastsMs: number, intervalMs: number, use: (caller: RawCaller) => void): Promise<void> {
	const endsAt = performance.now() + lastsMs;
	while (performance.now() < endsAt) {
		for (const caller of callers) {
			use(caller);
		}

		await pause(intervalMs);
	}

	for (const {socket} of callers) {
		socket.destroy();
	}
}

/** Requests for large responses, without a read. */
async function requestLarge(bed: Bed, lastsMs: number, use: (caller: RawCaller) => void): Promise<void> {
	const callers = await openCallers(bed, true);
	for (const [index, {socket}] of callers.entries()) {
		socket.write(writeRequest(largePath, nameRequest('large', index), 'question'));
	}

	await useCallers(callers, lastsMs, readIntervalMs, use);
}

/** Each fault, with what ends it. */
export const memoryFaults: Readonly<Record<string, (bed: Bed, lastsMs: number) => Promise<void>>> = {
	/** Replicas answer without end, in heads, bodies, events and to prefills, until their callers close. */
	async floodResponses(bed, lastsMs) {
		const {random, replicas, proxies} = bed;
		const flooding = new Set([...replicas.keys()].filter(() => random.next() < floodShare));
		const flooded = replicas.filter((_, index) => flooding.has(index));
		for (const replica of flooded) {
			replica.fault = pick(random, endlessFaults) ?? 'none';
		}

		const callers = await openCallers(bed, false);
		for (const [index, {socket}] of callers.entries()) {
			socket.write(writeRequest('/repeatable/1', nameRequest('flooded', index), 'question'));
		}

		await useCallers(callers, 2 * lastsMs, readIntervalMs, () => {
			// Their requests stay open side by side
		});
		for (const replica of flooded) {
			replica.fault = 'none';
		}

		await pause(platformTimes.timeoutMs);
		for (const proxy of proxies.filter((_, index) => flooding.has(index))) {
			proxy.reset();
		}
	},
	/** Callers send large bodies slowly, side by side. */
	async sendSlowly(bed, lastsMs) {
		const callers = await openCallers(bed, false);
		for (const [index, {socket}] of callers.entries()) {
			socket.write(writeRequest('/once/1', nameRequest('slow', index), '', bodyBytes));
		}

		await useCallers(callers, 2 * lastsMs, partIntervalMs, ({socket}) => {
			if (!socket.writableNeedDrain && socket.bytesWritten < bodyBytes) {
				socket.write(part);
			}
		});
	},
	/** Callers read large responses slowly. */
	async readSlowly(bed, lastsMs) {
		await requestLarge(bed, 2 * lastsMs, ({socket}) => {
			socket.resume();
			setImmediate(() => {
				socket.pause();
			});
		});
	},
	/** Callers do not read large responses. */
	async leaveUnread(bed, lastsMs) {
		await requestLarge(bed, 2 * lastsMs, () => {
			// Nothing is read
		});
	},
};
