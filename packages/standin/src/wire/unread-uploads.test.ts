/** Guards against a part of a response that passes for the whole one: without framing, and cut while the request's body is still being written. */
import {type Socket} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {
	makeKeepAliveAgent, readText, sendCall, sendOnce,
} from '@gatehead/host/core/http-call';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {startScriptedEndpoint} from './scripted-endpoint.js';
import {
	bodyOf, reaches, streamOf, type CallKind, type Reach, type ScriptedWorld,
} from './scripted-world.js';
import {until} from './world.js';

const okStatus = 200;
/** More than the buffers of a connection take, and less than the longest body of a request. */
const longBody = 'x'.repeat(4_000_000);
const shortBody = 'question';
const earlyBytes = 1_000_000;
const maxLength = 65_536;
/** Time between a part of the response and its end, in milliseconds. */
const cutDelayMs = 20;
/** Time between a response and the reading of the rest of its request, in milliseconds. */
const releaseMs = 100;
/** Prefill result in the part of a response; no run may use it. */
const cutResult = 'cut';

/** How a connection ends while the body of the request is unread. */
const ends = {
	halfClose(socket: Socket) {
		socket.end();
	},
	close(socket: Socket) {
		socket.destroy();
	},
	reset(socket: Socket) {
		socket.resetAndDestroy();
	},
} as const;

/** Framing of a part of a body; its length is stated longer than the part. */
const framings: Readonly<Record<string, (part: string) => string>> = {
	connection: part => `\r\n${part}`,
	length: part => `Content-Length: ${part.length + 1}\r\n\r\n${part}`,
	chunks: part => `Transfer-Encoding: chunked\r\n\r\n${part.length.toString(16)}\r\n${part}\r\n`,
};

type Place = {
	readonly name: string;
	readonly kind: CallKind;
	readonly path: string;
	readonly part: (id: string) => string;
	readonly whole: (id: string) => string;
};

function firstEventOf(id: string): string {
	return streamOf(id).slice(0, streamOf(id).length - streamOf(id, 1).length);
}

const plain = {kind: 'run', part: (id: string) => bodyOf(id).slice(0, 5), whole: bodyOf} as const;
const stream = {kind: 'run', part: firstEventOf, whole: (id: string) => streamOf(id)} as const;

const places: readonly Place[] = [
	{name: 'a call that may run once', path: '/once/1', ...plain},
	{name: 'a repeatable call', path: '/repeatable/1', ...plain},
	{name: 'a stream that may run once', path: '/stream/1', ...stream},
	{name: 'a resumable stream', path: '/resumable/1', ...stream},
	{
		...stream, name: 'a prefill', path: '/stream/1', kind: 'prefill', part: () => JSON.stringify({prefillHandle: cutResult, tokens: 1, version: 1}),
	},
];

function writeHead(id: string): string {
	return `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Seal: seal\r\nContent-Type: text/event-stream\r\n`;
}

function describeReach(reach: Reach): void {
	describe(`early responses to long bodies, ${reach}`, () => {
		let scripted: ScriptedWorld;
		let sent = 0;

		before(async () => {
			scripted = await reaches[reach]({
				plain: 2, prefill: 2, decode: 2, earlyBytes,
			});
		});

		after(async () => {
			await scripted.stop();
		});

		async function send(path: string, body: string) {
			sent += 1;
			const id = `request-${sent}`;
			return {
				id, ...await sendRequest({
					address: scripted.caller, id, path, body,
				}),
			};
		}

		async function check({kind, path, part, whole}: Place, framing: (part: string) => string, end: (socket: Socket) => void): Promise<void> {
			await scripted.publish();
			let isPending = true;
			scripted.intercept = ({socket, id}, callKind) => {
				if (callKind !== kind || !isPending) {
					return false;
				}

				isPending = false;
				socket.pause();
				socket.write(writeHead(id) + framing(part(id)));
				setTimeout(() => {
					end(socket);
				}, cutDelayMs);
				return true;
			};

			const {id, status, body, isWhole, isGivenUp} = await send(path, longBody);
			expect({isPending, isGivenUp}).toEqual({isPending: false, isGivenUp: false});
			expect(status !== okStatus || !isWhole || body === whole(id)).toEqual(true);
			expect(scripted.takenResults.includes(cutResult)).toEqual(false);
		}

		async function checkEarly({path, whole}: Place): Promise<void> {
			await scripted.publish();
			scripted.intercept = () => false;
			const {id, status, body, isWhole} = await send(path, longBody);
			expect({status, body, isWhole}).toEqual({status: okStatus, body: whole(id), isWhole: true});
		}

		/** Checks that what an endpoint has not read of a request goes with its response: hosts would run out of memory. */
		async function checkRelease({path, kind, whole}: Place): Promise<void> {
			await scripted.publish();
			const unread: Socket[] = [];
			scripted.intercept = ({socket, id}, callKind) => {
				if (callKind !== kind) {
					return false;
				}

				unread.push(socket.pause());
				socket.write(writeHead(id) + `Content-Length: ${whole(id).length}\r\n\r\n${whole(id)}`);
				return true;
			};

			const {id, status, body} = await send(path, longBody);
			expect({status, body}).toEqual({status: okStatus, body: whole(id)});
			await pause(releaseMs);
			const [socket] = unread;
			socket?.resume();
			await until(() => unread.every(({readableEnded, destroyed}) => readableEnded || destroyed));
			expect(unread.map(({bytesRead}) => bytesRead < longBody.length)).toEqual([true]);
		}

		async function checkUnframed({path, kind, whole}: Place): Promise<void> {
			await scripted.publish();
			scripted.intercept = ({socket, id}, callKind) => {
				if (callKind === kind) {
					socket.end(`${writeHead(id)}\r\n${whole(id)}`);
				}

				return callKind === kind;
			};

			const {id, status, body, isWhole} = await send(path, shortBody);
			expect({status, body, isWhole}).toEqual({status: okStatus, body: whole(id), isWhole: true});
		}

		for (const place of places) {
			for (const [framing, frame] of Object.entries(framings)) {
				for (const [name, end] of Object.entries(ends)) {
					it(`${place.name}: ${framing}, ${name}`, async () => check(place, frame, end));
				}
			}
		}

		for (const place of places.filter(({path}) => path !== '/stream/1')) {
			it(`${place.name}: a whole early response arrives`, async () => checkEarly(place));
			it(`${place.name}: a body that is not read goes with its response`, async () => checkRelease(place));
			it(`${place.name}: a response without framing to a body that was read arrives`, async () => checkUnframed(place));
		}
	});
}

describeReach('direct');
describeReach('forwarded');

const agent = makeKeepAliveAgent();
const ownCalls: ReadonlyArray<{readonly name: string; readonly send: (call: Parameters<typeof sendCall>[0]) => ReturnType<typeof sendCall>}> = [
	{name: 'a repeatable call', send: async call => sendCall(call, agent)},
	{name: 'a call that may run once', send: async call => sendOnce(call, () => true)},
];

describe('early responses to long bodies of the own front', () => {
	after(() => {
		agent.destroy();
	});

	for (const {name, send} of ownCalls) {
		for (const [endName, end] of Object.entries(ends)) {
			it(`${name}: connection, ${endName}`, async () => {
				const endpoint = await startScriptedEndpoint(({socket}) => {
					socket.pause();
					socket.write('HTTP/1.1 200 OK\r\n\r\npart');
					setTimeout(() => {
						end(socket);
					}, cutDelayMs);
				}, undefined, earlyBytes);
				try {
					const read = async () => readText(await send({
						address: endpoint.address, method: 'POST', path: '/', body: longBody,
					}), maxLength);
					await expect(read()).toBeRejected();
				} finally {
					endpoint.stop();
				}
			});
		}
	}
});
