/** Guards against requests that run behind a response on the same connection that breaks off, whose answers are lost with it. */
import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {listStatuses, openCaller, writeRequest} from './raw-caller.js';
import {
	bodyOf, startScriptedWorld, streamOf, type ScriptedWorld,
} from './scripted-world.js';
import {patientTimes, until} from './world.js';

const okStatus = 200;
/** Time after which the stalled stream is cut, in milliseconds. */
const timeoutMs = 2000;
/** Time that the first of two calls takes, in milliseconds. */
const workMs = 150;

describe('pipelined requests', () => {
	let scripted: ScriptedWorld;
	let sent = 0;

	before(async () => {
		scripted = await startScriptedWorld({
			plain: 2, prefill: 1, decode: 1, routeTimes: {timeoutMs, targetLatencyMs: timeoutMs},
		});
	});

	after(async () => {
		await scripted.stop();
	});

	function makeId(): string {
		sent += 1;
		return `request-${sent}`;
	}

	async function expectNoRun(path: string): Promise<void> {
		await scripted.publish();
		const stream = makeId();
		const behind = [makeId(), makeId()];
		scripted.intercept = ({id, socket}, kind) => {
			if (kind !== 'run' || id !== stream) {
				return false;
			}

			const event = streamOf(id).slice(0, -streamOf(id, 1).length);
			socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${event.length.toString(16)}\r\n${event}\r\n`);
			return true;
		};

		const {socket, ended, text} = await openCaller(scripted.caller);
		socket.write(writeRequest('/stream/1', stream, 'question') + behind.map(id => writeRequest(path, id, 'question')).join(''));
		await ended;
		socket.destroy();
		expect({statuses: listStatuses(text()), runs: scripted.runs.filter(id => behind.includes(id))}).toEqual({statuses: [okStatus], runs: []});
	}

	async function expectOrder(path: string): Promise<void> {
		await scripted.publish();
		const ids = [makeId(), makeId(), makeId()];
		const order: string[] = [];
		scripted.intercept = call => {
			if (!ids.includes(call.id)) {
				return false;
			}

			order.push(`began ${call.id}`);
			setTimeout(() => {
				order.push(`ended ${call.id}`);
				scripted.answerSoundly(call);
			}, workMs);
			return true;
		};

		const {socket, ended, text} = await openCaller(scripted.caller);
		socket.end(ids.map(id => writeRequest(path, id, 'question')).join(''));
		await ended;
		socket.destroy();
		expect({answers: ids.map(id => text().includes(bodyOf(id))), order}).toEqual({answers: [true, true, true], order: ids.flatMap(id => [`began ${id}`, `ended ${id}`])});
	}

	for (const path of ['/once/1', '/repeatable/1']) {
		it(`${path} does not run behind a stream that breaks off`, async () => expectNoRun(path));
		it(`${path} runs behind a whole response`, async () => expectOrder(path));
	}

	// The first response closed the connection, and the requests behind it got none
	for (const path of ['/once/1', '/repeatable/1', '/stream/1']) {
		it(`all of ${path} are answered by a host that stops meanwhile`, async () => {
			const stopping = await startScriptedWorld({
				plain: 2, prefill: 1, decode: 1, routeTimes: {timeoutMs, targetLatencyMs: timeoutMs},
			});
			try {
				const [{relay}] = stopping.world.relays as [typeof stopping.world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has one host
				let stopped: Promise<void> | undefined;
				stopping.intercept = () => {
					stopped ??= relay.stop();
					return false;
				};

				const ids = [makeId(), makeId(), makeId()];
				const {socket, ended, text} = await openCaller(stopping.caller);
				socket.write(ids.map(id => writeRequest(path, id, 'question')).join(''));
				await ended;
				socket.destroy();
				await stopped;
				const closes = [...text().matchAll(/\r\nConnection: close\r\n/gv)].length;
				expect({statuses: listStatuses(text()), closes}).toEqual({statuses: ids.map(() => okStatus), closes: 1});
			} finally {
				await stopping.stop();
			}
		});
	}

	it('all are rejected by a host that rejects new requests', {timeout: 60_000}, async () => {
		const stopping = await startScriptedWorld({plain: 1});
		try {
			const [{relay}] = stopping.world.relays as [typeof stopping.world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has one host
			const held = makeId();
			let isHeld = false;
			stopping.intercept = ({id}) => {
				isHeld ||= id === held;
				return id === held;
			};

			const send = async (id: string, headers: Readonly<Record<string, number>>) => sendRequest({
				address: stopping.caller, id, path: '/once/1', headers,
			});
			const keepingHost = send(held, {'Deadline-Ms': patientTimes.timeoutMs});
			await until(() => isHeld);
			const stopped = relay.stop();
			for (let status = okStatus; status === okStatus;) {
				({status} = await send(makeId(), {'Deadline-Ms': workMs}));
			}

			const ids = [makeId(), makeId(), makeId()];
			const {socket, ended, text} = await openCaller(stopping.caller);
			socket.write(ids.map(id => writeRequest('/once/1', id, 'question')).join(''));
			await ended;
			socket.destroy();
			await Promise.all([keepingHost, stopped]);
			expect({statuses: listStatuses(text()), runs: stopping.runs.filter(id => ids.includes(id))}).toEqual({statuses: ids.map(() => 503), runs: []});
		} finally {
			await stopping.stop();
		}
	});

	it('a request whose time passes behind another one is refused and does not run', async () => {
		await scripted.publish();
		const [first, second] = [makeId(), makeId()];
		scripted.intercept = call => {
			if (call.id === first) {
				setTimeout(() => {
					scripted.answerSoundly(call);
				}, 2 * workMs);
			}

			return call.id === first;
		};

		const {socket, ended, text} = await openCaller(scripted.caller);
		socket.end(writeRequest('/once/1', first, 'question') + writeRequest('/once/1', second, 'question').replace('\r\n', `\r\nDeadline-Ms: ${workMs}\r\n`));
		await ended;
		socket.destroy();
		expect({statuses: listStatuses(text()).filter(status => status >= okStatus), runs: scripted.runs.filter(id => id === second)}).toEqual({statuses: [okStatus, 503], runs: []});
	});
});
