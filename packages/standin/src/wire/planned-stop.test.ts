/** Guards against streams that a stopping host begins late and cuts when it closes. */
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {startScriptedWorld, streamOf, type EndpointCall} from './scripted-world.js';
import {patientTimes, startWorld} from './world.js';

const okStatus = 200;
const unavailableStatus = 503;
/** Makes a stream last about half of the time that a host has to stop. */
const eventGapMs = 700;
/** Responses by which a host judges how long the next one takes. */
const sampleSize = 16;
/** Times after the start of the stop at which streams arrive, in milliseconds. */
const arrivalsMs = [0, 1000, 2000, 3000, 3400, 3600];

/** Time between two events of a stream whose endpoint pauses before the second one, and the time of that pause, in milliseconds. */
const steadyGapMs = 700;
const pauseMs = 2200;
/** Times after the start of the stop at which such streams arrive, in milliseconds. */
const pausedArrivalsMs = [1000, 2000, 3000, 3500];

/** Sends a stream of three events, the first of them after one gap. */
async function sendSlowly({id, socket, headers}: EndpointCall, extraMs: number): Promise<void> {
	const after = Number(headers.get('last-event-id') ?? 0);
	await pause(steadyGapMs);
	socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`);
	for (const number of [1, 2, 3].filter(each => each > after)) {
		const event = streamOf(id, number - 1).slice(0, streamOf(id, number - 1).length - streamOf(id, number).length);
		socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
		await pause(number === 3 ? 0 : steadyGapMs + (number === 1 ? extraMs : 0));
	}

	socket.write('0\r\n\r\n');
}

// A stream that was expected to end just before its host does was cut once its endpoint paused
describe('planned stops beside pauses of endpoints', () => {
	for (const path of ['/stream/1', '/resumable/1']) {
		it(`a stream of ${path} that reaches a stopping host is whole, or refused and not run`, {timeout: 60_000}, async () => {
			const scripted = await startScriptedWorld({prefill: 1, decode: 1});
			try {
				const [{relay}] = scripted.world.relays as [typeof scripted.world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has one host
				const runs: string[] = [];
				let extraMs = 0;
				scripted.intercept = (call, kind) => {
					if (kind !== 'run') {
						return false;
					}

					runs.push(call.id);
					void sendSlowly(call, extraMs);
					return true;
				};

				const send = async (id: string) => sendRequest({
					address: scripted.caller, id, path, headers: {'Deadline-Ms': patientTimes.timeoutMs, 'Token-Counts': '100,40'},
				});
				// Durations that the host judges later streams by
				const before = await Promise.all(Array.from({length: sampleSize}, async (_, index) => send(`before-${index}`)));
				expect(before.map(({status}) => status)).toEqual(before.map(() => okStatus));
				extraMs = pauseMs;
				const stopped = relay.stop();
				const answers = await Promise.all(pausedArrivalsMs.map(async atMs => {
					await pause(atMs);
					const id = `at-${atMs}`;
					return {id, ...await send(id)};
				}));
				await stopped;
				const wrong = answers.filter(({id, status, isWhole}) => {
					const count = runs.filter(each => each === id).length;
					return !(isWhole && ((status === okStatus && count === 1) || (status === unavailableStatus && count === 0)));
				});
				expect(wrong.map(({id, status, isWhole}) => ({id, status, isWhole}))).toEqual([]);
			} finally {
				await scripted.stop();
			}
		});
	}
});

describe('planned stops', () => {
	it('a stream that reaches a stopping host is whole, or refused and not run', {timeout: 60_000}, async () => {
		const world = await startWorld({
			hosts: 1, plain: 0, prefill: 1, decode: 2, slots: 32, eventGapMs, routeTimes: patientTimes,
		});
		try {
			const [{caller, relay}] = world.relays as [typeof world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has one host
			const send = async (id: string) => sendRequest({
				address: caller, id, path: '/stream/1', headers: {'Deadline-Ms': patientTimes.timeoutMs},
			});
			// Durations that the host judges later streams by
			const before = await Promise.all(Array.from({length: sampleSize}, async (_, index) => send(`before-${index}`)));
			expect(before.map(({status}) => status)).toEqual(before.map(() => okStatus));
			const stopped = relay.stop();
			const answers = await Promise.all(arrivalsMs.map(async atMs => {
				await pause(atMs);
				const id = `at-${atMs}`;
				return {id, ...await send(id)};
			}));
			await stopped;
			const wrong = answers.filter(({id, status, isWhole}) => {
				const runs = world.log.runs.filter(({request}) => request === id).length;
				return !(isWhole && ((status === okStatus && runs === 1) || (status === unavailableStatus && runs === 0)));
			});
			expect(wrong.map(({id, status, isWhole}) => ({id, status, isWhole}))).toEqual([]);
		} finally {
			await world.stop();
		}
	});
});
