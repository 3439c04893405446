/** Guards against requests that get neither a response nor a rejection because their host's planned stop ends before they do. */
import {describe, it} from 'node:test';
import {setImmediate as nextTurn, setTimeout as pause} from 'node:timers/promises';
import {planStop} from '@gatehead/policy/relay/stop-schedule';
import {ignore} from '@gatehead/policy/utils/ignore';
import {expect} from 'earl';
import {sendRequest, type CallerAnswer} from './client.js';
import {
	listStatuses, openCaller, writeRequest, type RawCaller,
} from './raw-caller.js';
import {writeResponse} from './scripted-endpoint.js';
import {
	bodyOf, startForwardingWorld, startScriptedWorld, type CallKind, type EndpointCall, type ScriptedWorld,
} from './scripted-world.js';
import {patientTimes, until, type LoggedLine} from './world.js';

/** Status that does not promise that a request has not run. */
const unknownStatus = 502;
const unavailableStatus = 503;
const okStatus = 200;

type Case = {
	readonly name: string;
	/** Handles a call instead of its endpoint; returns whether it did. */
	readonly intercept: (call: EndpointCall, kind: CallKind) => boolean;
	/** Whether all requests are where they wait until the stop ends. */
	readonly isWaiting: (calls: readonly CallKind[], requests: number) => boolean;
	/** Status by path. */
	readonly statuses: Readonly<Record<string, number>>;
};

const cases: readonly Case[] = [
	{
		name: 'sent to an endpoint that pauses',
		intercept: (_call, kind) => kind === 'run',
		isWaiting: (calls, requests) => calls.filter(kind => kind === 'run').length >= requests,
		statuses: {
			'/once/1': unknownStatus, '/repeatable/1': unavailableStatus, '/stream/1': unknownStatus, '/resumable/1': unavailableStatus,
		},
	},
	{
		name: 'waiting for memory',
		intercept({socket}, kind) {
			if (kind === 'reservation') {
				socket.write(writeResponse(unavailableStatus, {}));
			}

			return kind === 'reservation';
		},
		isWaiting: calls => calls.includes('reservation'),
		statuses: {'/stream/1': unavailableStatus, '/resumable/1': unavailableStatus},
	},
];

/** Time before a stopping host rejects new requests at which one arrives, and time for which the host is busy from then on, in milliseconds. */
const leadMs = 300;
const busyMs = 1000;

/** Blocks the event loop, as a busy host does. */
function block(milliseconds: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}

/** More than the buffers of a connection hold. */
const longBodyBytes = 8_000_000;

type Connection = 'idle' | 'new';

type Relay = ScriptedWorld['world']['relays'][number]['relay'];

/** Stages of a planned stop at which a request arrives unread. */
const stages: ReadonlyArray<{readonly name: string; /** Connections that are open then. */ readonly connections: readonly Connection[]; readonly begin: (relay: Relay, scripted: ScriptedWorld) => Promise<{readonly stopped: Promise<void>}>}> = [
	{
		name: 'before new requests are rejected',
		connections: ['idle', 'new'],
		async begin(relay) {
			const {lookupTtlMs, lookupStretch, tickMs} = relay.context.settings.timing;
			const stopped = relay.stop();
			await pause((lookupTtlMs * lookupStretch) + tickMs - leadMs);
			return {stopped};
		},
	},
	{
		name: 'while the last responses are delivered',
		connections: ['new'],
		async begin(relay, scripted) {
			scripted.intercept = ({id, socket}, kind) => {
				if (kind === 'run' && id === 'long') {
					socket.write(writeResponse(okStatus, {'Request-Id': id, 'Server-Seal': 'seal'}, 'x'.repeat(longBodyBytes)));
				}

				return kind === 'run' && id === 'long';
			};

			const {socket} = await openCaller(scripted.caller, true);
			socket.write(writeRequest('/once/1', 'long', 'question'));
			const hasLine = (code: string) => scripted.world.lines.some(line => line.code === code);
			await until(() => scripted.world.lines.some(({facts}) => facts.request === 'long'));
			const stopped = relay.stop();
			await until(() => hasLine('stopped'));
			return {stopped};
		},
	},
];

describe('a request that a busy host has not read when its planned stop ends', () => {
	async function check(begin: typeof stages[number]['begin'], isUsed: boolean): Promise<void> {
		const scripted = await startScriptedWorld({plain: 1});
		try {
			const [{relay}] = scripted.world.relays as [typeof scripted.world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has one host
			const {socket, text, ended} = await openCaller(scripted.caller);
			if (isUsed) {
				socket.write(writeRequest('/once/1', 'before', 'question'));
				await until(() => text().endsWith(bodyOf('before')));
			}

			const {stopped} = await begin(relay, scripted);
			// Timers that fall due run before the next read only if the loop is blocked after its last one
			await nextTurn();
			socket.write(writeRequest('/once/1', 'during', 'question'));
			block(busyMs);
			await Promise.all([stopped, ended]);
			expect(listStatuses(text()).at(-1)).toEqual(unavailableStatus);
			expect([...scripted.runs]).toEqual(isUsed ? ['before'] : []);
		} finally {
			await scripted.stop();
		}
	}

	for (const {name, connections, begin} of stages) {
		for (const connection of connections) {
			it(`gets a response on ${connection === 'idle' ? 'an idle' : 'a new'} connection, ${name}`, {timeout: 60_000}, async () => check(begin, connection === 'idle'));
		}
	}
});

/** Forwards at once, each on its own connection; more than the turns of a stop accept that finds nothing to wait for. */
const forwardCount = 60;

// Those that were not accepted yet were closed without a response, so that their host held that they may have run
describe('requests that another host forwards to a busy one whose planned stop ends', () => {
	async function openForward(address: string): Promise<RawCaller | undefined> {
		try {
			return await openCaller(address);
		} catch {
			// Another host is tried for a request whose connection is refused
			return undefined;
		}
	}

	async function openForwards(address: string): Promise<RawCaller[]> {
		const callers = await Promise.all(Array.from({length: forwardCount}, async () => openForward(address)));
		return callers.filter(caller => caller !== undefined);
	}

	async function check(begin: typeof stages[number]['begin'], isOpen: boolean): Promise<void> {
		const scripted = await startScriptedWorld({plain: 1, hosts: 2});
		try {
			const [{relay}] = scripted.world.relays as [typeof scripted.world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has hosts
			const address = relay.context.settings.listen.forward ?? '';
			const earlier = isOpen ? await openForwards(address) : [];
			const {stopped} = await begin(relay, scripted);
			await nextTurn();
			const opening = isOpen ? Promise.resolve(earlier) : openForwards(address);
			for (const {socket} of earlier) {
				socket.write(writeRequest('/once/1', 'during', 'question'));
			}

			block(busyMs);
			const callers = await opening;
			for (const {socket} of isOpen ? [] : callers) {
				socket.write(writeRequest('/once/1', 'during', 'question'));
			}

			await Promise.all([stopped, ...callers.map(async ({ended}) => ended)]);
			const lost = callers.filter(({text}) => listStatuses(text()).at(-1) !== unavailableStatus);
			expect({lost: lost.length, runs: scripted.runs.filter(id => id === 'during')}).toEqual({lost: 0, runs: []});
		} finally {
			await scripted.stop();
		}
	}

	for (const {name, begin} of stages) {
		for (const isOpen of [true, false]) {
			it(`are rejected or not taken on ${isOpen ? 'open' : 'new'} connections, ${name}`, {timeout: 60_000}, async () => check(begin, isOpen));
		}
	}
});

/** Interval at which a caller checks whether a host still listens, in milliseconds. */
const listeningPollMs = 10;

/** Whether a host accepts a new connection. */
async function isListening(address: string): Promise<boolean> {
	try {
		const {socket} = await openCaller(address);
		socket.destroy();
		return true;
	} catch {
		return false;
	}
}

// The host closed the connection without a response
describe('a request on a new connection that arrives after its host has stopped listening', () => {
	it('gets a rejection', {timeout: 60_000}, async () => {
		const scripted = await startScriptedWorld({plain: 1});
		try {
			const [{relay}] = scripted.world.relays as [typeof scripted.world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has one host
			const stopped = relay.stop();
			const {socket, text, ended} = await openCaller(scripted.caller);
			while (await isListening(scripted.caller)) {
				await pause(listeningPollMs);
			}

			socket.write(writeRequest('/once/1', 'last', 'question'));
			await Promise.all([stopped, ended]);
			expect({statuses: listStatuses(text()), runs: [...scripted.runs]}).toEqual({statuses: [unavailableStatus], runs: []});
		} finally {
			await scripted.stop();
		}
	});
});

/** Time for which a caller does not read, from the end of the runs of a stopping host on, in milliseconds. */
const unreadMs = 500;

// The host closed the connection a quarter of a second after the last run had ended
describe('a complete response that its caller reads slowly as its host stops', () => {
	it('is delivered', {timeout: 60_000}, async () => {
		const scripted = await startScriptedWorld({plain: 1});
		try {
			const [{relay}] = scripted.world.relays as [typeof scripted.world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has one host
			scripted.intercept = ({id, socket}, kind) => {
				if (kind === 'run') {
					socket.write(writeResponse(okStatus, {'Request-Id': id, 'Server-Seal': 'seal'}, 'x'.repeat(longBodyBytes)));
				}

				return kind === 'run';
			};

			const {socket, text, ended} = await openCaller(scripted.caller, true);
			socket.write(writeRequest('/once/1', 'long', 'question'));
			await until(() => scripted.world.lines.some(({facts}) => facts.request === 'long'));
			const stopped = relay.stop();
			await until(() => scripted.world.lines.some(({code}) => code === 'stopped'));
			await pause(unreadMs);
			socket.resume();
			await Promise.all([stopped, ended]);
			expect(text().split('x').length - 1).toBeGreaterThanOrEqual(longBodyBytes);
		} finally {
			await scripted.stop();
		}
	});
});

/** Moments of a planned stop at which pipelined requests reach a host; their deadlines lie behind its end, so that none may run. */
const moments: ReadonlyArray<{readonly name: string; readonly isRejecting: boolean}> = [
	{name: 'begins while the first one runs', isRejecting: false},
	{name: 'has come to reject new requests', isRejecting: true},
];

describe('pipelined requests on a host that stops', () => {
	async function check(isRejecting: boolean): Promise<void> {
		const scripted = await startScriptedWorld({plain: 1});
		try {
			const [{relay}] = scripted.world.relays as [typeof scripted.world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has one host
			const held: EndpointCall[] = [];
			scripted.intercept = (call, kind) => {
				const isHeld = kind === 'run' && call.id === 'first';
				held.push(...isHeld ? [call] : []);
				return isHeld;
			};

			const earlier = await openCaller(scripted.caller);
			const pipelined = isRejecting ? await openCaller(scripted.caller) : earlier;
			const ids = ['second', 'third', 'fourth'];
			const write = () => {
				pipelined.socket.write(ids.map(id => writeRequest('/once/1', id, 'question')).join(''));
			};

			earlier.socket.write(writeRequest('/once/1', 'first', 'question'));
			if (!isRejecting) {
				write();
			}

			await until(() => held.length > 0);
			const {lookupTtlMs, lookupStretch, tickMs} = relay.context.settings.timing;
			const stopped = relay.stop();
			if (isRejecting) {
				await pause((lookupTtlMs * lookupStretch) + tickMs + leadMs);
				write();
				await pipelined.ended;
			}

			for (const call of held) {
				scripted.answerSoundly(call);
			}

			await Promise.all([stopped, earlier.ended]);
			const statuses = listStatuses(pipelined.text()).slice(isRejecting ? 0 : 1);
			expect({statuses, runs: scripted.runs.filter(id => id !== 'first')}).toEqual({statuses: ids.map(() => unavailableStatus), runs: []});
		} finally {
			await scripted.stop();
		}
	}

	for (const {name, isRejecting} of moments) {
		it(`each gets a rejection where the stop ${name}`, {timeout: 60_000}, async () => check(isRejecting));
	}
});

/** Answers a call as an endpoint that does not run it. */
function refuse({id, socket}: EndpointCall): void {
	socket.write(writeResponse(unavailableStatus, {...(id === '' ? {} : {'Request-Id': id}), 'Not-Executed': '1'}));
}

type KnownRefusal = {
	readonly name: string;
	/** Handles a call instead of its endpoint, and begins the stop; returns whether it did. `runs`: runs before the call. */
	readonly intercept: (call: EndpointCall, kind: CallKind, parts: {readonly runs: number; readonly stop: () => void}) => boolean;
	readonly path: string;
};

const knownRefusals: readonly KnownRefusal[] = [
	...['/stream/1', '/resumable/1'].map(path => ({
		name: `${path} waits for memory`,
		path,
		intercept(call: EndpointCall, kind: CallKind, {stop}: {readonly stop: () => void}) {
			if (kind !== 'reservation') {
				return false;
			}

			refuse(call);
			stop();
			return true;
		},
	})),
	{
		name: 'its host has ended its silent run, and the next one is rejected',
		path: '/resumable/1',
		intercept(call, kind, {runs, stop}) {
			if (kind !== 'run') {
				return false;
			}

			if (runs > 0) {
				stop();
				refuse(call);
			}

			return true;
		},
	},
];

// They waited for their deadline or the end of the stop, although a run that begins later would be cut
describe('a request that a stopping host can no longer begin is rejected before the end of the stop', () => {
	for (const {name, path, intercept} of knownRefusals) {
		it(name, {timeout: 60_000}, async () => {
			const scripted = await startScriptedWorld({prefill: 1, decode: 2});
			try {
				const [{relay}] = scripted.world.relays as [typeof scripted.world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has one host
				let runs = 0;
				let stopped: Promise<void> | undefined;
				scripted.intercept = (call, kind) => {
					const isDone = intercept(call, kind, {
						runs, stop() {
							stopped ??= relay.stop();
						},
					});
					runs += kind === 'run' ? 1 : 0;
					return isDone;
				};

				const id = 'known';
				const {status, isWhole, headers} = await sendRequest({
					address: scripted.caller, id, path, headers: {'Deadline-Ms': patientTimes.timeoutMs},
				});
				await stopped;
				const details = scripted.world.lines.filter(({code, facts}) => code === 'hostStopping' && facts.request === id).map(({facts}) => facts.detail);
				expect({
					status, isWhole, hasRetryAfter: headers['retry-after'] !== undefined, details,
				}).toEqual({
					status: unavailableStatus, isWhole: true, hasRetryAfter: true, details: ['the stream would outlast this host'],
				});
			} finally {
				await scripted.stop();
			}
		});
	}
});

describe('a request whose body is complete only after the end of the stop has rejected it', () => {
	it('is logged once', {timeout: 60_000}, async () => {
		const scripted = await startScriptedWorld({plain: 1});
		try {
			const [{relay}] = scripted.world.relays as [typeof scripted.world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has one host
			const id = 'late-body';
			const body = 'question';
			const {socket, text, ended} = await openCaller(scripted.caller);
			const stopped = relay.stop();
			// Its deadline comes before the end of the stop
			socket.write(writeRequest('/once/1', id, '', body.length).replace('\r\n', '\r\nDeadline-Ms: 1000\r\n'));
			await until(() => listStatuses(text()).length > 0);
			socket.write(body);
			await Promise.all([stopped, ended]);
			const lines = scripted.world.lines.filter(({facts}) => facts.request === id);
			expect({statuses: listStatuses(text()), lines: lines.map(({facts}) => facts.outcome), runs: [...scripted.runs]}).toEqual({statuses: [unavailableStatus], lines: ['refused'], runs: []});
		} finally {
			await scripted.stop();
		}
	});
});

// The host closed their connections without a response
describe('while a step of a request does not end with the stop of its host', () => {
	const id = 'stuck';

	/** Stops a host while a request at it waits for a step that does not end. */
	const playStuck = async (beside: (scripted: ScriptedWorld) => Promise<void>): Promise<CallerAnswer> => {
		const scripted = await startScriptedWorld({plain: 1});
		try {
			const [{relay}] = scripted.world.relays as [typeof scripted.world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has one host
			let isStuck = false;
			relay.reachability.settle = async () => {
				isStuck = true;
				await new Promise(ignore);
			};

			for (const endpoint of scripted.endpoints.values()) {
				endpoint.stop();
			}

			const answer = sendRequest({
				address: scripted.caller, id, path: '/once/1', headers: {'Deadline-Ms': patientTimes.timeoutMs},
			});
			await until(() => isStuck);
			const stopped = relay.stop();
			await beside(scripted);
			await stopped;
			return await answer;
		} finally {
			await scripted.stop();
		}
	};

	it('the request is rejected', {timeout: 60_000}, async () => {
		let lines: readonly LoggedLine[] = [];
		const {status, isWhole} = await playStuck(async ({world}) => {
			lines = world.lines;
		});
		const ends = lines.filter(({code, facts}) => facts.request === id && code !== 'sendFailed');
		expect({status, isWhole, ends: ends.map(({facts}) => facts.outcome)}).toEqual({status: unavailableStatus, isWhole: true, ends: ['refused']});
	});

	it('one that reaches the busy host meanwhile is rejected', {timeout: 60_000}, async () => {
		let text = '';
		await playStuck(async ({world, caller}) => {
			const late = await openCaller(caller);
			await until(() => world.lines.some(({code}) => code === 'stopped'));
			// Timers that fall due run before the next read only if the loop is blocked after its last one
			await nextTurn();
			late.socket.write(writeRequest('/once/1', 'late', 'question'));
			block(busyMs);
			await late.ended;
			text = late.text();
		});
		expect(listStatuses(text)).toEqual([unavailableStatus]);
	});
});

/** Part of the grace period that has passed when a stop begins, in milliseconds. */
const elapsedMs = 5000;
/** Bytes that take several turns of the event loop to read, and fit into the buffers of a connection. */
const readBytes = 400_000;

/** When a standstill of `busyMs` ends at which a response arrives, from the end of the runs on, in milliseconds. */
const wakes = [-10, 20, 40, 100];

// It was aborted before it was read, where the standstill had ended close to the end of the runs
describe('a response that arrives while a stopping host stands still', () => {
	for (const wakeMs of wakes) {
		it(`is passed on where the host wakes ${wakeMs} ms behind the end of its runs`, {timeout: 60_000}, async () => {
			const scripted = await startScriptedWorld({plain: 1});
			try {
				const [{relay}] = scripted.world.relays as [typeof scripted.world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has one host
				const held: EndpointCall[] = [];
				scripted.intercept = (call, kind) => {
					held.push(...kind === 'run' ? [call] : []);
					return kind === 'run';
				};

				const answer = sendRequest({
					address: scripted.caller, id: 'late', path: '/once/1', headers: {'Deadline-Ms': patientTimes.timeoutMs},
				});
				await until(() => held.length > 0);
				const {context: {clock, settings: {timing: {graceMs}}}} = relay;
				const {breaksOffAt} = planStop({seenAt: clock.now() - elapsedMs, sentAt: clock.now() - elapsedMs}, graceMs);
				const stopped = relay.stop({sinceSeenMs: elapsedMs, sinceSentMs: elapsedMs});
				await pause(breaksOffAt + wakeMs - busyMs - clock.now());
				await nextTurn();
				for (const {id, socket} of held) {
					socket.write(writeResponse(okStatus, {'Request-Id': id, 'Server-Seal': 'seal'}, 'x'.repeat(readBytes)));
				}

				block(breaksOffAt + wakeMs - clock.now());
				await stopped;
				const {status, isWhole} = await answer;
				expect({status, isWhole}).toEqual({status: okStatus, isWhole: true});
			} finally {
				await scripted.stop();
			}
		});
	}
});

// The process was left before the stop came to reject it
describe('a request in progress at a host whose stop begins late', () => {
	it('is rejected before the grace period of the signal ends', {timeout: 60_000}, async () => {
		const scripted = await startScriptedWorld({plain: 1});
		try {
			const [{relay}] = scripted.world.relays as [typeof scripted.world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has one host
			let hasRun = false;
			scripted.intercept = (_call, kind) => {
				hasRun ||= kind === 'run';
				return kind === 'run';
			};

			const answer = sendRequest({
				address: scripted.caller, id: 'late', path: '/once/1', headers: {'Deadline-Ms': patientTimes.timeoutMs},
			});
			await until(() => hasRun);
			const beganAt = relay.context.clock.now();
			await relay.stop({sinceSeenMs: elapsedMs, sinceSentMs: elapsedMs});
			expect(relay.context.clock.now() - beganAt).toBeLessThan(relay.context.settings.timing.graceMs - elapsedMs);
			const {status, isWhole} = await answer;
			expect({status, isWhole}).toEqual({status: unknownStatus, isWhole: true});
		} finally {
			await scripted.stop();
		}
	});
});

// Those to plain services got 504, as if their time had passed
describe('requests that a host has forwarded and that outlast its planned stop', () => {
	it('are rejected as those that it has sent itself', {timeout: 60_000}, async () => {
		const scripted = await startForwardingWorld({plain: 1, prefill: 1, decode: 1});
		try {
			const [{relay}] = scripted.world.relays as [typeof scripted.world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has hosts
			let runs = 0;
			scripted.intercept = (_call, kind) => {
				runs += kind === 'run' ? 1 : 0;
				return kind === 'run';
			};

			const expected = [['/once/1', unknownStatus], ['/repeatable/1', unavailableStatus], ['/stream/1', unknownStatus], ['/resumable/1', unavailableStatus]] as const;
			const sending = expected.map(async ([path]) => sendRequest({
				address: scripted.caller, id: path, path, headers: {'Deadline-Ms': patientTimes.timeoutMs},
			}));
			await until(() => runs >= expected.length);
			await relay.stop();
			const answers = await Promise.all(sending);
			expect(answers.map(({status, isWhole}, index) => ({path: expected[index]?.[0], status, isWhole}))).toEqual(expected.map(([path, status]) => ({path, status, isWhole: true})));
		} finally {
			await scripted.stop();
		}
	});
});

describe('requests that another host has forwarded and that outlast a planned stop', () => {
	it('get whole errors, and no run is called a rejection', {timeout: 60_000}, async () => {
		const scripted = await startForwardingWorld({plain: 1, prefill: 1, decode: 1});
		try {
			const [, {relay}] = scripted.world.relays as [unknown, typeof scripted.world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has two hosts
			let runs = 0;
			scripted.intercept = (_call, kind) => {
				runs += kind === 'run' ? 1 : 0;
				return kind === 'run';
			};

			const paths = ['/once/1', '/repeatable/1', '/stream/1', '/resumable/1'];
			const sending = paths.map(async path => sendRequest({
				address: scripted.caller, id: path, path, headers: {'Deadline-Ms': patientTimes.timeoutMs},
			}));
			await until(() => runs >= paths.length);
			await relay.stop();
			const answers = await Promise.all(sending);
			const isRepeatable = new Set(['/repeatable/1', '/resumable/1']);
			const wrong = answers.filter(({status, isWhole}, index) => !(isWhole && (status === unknownStatus || (status === unavailableStatus && isRepeatable.has(paths[index] ?? '')))));
			expect(wrong.map(({status, body}) => ({status, body}))).toEqual([]);
		} finally {
			await scripted.stop();
		}
	});
});

describe('requests that outlast a planned stop are rejected, and truly so', () => {
	for (const {name, intercept, isWaiting, statuses} of cases) {
		it(name, {timeout: 60_000}, async () => {
			const scripted = await startScriptedWorld({plain: 1, prefill: 1, decode: 1});
			try {
				const [{relay}] = scripted.world.relays as [typeof scripted.world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has one host
				const calls: CallKind[] = [];
				scripted.intercept = (call, kind) => {
					calls.push(kind);
					return intercept(call, kind);
				};

				const paths = Object.keys(statuses);
				const sending = paths.map(async path => sendRequest({
					address: scripted.caller, id: path, path, headers: {'Deadline-Ms': patientTimes.timeoutMs},
				}));
				await until(() => isWaiting(calls, paths.length));
				await relay.stop();
				const answers = await Promise.all(sending);
				const seen = answers.map(({status, isWhole}, index) => ({path: paths[index], status, isWhole}));
				expect(seen).toEqual(paths.map(path => ({path, status: statuses[path] ?? 0, isWhole: true})));
			} finally {
				await scripted.stop();
			}
		});
	}
});
