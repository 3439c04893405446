/** Guards against requests that are rejected because all their endpoints pause before anything is run, although their target leaves time to wait. */
import {setTimeout as wait} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {type LoadManagement} from '@gatehead/schema/relay-settings';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {startScriptedWorld, type EndpointCall} from './scripted-world.js';
import {type World} from './world.js';

const timeoutMs = 20_000;
/** Time between two requests, in milliseconds. */
const gapMs = 20;

type Case = {
	readonly path: string;
	/** Number of endpoints. */
	readonly endpoints: number;
	/** Requests that arrive during the pause; fewer than the endpoints have memory for. */
	readonly requests: number;
	readonly pauseMs: number;
	/** Target of the requests, in milliseconds. */
	readonly targetLatencyMs: number;
};

const cases: readonly Case[] = [
	{
		path: '/stream/1', endpoints: 1, requests: 3, pauseMs: 1200, targetLatencyMs: 6000,
	},
	{
		path: '/stream/1', endpoints: 1, requests: 3, pauseMs: 2000, targetLatencyMs: 8000,
	},
	{
		path: '/stream/1', endpoints: 4, requests: 12, pauseMs: 1500, targetLatencyMs: 3500,
	},
	{
		path: '/resumable/1', endpoints: 4, requests: 12, pauseMs: 1500, targetLatencyMs: 3500,
	},
	{
		path: '/stream/1', endpoints: 4, requests: 8, pauseMs: 2000, targetLatencyMs: 6000,
	},
	{
		path: '/stream/1', endpoints: 4, requests: 8, pauseMs: 2000, targetLatencyMs: timeoutMs,
	},
	{
		path: '/once/1', endpoints: 1, requests: 8, pauseMs: 2000, targetLatencyMs: 6000,
	},
	{
		path: '/once/1', endpoints: 4, requests: 8, pauseMs: 2000, targetLatencyMs: 6000,
	},
	{
		path: '/repeatable/1', endpoints: 4, requests: 8, pauseMs: 2000, targetLatencyMs: 6000,
	},
];

async function sendAll(address: string, {path, requests}: Case) {
	return Promise.all(Array.from({length: requests}, async (_, index) => {
		await wait(index * gapMs);
		const id = `waiting-${index}`;
		const {status, isWhole, headers} = await sendRequest({
			address, id, path, headers: {'Deadline-Ms': String(timeoutMs)},
		});
		return {status, isWhole, retryAfter: headers['retry-after']};
	}));
}

/** Reasons for which a host rejected requests. */
function listRejections({lines}: World) {
	return lines.filter(({facts}) => facts.outcome === 'refused').map(({code, facts: {detail}}) => ({code, detail}));
}

describe('requests whose endpoints all pause are served', {concurrency: 4}, () => {
	for (const loadManagement of ['off', 'on'] as const satisfies readonly LoadManagement[]) {
		for (const each of cases) {
			const {path, endpoints, requests, pauseMs, targetLatencyMs} = each;
			it(`${path}, ${endpoints} endpoints pause for ${pauseMs} ms, target ${targetLatencyMs} ms, load management ${loadManagement}`, async () => {
				const isPlain = path.startsWith('/once') || path.startsWith('/repeatable');
				const scripted = await startScriptedWorld({[isPlain ? 'plain' : 'decode']: endpoints, loadManagement, routeTimes: {timeoutMs, targetLatencyMs}});
				try {
					const held: EndpointCall[] = [];
					let isPaused = true;
					scripted.intercept = call => {
						if (isPaused) {
							held.push(call);
						}

						return isPaused;
					};

					const sending = sendAll(scripted.caller, each);
					await wait(pauseMs);
					isPaused = false;
					for (const call of held) {
						scripted.answerSoundly(call);
					}

					const answers = await sending;
					expect({answers, rejections: listRejections(scripted.world)}).toEqual({answers: answers.map(() => ({status: 200, isWhole: true, retryAfter: undefined})), rejections: []});
					expect(new Set(scripted.runs).size).toEqual(requests);
				} finally {
					await scripted.stop();
				}
			});
		}
	}
});
