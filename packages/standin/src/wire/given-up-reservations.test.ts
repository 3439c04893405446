/** Guards against rate permits and announcements that outlive a reservation with which no run was begun: the permits are missing for other requests, and peers take the memory for used. */
import {
	afterEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {writeResponse} from './scripted-endpoint.js';
import {
	startScriptedWorld, streamOf, type CallKind, type EndpointCall, type ScriptedParts, type ScriptedWorld,
} from './scripted-world.js';
import {until} from './world.js';

/** Deadline of the callers, in milliseconds. */
const deadlineMs = 15_000;
/** Time for which permits last, in milliseconds: longer than a test. */
const permitMs = 60_000;

function chunkOf(text: string): string {
	return `${text.length.toString(16)}\r\n${text}\r\n`;
}

type Intercept = (call: EndpointCall, kind: CallKind) => boolean;

type Case = {
	readonly name: string;
	readonly parts: ScriptedParts;
	/** What endpoints do beside what sound ones do. */
	readonly intercept: (scripted: ScriptedWorld) => Intercept;
	/** Reservations that peers were told of. */
	readonly announced: number;
};

/** A first run that falls silent behind its first event, and goes on once the returned function is called. */
function pauseRun({id, socket}: EndpointCall): () => void {
	const first = streamOf(id).slice(0, streamOf(id).length - streamOf(id, 1).length);
	socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${chunkOf(first)}`);
	return () => {
		socket.write(`${chunkOf(streamOf(id, 1))}0\r\n\r\n`);
	};
}

/** Grants the first reservation at an endpoint that accepts no connection from then on. */
function refuseRun(scripted: ScriptedWorld): Intercept {
	let isGranted = false;
	return ({endpoint, socket}, kind) => {
		if (kind === 'reservation' && !isGranted) {
			isGranted = true;
			scripted.endpoints.get(endpoint)?.refuse();
			socket.end(writeResponse(200, {Connection: 'close'}, JSON.stringify({hold: 'first'})));
			return true;
		}

		return false;
	};
}

const cases: readonly Case[] = [
	{
		name: 'a silent run goes on while another one is sought', parts: {prefill: 1, decode: 2}, announced: 1, intercept(scripted) {
			let goOn: (() => void) | undefined;
			return (call, kind) => {
				if (kind === 'run' && goOn === undefined) {
					goOn = pauseRun(call);
					return true;
				}

				if (kind === 'prefill' && goOn !== undefined) {
					goOn();
					setTimeout(() => {
						scripted.answerSoundly(call);
					}, 100);
					return true;
				}

				return false;
			};
		},
	},
	{
		name: 'another run replaces a silent one', parts: {prefill: 1, decode: 2}, announced: 2, intercept() {
			let isBegun = false;
			return (call, kind) => {
				if (kind === 'run' && !isBegun) {
					isBegun = true;
					pauseRun(call);
					return true;
				}

				return false;
			};
		},
	},
	{
		name: 'the connection for the run fails', parts: {decode: 2}, announced: 2, intercept: refuseRun,
	},
];

describe('a reservation that is given up', () => {
	let scripted: ScriptedWorld | undefined;

	afterEach(async () => {
		await scripted?.stop();
		scripted = undefined;
	});

	/** Has all endpoints limited, with permits for all requests; returns the permits that no run used and nothing returned, and the announcements. */
	const limit = ({world: {relays: [entry]}}: ScriptedWorld) => {
		const {limiter, load} = entry!.relay.fleet;
		const counts = {acquired: 0, returned: 0, announced: 0};
		limiter.acquire = async () => {
			counts.acquired += 1;
			return {kind: 'granted', permit: {sendBy: entry!.relay.context.clock.now() + permitMs}};
		};

		limiter.returnPermit = () => {
			counts.returned += 1;
		};

		load.announceReservation = () => {
			counts.announced += 1;
		};

		return counts;
	};

	/** Plays a case; returns what its caller got, and the permits that were used against the sends that needed one. */
	const play = async ({parts, intercept}: Case, id: string) => {
		const world = await startScriptedWorld(parts);
		scripted = world;
		const counts = limit(world);
		const react = intercept(world);
		let written = 0;
		world.intercept = (call, kind) => {
			written += kind === 'run' || kind === 'prefill' ? 1 : 0;
			return react(call, kind);
		};

		const {isWhole, body} = await sendRequest({
			address: world.caller, id, path: '/resumable/1', headers: {'Deadline-Ms': String(deadlineMs)},
		});
		await until(() => world.world.lines.some(({code, facts}) => code === 'requestEnded' && facts.request === id));
		const {acquired, returned, announced} = counts;
		return {
			isWhole, body, unused: acquired - returned - written, announced,
		};
	};

	for (const each of cases) {
		it(`leaves no permit and no announcement behind: ${each.name}`, async () => {
			const id = 'given-up';
			expect(await play(each, id)).toEqual({
				isWhole: true, body: streamOf(id), unused: 0, announced: each.announced,
			});
		});
	}
});
