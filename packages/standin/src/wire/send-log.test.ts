/** Each send that brings no answer leaves one line that shows whether and when it was written, on which connection, and what ended it. */
import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {writeResponse} from './scripted-endpoint.js';
import {
	startScriptedWorld, type EndpointCall, type ScriptedWorld,
} from './scripted-world.js';
import {until} from './world.js';

/** Time for which the first response is held back, in milliseconds. */
const holdMs = 60;

type Case = {
	readonly name: string;
	readonly path: string;
	/** How the first endpoint handles the request. */
	readonly answer: (call: EndpointCall) => void;
	readonly line: {
		readonly outcome: string;
		readonly reason: string;
		readonly status: number | undefined;
		readonly responseId: string | undefined;
	};
	/** Least time between the write and the line, in milliseconds. */
	readonly minSentMs: number;
};

const cases: readonly Case[] = [
	{
		name: 'a rejection', path: '/once/1', answer({socket, id}) {
			setTimeout(() => {
				socket.write(writeResponse(503, {'Request-Id': id, 'Not-Executed': '1'}));
			}, holdMs);
		}, line: {
			outcome: 'notRun', reason: 'refused', status: 503, responseId: 'OWN',
		}, minSentMs: holdMs - 5,
	},
	{
		name: 'a response that names another request', path: '/once/1', answer({socket}) {
			socket.write(writeResponse(503, {'Request-Id': 'another', 'Not-Executed': '1'}));
		}, line: {
			outcome: 'unknown', reason: 'foreign', status: 503, responseId: 'another',
		}, minSentMs: 0,
	},
	{
		name: 'a connection that closes', path: '/once/1', answer({socket}) {
			socket.destroy();
		}, line: {
			outcome: 'unknown', reason: 'reset', status: undefined, responseId: undefined,
		}, minSentMs: 0,
	},
	{
		name: 'a response that is cut', path: '/once/1', answer({socket, id}) {
			socket.end(writeResponse(200, {'Request-Id': id, 'Server-Seal': 'seal'}, 'whole').slice(0, -1));
		}, line: {
			outcome: 'unknown', reason: 'cut', status: 200, responseId: 'OWN',
		}, minSentMs: 0,
	},
	{
		name: 'the loser of a hedge', path: '/repeatable/1', answer() {
			// Stays silent
		}, line: {
			outcome: 'unknown', reason: 'aborted', status: undefined, responseId: undefined,
		}, minSentMs: holdMs,
	},
];

describe('lines of sends', () => {
	let scripted: ScriptedWorld;

	before(async () => {
		scripted = await startScriptedWorld({plain: 2});
	});

	after(async () => {
		await scripted.stop();
	});

	const findLines = (id: string) => scripted.world.lines.filter(({code, facts}) => code === 'sendFailed' && facts.request === id);

	async function check({path, answer, line, minSentMs}: Case, id: string): Promise<void> {
		await scripted.publish();
		let first: EndpointCall | undefined;
		scripted.intercept = call => {
			if (first !== undefined) {
				return false;
			}

			first = call;
			answer(call);
			return true;
		};

		await sendRequest({address: scripted.caller, id, path});
		await until(() => findLines(id).length > 0);
		const lines = findLines(id).map(({facts: {outcome, reason, status, responseId, connection, earlierRequests}}) => ({
			outcome, reason, status, responseId, connection, earlierRequests,
		}));
		expect(lines).toEqual([{
			...line, responseId: line.responseId?.replace('OWN', id), connection: first?.port, earlierRequests: first?.earlierIds.length,
		}]);
		expect(Number(findLines(id)[0]?.facts.sentMs) >= minSentMs).toEqual(true);
	}

	for (const [index, sample] of cases.entries()) {
		it(sample.name, async () => check(sample, `logged-${index}`));
	}

	it('a send of which no byte left', async () => {
		await scripted.publish();
		const id = 'logged-unsent';
		scripted.intercept = () => false;
		for (const endpoint of scripted.endpoints.values()) {
			endpoint.stop();
		}

		const {status} = await sendRequest({address: scripted.caller, id, path: '/once/1'});
		expect(status).toEqual(503);
		const lines = findLines(id).map(({facts: {outcome, reason, connection, sentMs}}) => JSON.stringify([outcome, reason, connection, sentMs]));
		expect(new Set(lines)).toEqual(new Set(['["notRun","connect",null,null]']));
	});
});
