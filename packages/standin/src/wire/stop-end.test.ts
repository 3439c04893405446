/** Guards against requests that get neither a response nor a rejection because their host's planned stop ends before they do. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {writeResponse} from './scripted-endpoint.js';
import {startScriptedWorld, type CallKind, type EndpointCall} from './scripted-world.js';
import {patientTimes, until} from './world.js';

/** Status that does not promise that a request has not run. */
const unknownStatus = 502;
const unavailableStatus = 503;

type Case = {
	readonly name: string;
	/** Handles a call instead of its endpoint; returns whether it did. */
	readonly intercept: (call: EndpointCall, kind: CallKind) => boolean;
	/** Whether all requests are where they wait until the stop ends. */
	readonly isWaiting: (calls: readonly CallKind[], requests: number) => boolean;
	/** Status by path. */
	readonly statuses: Readonly<Record<string, number>>;
};

const cases: readonly Case[] = [
	{
		name: 'sent to an endpoint that pauses',
		intercept: (_call, kind) => kind === 'run',
		isWaiting: (calls, requests) => calls.filter(kind => kind === 'run').length >= requests,
		statuses: {
			'/once/1': unknownStatus, '/repeatable/1': unavailableStatus, '/stream/1': unknownStatus, '/resumable/1': unavailableStatus,
		},
	},
	{
		name: 'waiting for memory',
		intercept({socket}, kind) {
			if (kind === 'reservation') {
				socket.write(writeResponse(unavailableStatus, {}));
			}

			return kind === 'reservation';
		},
		isWaiting: calls => calls.includes('reservation'),
		statuses: {'/stream/1': unavailableStatus, '/resumable/1': unavailableStatus},
	},
];

describe('requests that outlast a planned stop are rejected, and truly so', () => {
	for (const {name, intercept, isWaiting, statuses} of cases) {
		it(name, {timeout: 60_000}, async () => {
			const scripted = await startScriptedWorld({plain: 1, prefill: 1, decode: 1});
			try {
				const [{relay}] = scripted.world.relays as [typeof scripted.world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has one host
				const calls: CallKind[] = [];
				scripted.intercept = (call, kind) => {
					calls.push(kind);
					return intercept(call, kind);
				};

				const paths = Object.keys(statuses);
				const sending = paths.map(async path => sendRequest({
					address: scripted.caller, id: path, path, headers: {'Deadline-Ms': patientTimes.timeoutMs},
				}));
				await until(() => isWaiting(calls, paths.length));
				await relay.stop();
				const answers = await Promise.all(sending);
				const seen = answers.map(({status, isWhole}, index) => ({path: paths[index], status, isWhole}));
				expect(seen).toEqual(paths.map(path => ({path, status: statuses[path] ?? 0, isWhole: true})));
			} finally {
				await scripted.stop();
			}
		});
	}
});
