/** Guards against bytes in place of a response that leave a request pending: callers that never get a response, and hosts whose streams wait behind it. */
import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {responseReaders} from './response-readers.js';
import {sendPlaces, type SendPlace} from './send-places.js';
import {startScriptedEndpoint} from './scripted-endpoint.js';
import {startScriptedWorld, type ScriptedWorld} from './scripted-world.js';

const okStatus = 200;
/** Statuses that callers may get: of a sound response, and of this host's errors about one that is not. */
const ownStatuses: ReadonlySet<number> = new Set([okStatus, 502, 503, 504]);
/** Short, so that what ends with the route's timeout ends soon. */
const routeTimes = {timeoutMs: 2000, targetLatencyMs: 900};

/** Time after which a client is given up, in milliseconds. */
const readTimeoutMs = 1000;

/** Stands for the id of the request in the bytes of a response. */
const idPlace = '{id}';
/** Numbers that HTTP does not define as statuses (RFC 9110, section 15). */
const undefinedStatuses = ['000', '001', '099', '600', '999'];

const unexpected: ReadonlyArray<{readonly name: string; readonly bytes: string; readonly isClosed?: boolean}> = [
	{name: 'another protocol', bytes: 'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n'},
	{name: 'another protocol that is not named', bytes: 'HTTP/1.1 101 Switching Protocols\r\n\r\n'},
	{name: 'an informational response, then the end of the connection', bytes: 'HTTP/1.1 103 Early Hints\r\n\r\n', isClosed: true},
	{name: 'the end of the connection', bytes: '', isClosed: true},
	{name: 'bytes that are not HTTP', bytes: '\0\u0001nonsense\r\n\r\n'},
	{name: 'a head that breaks off', bytes: 'HTTP/1.1 200 OK\r\nKeep-', isClosed: true},
	...undefinedStatuses.map(status => ({name: `the status ${status}`, bytes: `HTTP/1.1 ${status} Status\r\nRequest-Id: ${idPlace}\r\nServer-Seal: seal\r\nContent-Length: 2\r\n\r\n{}`})),
];

describe('unexpected responses', () => {
	let scripted: ScriptedWorld;
	let sent = 0;

	before(async () => {
		scripted = await startScriptedWorld({
			plain: 2, prefill: 1, decode: 2, routeTimes,
		});
	});

	after(async () => {
		await scripted.stop();
	});

	async function send(path: string) {
		sent += 1;
		return sendRequest({address: scripted.caller, id: `request-${sent}`, path});
	}

	async function check({kind, path}: SendPlace, {bytes, isClosed = false}: typeof unexpected[number]): Promise<void> {
		await scripted.publish();
		let isPending = true;
		scripted.intercept = ({socket, id}, callKind) => {
			if (callKind !== kind || !isPending) {
				return false;
			}

			isPending = false;
			socket.write(bytes.replace(idPlace, id));
			if (isClosed) {
				socket.end();
			}

			return true;
		};

		const [disturbed, other] = await Promise.all([send(path), send(path)]);
		expect({isPending, isGivenUp: disturbed.isGivenUp || other.isGivenUp}).toEqual({isPending: false, isGivenUp: false});
		expect([disturbed, other].some(({status}) => status === okStatus)).toEqual(true);
		expect([disturbed, other].filter(({status}) => !ownStatuses.has(status))).toEqual([]);
		await scripted.publish();
		const {status} = await send(path);
		expect(status).toEqual(okStatus);
	}

	for (const place of sendPlaces) {
		for (const response of unexpected) {
			it(`${place.name} that gets ${response.name} ends, and others are served`, async () => check(place, response));
		}
	}
});

describe('unexpected responses to other clients', () => {
	for (const {name, read} of responseReaders) {
		for (const {name: response, bytes} of unexpected.filter(({isClosed}) => isClosed !== true)) {
			it(`${name} that gets ${response} ends`, async () => {
				const endpoint = await startScriptedEndpoint(({socket}) => {
					socket.write(bytes);
				});
				try {
					await expect(read(endpoint.address, AbortSignal.timeout(readTimeoutMs))).toBeRejected();
				} finally {
					endpoint.stop();
				}
			});
		}
	}
});
