/** Guards against requests that get no response because a configuration removes their route and service while they wait. */
import {setTimeout as wait} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {type LoadManagement} from '@gatehead/schema/relay-settings';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {writeResponse} from './scripted-endpoint.js';
import {startScriptedWorld, type CallKind, type EndpointCall} from './scripted-world.js';
import {makeConfig, patientTimes, until} from './world.js';

const okStatus = 200;
const unavailableStatus = 503;
/** Deadline of requests that cannot be served, in milliseconds. */
const shortMs = 2500;
const longMs = patientTimes.timeoutMs;
/** Time for which endpoints pause after the removal, in milliseconds. */
const pauseMs = 1500;

type Configuration = {readonly routes: ReadonlyArray<{readonly name: string}>; readonly services: ReadonlyArray<{readonly name: string}>};

/** A configuration without one service and its routes. */
function withoutService(version: number, service: string, removedRoutes: readonly string[]): unknown {
	const config = makeConfig(version, undefined, [], patientTimes) as Configuration; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the test's own configuration
	return {
		...config, routes: config.routes.filter(({name}) => !removedRoutes.includes(name)), services: config.services.filter(({name}) => name !== service),
	};
}

type Case = {
	readonly name: string;
	readonly service: 'model' | 'plain';
	/** Calls that endpoints do not serve before the removal. */
	readonly heldKind: CallKind;
	/** Whether such a call is rejected; otherwise its endpoint pauses. */
	readonly isRejected: boolean;
	/** Whether endpoints serve such calls some time after the removal. */
	readonly isFreed: boolean;
	readonly statuses: readonly number[];
};

const routesByService = {model: ['resumable', 'stream'], plain: ['once', 'repeatable', 'public']} as const;
const pathsByService = {model: ['/resumable/1', '/stream/1'], plain: ['/once/1', '/repeatable/1']} as const;

const cases: readonly Case[] = [
	{
		name: 'waiting for memory that is freed after the removal', service: 'model', heldKind: 'reservation', isRejected: true, isFreed: true, statuses: [okStatus],
	},
	{
		name: 'waiting for memory until their deadline', service: 'model', heldKind: 'reservation', isRejected: true, isFreed: false, statuses: [unavailableStatus],
	},
	{
		name: 'reserving at an endpoint that pauses', service: 'model', heldKind: 'reservation', isRejected: false, isFreed: true, statuses: [okStatus, unavailableStatus],
	},
	{
		name: 'whose prompt is at an endpoint that pauses', service: 'model', heldKind: 'prefill', isRejected: false, isFreed: true, statuses: [okStatus],
	},
	{
		name: 'running at an endpoint that pauses', service: 'model', heldKind: 'run', isRejected: false, isFreed: true, statuses: [okStatus],
	},
	{
		name: 'called at an endpoint that pauses', service: 'plain', heldKind: 'run', isRejected: false, isFreed: true, statuses: [okStatus],
	},
];

describe('requests whose route and service are removed meanwhile are answered or rejected', () => {
	for (const loadManagement of ['off', 'on'] as const satisfies readonly LoadManagement[]) {
		for (const {name, service, heldKind, isRejected, isFreed, statuses} of cases) {
			it(`${name}; load management ${loadManagement}`, {timeout: 60_000}, async () => {
				const scripted = await startScriptedWorld({
					plain: 1, prefill: 1, decode: 2, loadManagement,
				});
				try {
					const [{relay}] = scripted.world.relays as [typeof scripted.world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has one host
					const held: EndpointCall[] = [];
					let heldCount = 0;
					let isHolding = true;
					scripted.intercept = (call, kind) => {
						if (kind !== heldKind || !isHolding) {
							return false;
						}

						heldCount += 1;
						if (isRejected) {
							call.socket.write(writeResponse(unavailableStatus, {}));
						} else {
							held.push(call);
						}

						return true;
					};

					const paths = pathsByService[service];
					const sending = paths.map(async path => sendRequest({
						address: scripted.caller, id: path, path, headers: {'Deadline-Ms': isFreed ? longMs : shortMs},
					}));
					await until(() => heldCount >= paths.length);
					scripted.world.store.put('op/config', withoutService(2, service, routesByService[service]));
					await until(() => relay.routing.version === 2);
					await wait(pauseMs);
					isHolding = !isFreed;
					for (const call of isFreed ? held : []) {
						scripted.answerSoundly(call);
					}

					const answers = await Promise.all(sending);
					expect(answers.map(({isWhole}) => isWhole)).toEqual(paths.map(() => true));
					expect(answers.map(({status}) => status).filter(status => !statuses.includes(status))).toEqual([]);
					expect(scripted.world.lines.filter(({code}) => code === 'internal')).toEqual([]);
				} finally {
					await scripted.stop();
				}
			});
		}
	}
});
