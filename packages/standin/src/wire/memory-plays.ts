/** Plays calls at a real host process, and measures the peak of its memory. */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {ignore} from '@gatehead/policy/utils/ignore';
import {splitAddress} from '@gatehead/schema/address';
import {type HostProcess} from '../soak/host-process.js';
import {sendRequest, type CallerAnswer} from './client.js';
import {sendFlood, sendPacedFlood} from './flood.js';
import {startMemoryBed, type MemoryBed, type Stage} from './memory-bed.js';
import {type ScriptedCall} from './scripted-endpoint.js';

export const okStatus = 200;
const bytesPerMegabyte = 1_000_000;
/** Share of a machine's memory that its host may use at its peak. */
export const usableShare = 0.9;
/** Bytes that each endless body brings in a second. */
const floodBytesPerS = 3_000_000;
/** How long endpoints are faulty, and how long calls go on, in milliseconds. */
const faultyMs = 5000;
export const playedMs = 6000;
/** Largest response that a host accepts of a plain service. */
export const largestBodyBytes = 8_388_608;
const requestBodyBytes = 4_194_304;
const requestPartBytes = 65_536;
/** Calls whose responses stop after so many bytes, and calls whose responses come in chunks of one byte without end. */
const stalledCalls = 46;
const stalledBytes = 60_000;
const tinyCalls = 30;
/** Sound calls beside others. */
export const soundCalls = 30;
/** Callers with large bodies, and callers that do not read. */
export const slowCallers = 60;
const routeTimes = {timeoutMs: 4000, targetLatencyMs: 900};

const runHead = (id: string) => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n`;

/** What a host did. */
export type MemoryResult = {
	readonly answers: readonly CallerAnswer[];
	readonly isRunning: boolean;
	readonly peakMb: number;
};

function resultOf(host: HostProcess | undefined, answers: readonly CallerAnswer[]): MemoryResult {
	return {answers, isRunning: host?.isRunning ?? false, peakMb: Math.round((host?.readPeakBytes() ?? 0) / bytesPerMegabyte)};
}

/** Endpoints that answer with bodies without end, and calls beside. */
export type FloodCase = {
	readonly name: string;
	/** Memory of the machine, in megabytes. */
	readonly memoryMb: number;
	readonly path: string;
	readonly stages: readonly Stage[];
	/** Whether an endpoint, by its number, answers a call with a body without end. */
	readonly isFaulty: (call: ScriptedCall, endpoint: number) => boolean;
	readonly callsPerS: number;
};

export const plainStages: readonly Stage[] = Array.from({length: 24}, () => undefined);
export const modelStages: readonly Stage[] = ['prefill', 'prefill', 'prefill', 'prefill', 'prefill', 'prefill', 'decode', 'decode', 'decode', 'decode', 'decode', 'decode', undefined];
export const soundFrom = 20;
export const isPrefill = ({headers}: ScriptedCall) => headers.get('stage') === 'prefill';
export const isRun = ({id, headers}: ScriptedCall) => id !== '' && headers.get('stage') !== 'prefill';

/** Opens a connection for a request whose response is not read. */
export function ask(address: string, id: string): Socket {
	const {ip, port} = splitAddress(address);
	const socket = connect({host: ip, port});
	socket.on('error', ignore);
	socket.pause();
	socket.write(`POST /once/large HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 15000\r\nToken-Counts: 1,1\r\nContent-Length: 0\r\n\r\n`);
	return socket;
}

/** Sends most of a large body a part at a time, then leaves. */
export async function sendSlowBody(address: string, id: string): Promise<void> {
	const {ip, port} = splitAddress(address);
	const socket = connect({host: ip, port});
	socket.on('error', ignore);
	socket.resume();
	socket.write(`POST /once/1 HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 15000\r\nToken-Counts: 1,1\r\nContent-Length: ${requestBodyBytes}\r\n\r\n`);
	for (let sent = 0; sent < requestBodyBytes - requestPartBytes && !socket.destroyed; sent += requestPartBytes) {
		if (!socket.writableNeedDrain) {
			socket.write(Buffer.alloc(requestPartBytes));
		}

		await pause(50);
	}

	socket.destroy();
}

/** Sends calls at a steady rate, however long each takes. */
async function sendSteadily({hosts: [host]}: MemoryBed, {path, callsPerS}: FloodCase, lastsMs: number): Promise<CallerAnswer[]> {
	const startedAt = performance.now();
	const answers: Array<Promise<CallerAnswer>> = [];
	while (performance.now() - startedAt < lastsMs) {
		while (answers.length < (performance.now() - startedAt) * callsPerS / 1000) {
			answers.push(sendRequest({
				address: host?.caller ?? '', id: `call-${answers.length}`, path, headers: {'Deadline-Ms': String(routeTimes.timeoutMs)},
			}));
		}

		await pause(5);
	}

	return Promise.all(answers);
}

/** Plays calls before faulty endpoints. */
export async function playFloods(program: string, each: FloodCase): Promise<MemoryResult> {
	const {memoryMb, stages, isFaulty} = each;
	let isOver = false;
	const bed = await startMemoryBed({
		program, memoryMb, hosts: 1, stages, routeTimes,
		intercept(call, endpoint) {
			if (isOver || call.target.startsWith('/api/') || !isFaulty(call, endpoint)) {
				return false;
			}

			sendPacedFlood(call.socket, runHead(call.id), floodBytesPerS);
			return true;
		},
	});
	try {
		setTimeout(() => {
			isOver = true;
		}, faultyMs);
		const answers = await sendSteadily(bed, each, playedMs);
		return resultOf(bed.hosts[0], answers);
	} finally {
		await bed.stop();
	}
}

/** Plays calls at a host whose endpoints are sound; a path that ends in `large` or an id that begins with `unread` gets the largest response; one that ends in `stalled` or `tiny`, one that stops in its middle, or chunks of one byte without end. */
export async function playSound(program: string, memoryMb: number, run: (send: (path: string) => Promise<CallerAnswer>, host: HostProcess) => Promise<readonly CallerAnswer[]>): Promise<MemoryResult> {
	const bed = await startMemoryBed({
		program, memoryMb, hosts: 1, stages: [undefined, undefined, undefined], routeTimes: {timeoutMs: 15_000, targetLatencyMs: 900},
		intercept({id, target, socket}) {
			if (target.endsWith('stalled')) {
				socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Seal: seal\r\nContent-Length: 100000\r\n\r\n${'x'.repeat(stalledBytes)}`);
				return true;
			}

			if (target.endsWith('tiny')) {
				sendFlood(socket, {head: runHead(id), repeated: '1\r\nx\r\n'}, false);
				return true;
			}

			if (!target.endsWith('large')) {
				return false;
			}

			socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Seal: seal\r\nContent-Length: ${largestBodyBytes}\r\n\r\n`);
			socket.write('x'.repeat(largestBodyBytes));
			return true;
		},
	});
	try {
		const [host] = bed.hosts as [HostProcess]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- there is one
		let sent = 0;
		const answers = await run(async path => {
			sent += 1;
			return sendRequest({
				address: host.caller, id: `sound-${sent}`, path, headers: {'Deadline-Ms': '15000'},
			});
		}, host);
		return resultOf(host, answers);
	} finally {
		await bed.stop();
	}
}

/** Plays calls whose responses stop in their middle, calls whose responses come in tiny chunks without end, and sound ones beside; `others` gets the answers to these. */
export async function playStalled(program: string, memoryMb: number, others: CallerAnswer[]): Promise<MemoryResult> {
	return playSound(program, memoryMb, async send => {
		const stalled = Array.from({length: stalledCalls}, async () => send('/once/stalled'));
		await pause(playedMs / 4);
		const tiny = Array.from({length: tinyCalls}, async () => send('/once/tiny'));
		others.push(...await Promise.all(Array.from({length: soundCalls}, async (_, index) => send(`/once/${index}`))));
		return Promise.all([...stalled, ...tiny]);
	});
}
