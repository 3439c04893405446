/** Guards against duplicate responses to earlier requests that are taken for the response to the present one: requests that run twice, or are reported as not run although they run. */
import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {listStatuses, openCaller} from './raw-caller.js';
import {writeResponse} from './scripted-endpoint.js';
import {
	bodyOf, startScriptedWorld, streamOf, type CallKind, type EndpointCall, type ScriptedWorld,
} from './scripted-world.js';
import {until} from './world.js';

const okStatus = 200;
/** Statuses that tell a caller that its request did not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Time after which the response to the present request follows a duplicate, in milliseconds. */
const responseDelayMs = 20;

type Path = {
	readonly name: string;
	readonly path: string;
	/** Sends whose place the duplicate takes. */
	readonly kind: CallKind;
	readonly isRepeatable: boolean;
};

const paths: readonly Path[] = [
	{
		name: 'a call that may run once', path: '/once/1', kind: 'run', isRepeatable: false,
	},
	{
		name: 'a repeatable call', path: '/repeatable/1', kind: 'run', isRepeatable: true,
	},
	{
		name: 'a stream that may run once', path: '/stream/1', kind: 'run', isRepeatable: false,
	},
	{
		name: 'a resumable stream', path: '/resumable/1', kind: 'run', isRepeatable: true,
	},
	{
		name: 'the prefill of a stream', path: '/stream/1', kind: 'prefill', isRepeatable: false,
	},
];

type Duplicate = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
};

/** Responses to other requests, as an endpoint may have sent them before. */
const duplicates: readonly Duplicate[] = [
	{status: 429, headers: {'Not-Executed': '1'}},
	{status: 503, headers: {'Not-Executed': '1'}},
	{status: 503, headers: {}},
	{status: 421, headers: {'Replica-Id': 'another'}},
	{status: 400, headers: {'Not-Executed': '1'}},
	{status: 200, headers: {'Server-Seal': 'seal'}},
	{status: 500, headers: {'Server-Seal': 'seal'}},
	{status: 504, headers: {'Server-Seal': 'seal'}},
];

type Foreign = Pick<Duplicate, 'headers'> & {readonly name: string};

const foreignIds: readonly Foreign[] = [
	{name: 'another request', headers: {'Request-Id': 'another'}},
	{name: 'no request', headers: {}},
];

type Cell = {
	readonly path: Path;
	readonly duplicate: Duplicate;
	readonly foreign: Foreign;
};

const foreignBody = 'for another';

function wholeBodyOf({path}: Path, id: string): string {
	return path.startsWith('/once') || path.startsWith('/repeatable') ? bodyOf(id) : streamOf(id);
}

describe('duplicate responses', () => {
	let scripted: ScriptedWorld;
	let sent = 0;

	before(async () => {
		scripted = await startScriptedWorld({plain: 2, prefill: 1, decode: 2});
	});

	after(async () => {
		await scripted.stop();
	});

	async function prepare(): Promise<string> {
		await scripted.publish();
		scripted.runs.length = 0;
		scripted.takenResults.length = 0;
		sent += 1;
		return `request-${sent}`;
	}

	/** Sends a request whose first send of a kind is answered with `bytes`, and soundly after that where the endpoint runs it. */
	async function play({path, kind}: Path, bytes: string, doesRun: boolean) {
		const id = await prepare();
		let isPending = true;
		scripted.intercept = (call: EndpointCall, callKind) => {
			if (callKind !== kind || !isPending) {
				return false;
			}

			isPending = false;
			call.socket.write(bytes.replaceAll('OWN', id));
			if (doesRun) {
				setTimeout(() => {
					scripted.answerSoundly(call);
				}, responseDelayMs);
			}

			return true;
		};

		const answer = await sendRequest({address: scripted.caller, id, path});
		expect(isPending).toEqual(false);
		if (doesRun) {
			await new Promise<void>(resolve => {
				setTimeout(resolve, 2 * responseDelayMs);
			});
		}

		return {...answer, id, runs: scripted.runs.filter(run => run === id).length};
	}

	async function check({path, duplicate: {status, headers}, foreign}: Cell): Promise<void> {
		const played = await play(path, writeResponse(status, {...headers, ...foreign.headers}, foreignBody), true);
		expect(played.runs <= 1 || path.isRepeatable).toEqual(true);
		expect(notRunStatuses.has(played.status) && played.runs > 0).toEqual(false);
		expect(played.body.includes(foreignBody)).toEqual(false);
		expect(played.status !== okStatus || played.body === wholeBodyOf(path, played.id)).toEqual(true);
		const results = scripted.takenResults.filter(result => result !== '');
		expect(new Set(results).size).toEqual(results.length);
		expect(scripted.listUnready()).toEqual([]);
	}

	for (const cell of paths.flatMap(path => duplicates.flatMap(duplicate => foreignIds.map(foreign => ({path, duplicate, foreign}))))) {
		it(`${cell.path.name}, behind a ${cell.duplicate.status} with ${Object.keys(cell.duplicate.headers)[0] ?? 'no mark'} that names ${cell.foreign.name}`, async () => check(cell));
	}

	const rejections: readonly Duplicate[] = [
		{status: 429, headers: {'Not-Executed': '1', 'Request-Id': 'OWN'}},
		{status: 503, headers: {'Not-Executed': '1', 'Request-Id': 'OWN'}},
		{status: 400, headers: {'Not-Executed': '1', 'Request-Id': 'OWN'}},
	];

	for (const path of paths) {
		for (const {status, headers} of rejections) {
			it(`${path.name} is sent to another endpoint behind its own rejection with ${status}`, async () => {
				const {status: answered, runs} = await play(path, writeResponse(status, headers), false);
				expect({answered, runs}).toEqual({answered: okStatus, runs: 1});
			});
		}
	}
});

/** Guards against a duplicate of an earlier response to the same request, which carries its id, on the connection of a later send of it. */
describe('duplicate responses to earlier sends of a request', () => {
	let scripted: ScriptedWorld;

	before(async () => {
		scripted = await startScriptedWorld({prefill: 1, decode: 1});
	});

	after(async () => {
		await scripted.stop();
	});

	/** Sends the first response again in the slot of each later call of the same request on a connection. */
	function duplicate(firstResponse: string, kind: CallKind) {
		scripted.runs.length = 0;
		scripted.takenResults.length = 0;
		let isFirst = true;
		scripted.intercept = (call, callKind) => {
			if (callKind !== kind) {
				return false;
			}

			if (isFirst) {
				isFirst = false;
				call.socket.write(firstResponse);
				return true;
			}

			if (call.earlierIds.includes(call.id)) {
				call.socket.write(firstResponse);
			}

			setTimeout(() => {
				scripted.answerSoundly(call);
			}, responseDelayMs);
			return true;
		};
	}

	it('a request that was rejected and is sent to the same endpoint again runs once', async () => {
		duplicate(writeResponse(503, {'Request-Id': 'again-1', 'Not-Executed': '1', 'Keep-Alive': 'timeout=5'}), 'run');
		const {intercept} = scripted;
		let reservations = 0;
		scripted.intercept = (call, kind) => {
			reservations += Number(kind === 'reservation');
			if (kind === 'reservation' && reservations === 2) {
				// Leaves the connection of the rejected send as the only idle one
				call.socket.end(writeResponse(okStatus, {Connection: 'close'}, JSON.stringify({hold: 'second'})));
				return true;
			}

			return intercept(call, kind);
		};

		const {status, body} = await sendRequest({address: scripted.caller, id: 'again-1', path: '/stream/1'});
		expect({status, body, runs: scripted.runs}).toEqual({status: okStatus, body: streamOf('again-1'), runs: ['again-1']});
	});

	it('a prompt that is read twice gives two results', async () => {
		duplicate(writeResponse(200, {'Request-Id': 'again-2', 'Keep-Alive': 'timeout=5'}, JSON.stringify({prefillHandle: 'first', tokens: 1, version: 1})), 'prefill');
		const {intercept} = scripted;
		let isFirstRun = true;
		scripted.intercept = (call, kind) => {
			if (kind === 'run' && isFirstRun) {
				isFirstRun = false;
				scripted.takenResults.push(call.headers.get('kv-source')?.split('/')[1] ?? '');
				call.socket.destroy();
				return true;
			}

			return intercept(call, kind);
		};

		const {status, body} = await sendRequest({address: scripted.caller, id: 'again-2', path: '/resumable/1'});
		expect({status, body}).toEqual({status: okStatus, body: streamOf('again-2')});
		expect(scripted.takenResults.length).toEqual(2);
		expect(new Set(scripted.takenResults).size).toEqual(2);
	});
});

/** Guards against a duplicate of an earlier rejection where the caller sends a rejected request again with the same id. */
describe('duplicate rejections of a request that its caller sends again', () => {
	let scripted: ScriptedWorld;

	before(async () => {
		scripted = await startScriptedWorld({plain: 2});
	});

	after(async () => {
		await scripted.stop();
	});

	/** Has a request rejected by all endpoints, sends `between` others, then sends it again; endpoints repeat their rejection where they can. */
	async function sendAgain(between: number): Promise<void> {
		await scripted.publish();
		scripted.runs.length = 0;
		const id = `returned-${between}`;
		const rejection = writeResponse(503, {'Request-Id': id, 'Not-Executed': '1', 'Keep-Alive': 'timeout=5'});
		let isRejecting = true;
		scripted.intercept = call => {
			if (call.id !== id) {
				return false;
			}

			if (isRejecting || call.earlierIds.includes(id)) {
				call.socket.write(rejection);
			}

			if (!isRejecting) {
				setTimeout(() => {
					scripted.answerSoundly(call);
				}, responseDelayMs);
			}

			return true;
		};

		const {status: first} = await sendRequest({address: scripted.caller, id, path: '/once/1'});
		isRejecting = false;
		for (let other = 0; other < between; other += 1) {
			await sendRequest({address: scripted.caller, id: `${id}-${other}`, path: '/once/1'});
		}

		const {status: second} = await sendRequest({address: scripted.caller, id, path: '/once/1'});
		await new Promise<void>(resolve => {
			setTimeout(resolve, 2 * responseDelayMs);
		});
		expect({first, second, runs: scripted.runs.filter(run => run === id)}).toEqual({first: 503, second: okStatus, runs: [id]});
	}

	for (const between of [0, 1, 3]) {
		it(`it runs once, and is not reported as not run, behind ${between} other requests`, async () => sendAgain(between));
	}
});

/** Guards against a duplicate of a rejection that names no request, which could answer any request without an id. */
describe('duplicate rejections of requests without an id', () => {
	it('a request that runs is not reported as not run', async () => {
		const scripted = await startScriptedWorld({plain: 1});
		const {socket, text} = await openCaller(scripted.caller);
		try {
			const rejection = writeResponse(503, {'Not-Executed': '1', 'Keep-Alive': 'timeout=5'});
			let calls = 0;
			scripted.intercept = ({socket: connection, earlierIds}, kind) => {
				if (kind !== 'run') {
					return false;
				}

				calls += 1;
				if (calls === 1 || earlierIds.length > 0) {
					connection.write(rejection);
				}

				if (calls > 1) {
					setTimeout(() => {
						connection.write(writeResponse(okStatus, {'Server-Seal': 'seal'}, 'ran'));
					}, responseDelayMs);
				}

				return true;
			};

			for (const answers of [1, 2]) {
				socket.write('POST /once/1 HTTP/1.1\r\nHost: calls.example\r\nContent-Length: 0\r\n\r\n');
				await until(() => listStatuses(text()).length === answers);
			}

			const [first, second] = listStatuses(text());
			expect({calls, first, isPromise: notRunStatuses.has(second ?? 0)}).toEqual({calls: 2, first: 503, isPromise: false});
		} finally {
			socket.destroy();
			await scripted.stop();
		}
	});
});

/** Guards against a duplicate of an earlier grant, by which two streams would use one reservation. */
describe('duplicate grants of reservations', () => {
	let scripted: ScriptedWorld;

	before(async () => {
		scripted = await startScriptedWorld({decode: 1});
	});

	after(async () => {
		await scripted.stop();
	});

	it('two streams use two reservations', async () => {
		let grants = 0;
		scripted.intercept = ({socket, earlierIds}, kind) => {
			if (kind !== 'reservation') {
				return false;
			}

			grants += 1;
			const name = earlierIds.length > 0 ? 'first' : `grant${grants}`;
			socket.write(writeResponse(okStatus, {'Keep-Alive': 'timeout=5'}, JSON.stringify({hold: grants === 1 ? 'first' : name})));
			return true;
		};

		const statuses = [];
		for (const id of ['first', 'second']) {
			const {status} = await sendRequest({address: scripted.caller, id, path: '/stream/1'});
			statuses.push(status);
		}

		expect(statuses).toEqual([okStatus, okStatus]);
		expect(new Set(scripted.takenReservations).size).toEqual(2);
	});
});
