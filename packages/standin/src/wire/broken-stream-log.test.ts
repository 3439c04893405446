/** Guards against lines of broken-off streams that do not tell a stream that was still delivered from one that stood still. */
import {
	after, before, describe, it,
} from 'node:test';
import {type Code} from '@gatehead/schema/codes';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {startScriptedWorld, type EndpointCall, type ScriptedWorld} from './scripted-world.js';
import {until} from './world.js';

/** Deadline of the callers, in milliseconds. */
const deadlineMs = 700;
/** Interval between the events of a stream that is delivered slowly, in milliseconds. */
const eventIntervalMs = 40;

type Case = {
	readonly name: string;
	readonly path: string;
	/** Sends what follows the head. */
	readonly send: (call: EndpointCall) => void;
	readonly expected: {
		readonly code: Code;
		readonly cause: string;
		readonly hasOneEvent: boolean;
	};
};

function writeEvent({socket}: EndpointCall, number: number): void {
	const event = `id: ${number}\ndata: x\n\n`;
	socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
}

const cases: readonly Case[] = [
	{
		name: 'its deadline passes while it is delivered', path: '/resumable/1', send(call) {
			let number = 0;
			const timer = setInterval(() => {
				number += 1;
				writeEvent(call, number);
			}, eventIntervalMs);
			call.socket.once('close', () => {
				clearInterval(timer);
			});
		}, expected: {
			code: 'timeoutSpent', cause: 'deadline', hasOneEvent: false,
		},
	},
	{
		name: 'its deadline passes while it stands still', path: '/resumable/1', send(call) {
			writeEvent(call, 1);
		}, expected: {
			code: 'timeoutSpent', cause: 'deadline', hasOneEvent: true,
		},
	},
	{
		name: 'its endpoint closes the connection', path: '/resumable/1', send(call) {
			writeEvent(call, 1);
			setTimeout(() => {
				call.socket.destroy();
			}, eventIntervalMs);
		}, expected: {
			code: 'streamBroken', cause: 'failed', hasOneEvent: true,
		},
	},
];

describe('the line of a stream that breaks off', () => {
	let scripted: ScriptedWorld;

	before(async () => {
		scripted = await startScriptedWorld({decode: 1, retryAllowance: 0});
	});

	after(async () => {
		await scripted.stop();
	});

	const findLine = (id: string) => scripted.world.lines.find(({facts}) => facts.request === id && facts.outcome === 'brokenOff');

	async function check({path, send, expected}: Case, id: string): Promise<void> {
		await scripted.publish();
		scripted.intercept = (call, kind) => {
			if (kind !== 'run') {
				return false;
			}

			call.socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${call.id}\r\nServer-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`);
			send(call);
			return true;
		};

		const {isWhole} = await sendRequest({
			address: scripted.caller, id, path, headers: {'Deadline-Ms': String(deadlineMs)},
		});
		await until(() => findLine(id) !== undefined);
		const {code, facts} = findLine(id) ?? {};
		const metrics = await scripted.world.relays[0]?.relay.context.metrics.toText() ?? '';
		expect({
			isWhole,
			code,
			hasOneEvent: facts?.events === 1,
			hasSilence: Number.isInteger(facts?.silentMs),
			isCounted: metrics.includes(`gatehead_streams_broken_total{cause="${expected.cause}"`),
		}).toEqual({
			isWhole: false, code: expected.code, hasOneEvent: expected.hasOneEvent, hasSilence: true, isCounted: true,
		});
	}

	for (const [index, sample] of cases.entries()) {
		it(sample.name, async () => check(sample, `broken-${index}`));
	}
});
