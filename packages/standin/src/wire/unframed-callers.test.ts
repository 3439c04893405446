/** Guards against a connection that is closed without a response although nothing of one was sent: to callers of HTTP/1.0 a stream is sent once it is complete. */
import {
	afterEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {openCaller} from './raw-caller.js';
import {
	reaches, streamOf, type EndpointCall, type Reach, type ScriptedWorld,
} from './scripted-world.js';

/** Deadline of the callers that a stream exceeds, in milliseconds. */
const shortMs = 800;
const longMs = 15_000;

type Fault = (call: EndpointCall) => void;

function begin({id, socket}: EndpointCall): void {
	const [event = ''] = streamOf(id).split('id: 2');
	socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Seal: seal\r\nContent-Type: text/event-stream\r\nContent-Length: 1000\r\n\r\n${event}`);
}

/** How the run of a stream ends behind its first event. */
const faults = {
	'is cut'(call) {
		begin(call);
		call.socket.end();
	},
	'falls silent': begin,
} as const satisfies Readonly<Record<string, Fault>>;

type Case = {
	readonly fault: keyof typeof faults;
	readonly path: string;
	readonly deadlineMs: number;
	readonly status: number;
};

const cases: readonly Case[] = [
	{
		fault: 'is cut', path: '/stream/1', deadlineMs: longMs, status: 502,
	},
	{
		fault: 'is cut', path: '/resumable/1', deadlineMs: longMs, status: 502,
	},
	{
		fault: 'falls silent', path: '/stream/1', deadlineMs: shortMs, status: 504,
	},
	{
		fault: 'falls silent', path: '/resumable/1', deadlineMs: shortMs, status: 504,
	},
];

describe('a caller of HTTP/1.0', () => {
	let scripted: ScriptedWorld | undefined;

	afterEach(async () => {
		await scripted?.stop();
		scripted = undefined;
	});

	const play = async (path: string, reach: Reach, deadlineMs: number, fault?: Fault): Promise<string> => {
		const world = await reaches[reach]({decode: 2});
		scripted = world;
		world.intercept = (call, kind) => {
			if (kind !== 'run' || fault === undefined) {
				return false;
			}

			fault(call);
			return true;
		};

		const caller = await openCaller(world.caller);
		caller.socket.write(`POST ${path} HTTP/1.0\r\nHost: calls.example\r\nRequest-Id: old\r\nDeadline-Ms: ${deadlineMs}\r\nContent-Length: 1\r\n\r\nq`);
		await caller.ended;
		caller.socket.destroy();
		return caller.text();
	};

	for (const reach of ['direct', 'forwarded'] as const) {
		it(`gets a whole stream, ${reach}`, async () => {
			const text = await play('/stream/1', reach, longMs);
			expect(text.endsWith(`\r\n\r\n${streamOf('old')}`)).toEqual(true);
		});

		for (const {fault, path, deadlineMs, status} of cases) {
			it(`gets ${status} when the stream ${fault}, ${path}, ${reach}`, async () => {
				const text = await play(path, reach, deadlineMs, faults[fault]);
				const [head = '', body = ''] = text.split('\r\n\r\n');
				expect({status: head.split(' ')[1], isError: body.startsWith('{"error":'), hasEvents: text.includes('piece')}).toEqual({status: String(status), isError: true, hasEvents: false});
			});
		}
	}
});
