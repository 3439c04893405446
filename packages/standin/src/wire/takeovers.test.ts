/** Guards against streams that are cut, run twice or refused while another endpoint is sought for a silent run, and against what such a search leaves behind. */
import {request as httpRequest} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {
	afterEach, describe, it,
} from 'node:test';
import {ignore} from '@gatehead/policy/utils/ignore';
import {splitAddress} from '@gatehead/schema/address';
import {expect} from 'earl';
import {longestSilenceMs, sendRequest, type CallerAnswer} from './client.js';
import {
	startScriptedWorld, streamOf, type CallKind, type EndpointCall, type ScriptedParts, type ScriptedWorld,
} from './scripted-world.js';
import {writeResponse} from './scripted-endpoint.js';
import {LinkProxy} from './link-proxy.js';
import {
	patientTimes, startWorld, until, type World,
} from './world.js';

/** Deadline of the callers, in milliseconds. */
const deadlineMs = 15_000;
/** Time for which the other endpoint holds back an answer that the silent run overtakes, in milliseconds; below the host's own time limits. */
const overtakenMs = 150;

/** Time between two events of a stream that is taken for silent, in milliseconds. */
const silentEventMs = 2000;
/** Time for a close to reach the host, in milliseconds; less than a host takes to check it. */
const closeMs = 10;
/** Time between two events of a slow stream, in milliseconds. */
const slowEventMs = 600;

type Chunk = string;

function chunkOf(text: string): Chunk {
	return `${text.length.toString(16)}\r\n${text}\r\n`;
}

const endChunk = '0\r\n\r\n';

function headOf(id: string, status = 200): string {
	return `HTTP/1.1 ${status} Status\r\nRequest-Id: ${id}\r\nServer-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;
}

/** The events of a stream, one a chunk. */
function eventsOf(id: string): Chunk[] {
	return [0, 1, 2].map(after => chunkOf(streamOf(id, after).slice(0, streamOf(id, after).length - streamOf(id, after + 1).length)));
}

function lastIdOf({headers}: EndpointCall): number {
	return Number(headers.get('last-event-id') ?? 0);
}

/** What one part of a test waits for and another one opens. */
function makeGate() {
	let open: () => void = ignore;
	const opened = new Promise<void>(resolve => {
		open = resolve;
	});
	return {opened, open};
}

type Handler = (call: EndpointCall) => Promise<void> | void;

/** What endpoints do with calls of a kind beyond the first one; absent: as a sound endpoint does. */
type Handlers = {
	readonly firstRun: Handler;
	/** Further runs; absent: sound. */
	readonly otherRun?: Handler;
	readonly reservation?: Handler;
	readonly prefill?: Handler;
};

describe('while another endpoint is sought for a silent run', () => {
	let scripted: ScriptedWorld | undefined;

	afterEach(async () => {
		await scripted?.stop();
		scripted = undefined;
	});

	/** Starts endpoints that answer as given from the first run on. `calls` gathers what reached them. */
	const play = async (parts: ScriptedParts, {firstRun, ...later}: Handlers) => {
		const world = await startScriptedWorld(parts);
		scripted = world;
		const runs: EndpointCall[] = [];
		const controls: string[] = [];
		const handlers: Readonly<Record<CallKind, Handler | undefined>> = {
			run: later.otherRun, reservation: later.reservation, prefill: later.prefill, control: undefined,
		};
		world.intercept = (call, kind) => {
			if (kind === 'control') {
				controls.push(call.target);
			}

			if (kind === 'run') {
				runs.push(call);
			}

			if (runs.length === 0) {
				return false;
			}

			const handler = kind === 'run' && runs.length === 1 ? firstRun : handlers[kind];
			void handler?.(call);
			return handler !== undefined;
		};

		return {world, runs, controls};
	};

	const send = async ({caller}: ScriptedWorld, id: string, extra: Partial<Parameters<typeof sendRequest>[0]> = {}): Promise<CallerAnswer> => sendRequest({
		address: caller, id, path: '/resumable/1', headers: {'Deadline-Ms': String(deadlineMs)}, ...extra,
	});

	const expectWhole = ({status, isWhole, body}: CallerAnswer, id: string) => {
		expect({status, isWhole, body}).toEqual({status: 200, isWhole: true, body: streamOf(id)});
	};

	const answerLate: Handler = async call => {
		await wait(overtakenMs);
		scripted?.answerSoundly(call);
	};

	/** A run that goes on once `isOver` resolves. */
	const pauseUntil = (isOver: Promise<void>): Handler => async ({id, socket}) => {
		const [first = '', ...rest] = eventsOf(id);
		socket.write(headOf(id) + first);
		await isOver;
		socket.write(rest.join('') + endChunk);
	};

	for (const step of ['reservation', 'prefill'] as const) {
		it(`a run that goes on during the other endpoint's ${step} is not run twice`, async () => {
			const id = `overtaken-${step}`;
			const isOver = makeGate();
			const {world, runs} = await play({prefill: 1, decode: 2}, {
				firstRun: pauseUntil(isOver.opened),
				async [step](call: EndpointCall) {
					isOver.open();
					await answerLate(call);
				},
			});
			expectWhole(await send(world, id), id);
			expect(runs.length).toEqual(1);
		});
	}

	// Permits that a stream holds without using them are missing for other streams
	it('a run that goes on leaves no reservation and no permit of the search behind', async () => {
		const id = 'left-behind';
		const allowance = 4;
		const isOver = makeGate();
		const {world, runs, controls} = await play({prefill: 1, decode: 2, retryAllowance: allowance}, {
			async firstRun({id, socket}) {
				const [first = '', second = '', third = ''] = eventsOf(id);
				socket.write(headOf(id) + first);
				await isOver.opened;
				socket.write(second);
				await wait(slowEventMs);
				socket.write(third + endChunk);
			},
			prefill: isOver.open,
		});
		const {relay} = world.world.relays[0]!;
		const countLeft = () => relay.describe().retries.find(({service}) => service === 'model')?.left ?? allowance;
		const leftBefore = countLeft();
		const answer = send(world, id);
		await isOver.opened;
		await wait(slowEventMs / 2);
		// The prompt that was read in vain is an arrival, and stays charged
		const leftDuring = countLeft();
		expectWhole(await answer, id);
		const dropped = controls.filter(target => target.startsWith('/api/hold-drop/')).length;
		expect({runs: runs.length, spent: Math.round(leftBefore - leftDuring), dropped}).toEqual({runs: 1, spent: 1, dropped: 1});
	});

	it('a run that is rejected after the silent one was ended is followed by a further one', async () => {
		const id = 'rejected';
		let rejected = 0;
		const {world, runs} = await play({prefill: 1, decode: 3}, {
			firstRun: pauseUntil(wait(longestSilenceMs)),
			otherRun(call) {
				rejected += 1;
				if (rejected > 2) {
					scripted?.answerSoundly(call);
				} else {
					call.socket.write(writeResponse(503, {'Request-Id': call.id, 'Not-Executed': '1'}));
				}
			},
		});
		expectWhole(await send(world, id), id);
		expect(runs.map(call => lastIdOf(call))).toEqual([0, 1, 1, 1]);
	});

	it('a run whose connection is lost during the search goes on elsewhere once', async () => {
		const id = 'lost';
		let lose: () => void = ignore;
		const {world, runs} = await play({prefill: 1, decode: 2}, {
			firstRun({id, socket}) {
				const [first = ''] = eventsOf(id);
				socket.write(headOf(id) + first);
				lose = () => {
					socket.resetAndDestroy();
				};
			},
			async reservation(call) {
				lose();
				await answerLate(call);
			},
		});
		expectWhole(await send(world, id), id);
		expect(runs.map(call => lastIdOf(call))).toEqual([0, 1]);
	});

	it('a caller that leaves ends the run and the search', async () => {
		const id = 'left';
		const isSought = makeGate();
		let isClosed = false;
		const {world, runs} = await play({prefill: 1, decode: 2}, {
			firstRun({id, socket}) {
				const [first = ''] = eventsOf(id);
				socket.write(headOf(id) + first);
				socket.once('close', () => {
					isClosed = true;
				});
			},
			prefill: isSought.open,
		});
		const {lines} = world.world;
		const {ip, port} = splitAddress(world.caller);
		const call = httpRequest({
			host: ip, port, method: 'POST', path: '/resumable/1', agent: false, headers: {
				Host: 'calls.example', 'Request-Id': id, 'Deadline-Ms': String(deadlineMs), 'Token-Counts': '1000,40', 'Content-Length': 1,
			},
		});
		call.on('error', () => {
			// The caller has left
		});
		call.end('q');
		await isSought.opened;
		call.destroy();
		await until(() => isClosed);
		await until(() => lines.some(({code, facts}) => code === 'requestEnded' && facts.request === id));
		expect({runs: runs.length, errors: lines.filter(({code}) => code === 'internal').length}).toEqual({runs: 1, errors: 0});
	});

	for (const status of [500, 400]) {
		it(`an error body that stalls, status ${status}, ends in one whole response`, async () => {
			const id = `stalled-${status}`;
			const isOver = makeGate();
			const {world, runs} = await play({prefill: 1, decode: 2}, {
				async firstRun({id, socket}) {
					socket.write(headOf(id, status) + chunkOf('an error that '));
					await isOver.opened;
					socket.write(chunkOf('has an end') + endChunk);
				},
				async reservation(call) {
					isOver.open();
					await answerLate(call);
				},
			});
			const answer = await send(world, id);
			const errors = world.world.lines.filter(({code}) => code === 'internal').length;
			expect({
				status: answer.status, isWhole: answer.isWhole, runs: runs.length, errors,
			}).toEqual({
				status: status === 500 ? 200 : status, isWhole: true, runs: status === 500 ? 2 : 1, errors: 0,
			});
		});
	}

	// A prompt that nothing ends makes its endpoint look busy to all hosts
	it('an endpoint whose run was replaced before its head has no prompt left to read', async () => {
		const id = 'unread-prompt';
		const {world, runs} = await play({decode: 2}, {
			firstRun() {
				// Silent
			},
			async otherRun({id, socket}) {
				socket.write(headOf(id));
				for (const event of eventsOf(id)) {
					socket.write(event);
					await wait(slowEventMs);
				}

				socket.write(endChunk);
			},
		});
		const {endpoints, context: {clock}} = world.world.relays[0]!.relay;
		const answer = send(world, id);
		await until(() => runs.length === 2);
		await wait(slowEventMs / 2);
		const endpoint = runs[0]?.endpoint ?? '';
		const startName = endpoints.book.list().find(({endpoint: {id}}) => id.startsWith(endpoint))?.endpoint.id ?? '';
		const queue = endpoints.queueOf(startName);
		const pendingMs = queue.estimateMs(1000, clock.now());
		expectWhole(await answer, id);
		expect(pendingMs).toEqual(queue.estimateMs(1000, clock.now()));
	});

	// Its caller waited for the deadline, although a refusal could still reach it whole
	it('a stream without a head that can not have memory in time any more is refused before its deadline', async () => {
		const id = 'refused-in-time';
		let rejected = 0;
		const {world} = await play({prefill: 1, decode: 2, routeTimes: {...patientTimes, targetLatencyMs: 1500}}, {
			firstRun() {
				// Silent
			},
			otherRun(call) {
				rejected += 1;
				call.socket.write(writeResponse(503, {'Request-Id': call.id, 'Not-Executed': '1'}));
			},
			reservation(call) {
				if (rejected === 0) {
					scripted?.answerSoundly(call);
				} else {
					call.socket.write(writeResponse(503, {}));
				}
			},
		});
		const {status, isWhole, headers} = await send(world, id);
		expect({status, isWhole, hasRetryAfter: headers['retry-after'] !== undefined}).toEqual({status: 503, isWhole: true, hasRetryAfter: true});
	});

	// What takes the place of a run is not secured without memory
	it('a run is not ended for one whose reservation has expired', async () => {
		const id = 'expired';
		// Longer than a reservation lasts
		const prefillMs = 2200;
		const {world, runs} = await play({prefill: 1, decode: 2}, {
			firstRun: pauseUntil(wait(6000)),
			async prefill(call) {
				await wait(prefillMs);
				scripted?.answerSoundly(call);
			},
		});
		expectWhole(await send(world, id), id);
		expect(runs.map(({headers}) => headers.has('kv-hold'))).toEqual([true, true]);
	});

	// A complete error was replaced by another run while the end of its connection was checked
	it('an error that ended with its connection is delivered, and no run begins behind it', async () => {
		const id = 'ended-error';
		const body = 'an error that ends with its connection';
		const isOver = makeGate();
		const {world, runs} = await play({prefill: 1, decode: 2}, {
			async firstRun({id, socket}) {
				socket.write(`HTTP/1.1 400 Status\r\nRequest-Id: ${id}\r\nServer-Seal: seal\r\nConnection: close\r\n\r\n`);
				await isOver.opened;
				socket.end(body);
			},
			async prefill(call) {
				isOver.open();
				await wait(closeMs);
				scripted?.answerSoundly(call);
			},
		});
		const answer = await send(world, id);
		expect({status: answer.status, body: answer.body, runs: runs.length}).toEqual({status: 400, body, runs: 1});
	});
});

describe('while another host is sought for a silent run that was forwarded', () => {
	const links: LinkProxy[] = [];
	let world: World | undefined;

	afterEach(async () => {
		await world?.stop();
		await Promise.all(links.map(async link => link.close()));
	});

	// A search without a permit kept all hosts from being tried for other requests
	it('requests of other callers are forwarded, although there is no retry budget', async () => {
		world = await startWorld({
			hosts: 2, plain: 1, prefill: 1, decode: 2, slots: 8, retryAllowance: 0, routeTimes: patientTimes, eventGapMs: silentEventMs, async endpointPaths(endpoints) {
				const proxy = await LinkProxy.start(endpoints);
				links.push(proxy);
				return proxy.addresses;
			},
		});
		const {relays: [partitioned], lines} = world;
		const {caller: address, relay} = partitioned!;
		await links[0]!.cut('refused');
		for (let round = 0; relay.reachability.unreachable.length < 2; round += 1) {
			await sendRequest({
				address, id: `before-${round}`, path: round % 2 === 0 ? '/once/1' : '/stream/1', leaveAfterBytes: 1,
			});
		}

		const id = 'forwarded';
		const ended = new AbortController();
		const answer = sendRequest({
			address, id, path: '/resumable/1', headers: {'Deadline-Ms': String(patientTimes.timeoutMs)},
		}).finally(() => {
			ended.abort();
		});
		const statuses: number[] = [];
		for (let index = 0; !ended.signal.aborted; index += 1) {
			const {status} = await sendRequest({address, id: `other-${index}`, path: '/once/1'});
			statuses.push(status);
			await wait(overtakenMs);
		}

		const {status, isWhole} = await answer;
		expect({status, isWhole, refused: statuses.filter(each => each !== 200).length}).toEqual({status: 200, isWhole: true, refused: 0});
		expect(lines.filter(({code, facts}) => code === 'sentAgain' && facts.request === id).length).toBeGreaterThan(0);
	});
});
