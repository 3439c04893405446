/**
 * Numbers that a timer, a sum or a message between hosts cannot hold, in a
 * configuration or in the headers of callers. Guards against requests that
 * time out at once, shares that follow no weight, and hosts that no longer
 * receive what others tell them.
 */
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {
	makeConfig, patientTimes, startWorld, until, type RouteTimes, type World,
} from './world.js';

type Draft = Readonly<Record<string, unknown>>;
type ServiceDraft = Draft & {readonly engine?: Draft};
type ConfigDraft = {readonly routes: readonly Draft[]; readonly services: readonly ServiceDraft[]; readonly limits: Draft};

/** Fields that replace those of a configuration. */
type Replacement = {
	readonly route?: Draft;
	readonly service?: Draft;
	readonly engine?: Draft;
	readonly limits?: Draft;
	readonly tenants?: readonly Draft[];
};

type Case = {
	readonly name: string;
	readonly replacement: Replacement;
};

const paths = ['/once/1', '/repeatable/1', '/resumable/1', '/stream/1'] as const;
const largest = Number.MAX_VALUE;
const largestInteger = Number.MAX_SAFE_INTEGER;
/** Interval at which hosts tell each other their load, and some more, in milliseconds. */
const reportIntervalMs = 1100;
/** The longest delay of a timer of Node, in milliseconds. */
const maxTimerMs = (2 ** 31) - 1;
/** Of a caller with a key that leaves the timeout to the route. */
const callerHeaders = {Authorization: 'Bearer key', 'Deadline-Ms': ''};

const largestTenant = {
	name: 'tenant', apiKeys: ['key'], priority: largestInteger, unit: 'token_count', plainTokens: largest, ratePerS: largest, burst: largest,
};

const cases: readonly Case[] = [
	{name: 'a timeout one beyond the longest timer', replacement: {route: {timeoutMs: maxTimerMs + 1}}},
	{name: 'the largest timeout', replacement: {route: {timeoutMs: largest}}},
	{name: 'the largest targets', replacement: {route: {targetLatencyMs: largest, gapTargetMs: largest}}},
	{name: 'the largest timeout and targets', replacement: {route: {timeoutMs: largest, targetLatencyMs: largest, gapTargetMs: largest}}},
	{name: 'the largest number of attempts', replacement: {route: {maxAttempts: largestInteger}}},
	{name: 'the lowest priority', replacement: {route: {priority: largestInteger}}},
	{name: 'the most connections', replacement: {service: {maxConns: largestInteger}}},
	{name: 'the largest memory', replacement: {engine: {kvCapacityTokens: largestInteger}}},
	{name: 'the longest reservations', replacement: {engine: {holdMs: largest}}},
	{name: 'the longest life of results', replacement: {engine: {handleTtlS: 1e300}}},
	{name: 'the most slots and events', replacement: {engine: {slots: largestInteger, stride: largestInteger}}},
	{name: 'a header timeout that wraps around in 32 bits', replacement: {limits: {headerTimeoutMs: (2 ** 32) - 1499}}},
	{name: 'the largest header and idle timeouts', replacement: {limits: {headerTimeoutMs: largest, idleTimeoutMs: largest}}},
	{name: 'timeouts of 0', replacement: {limits: {headerTimeoutMs: 0, idleTimeoutMs: 0}}},
	{name: 'the largest quota', replacement: {tenants: [largestTenant]}},
	{name: 'the largest burst', replacement: {tenants: [{...largestTenant, unit: 'request_count', ratePerS: 1}]}},
];

function makeDraft(version: number, {route, service, engine, limits, tenants}: Replacement, times?: RouteTimes): unknown {
	const config = makeConfig(version, undefined, [], times) as ConfigDraft; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- made there
	return {
		...config,
		routes: config.routes.map(each => ({...each, ...route})),
		services: config.services.map(each => ({...each, ...service, ...(each.engine === undefined ? {} : {engine: {...each.engine, ...engine}})})),
		limits: {...config.limits, ...limits},
		...(tenants === undefined ? {} : {tenants}),
	};
}

/** Status and body of a refusal. */
const refusal = /^(?:400|503) \{"error"/v;

/** Values of the headers of callers that state numbers. */
const headers: Readonly<Record<string, readonly string[]>> = {
	'Token-Counts': ['1e308', '1e308,1e308', '9007199254740993,1', '-1,-1', 'NaN,Infinity', ''],
	'Length-Hint': ['1e308', '9007199254740993', '-1', 'NaN', 'Infinity'],
	'Deadline-Ms': ['1e308', '2147483648', '9007199254740993', 'NaN', 'Infinity', ''],
	'Prompt-Prefix': ['aa:1e308', 'aa:1e999', 'aa:-1,bb:1e308', 'aa:9007199254740993,bb:NaN'],
	'Last-Event-Id': ['1e308', '9007199254740993'],
};

describe('numbers at the ends of their ranges', () => {
	let world: World;
	let version = 1;
	let requests = 0;
	/** Sends a request of each kind to each host; returns what is not a whole answer of an endpoint. */
	const ask = async (headers: Readonly<Record<string, string>>) => {
		const answers = await Promise.all(world.relays.flatMap(({caller}) => paths.map(async path => {
			requests += 1;
			return sendRequest({
				address: caller, id: `r-${requests}`, path, headers,
			});
		})));
		return answers.filter(({status, isWhole}) => status !== 200 || !isWhole).map(({status, body}) => `${status} ${body}`);
	};

	const publish = async (replacement: Replacement, times?: RouteTimes) => {
		version += 1;
		world.store.put('op/config', makeDraft(version, replacement, times));
		await until(() => world.relays.every(({relay}) => relay.routing.version === version));
	};

	const listFaults = (from: number) => world.lines.slice(from).filter(({code}) => code === 'internal' || code === 'peerRefused').map(({facts}) => facts.detail);

	const playConfiguration = async (replacement: Replacement) => {
		const from = world.lines.length;
		await publish(replacement, patientTimes);
		expect(await ask(callerHeaders)).toEqual([]);
		expect(listFaults(from)).toEqual([]);
	};

	const playHeader = async (name: string, values: readonly string[]) => {
		await publish({});
		const from = world.lines.length;
		for (const value of values) {
			const failures = await ask({[name]: value});
			expect(failures.filter(failure => !refusal.test(failure))).toEqual([]);
		}

		await pause(reportIntervalMs);
		expect(listFaults(from)).toEqual([]);
		const failures = await ask({});
		expect(failures.filter(failure => !refusal.test(failure))).toEqual([]);
	};

	before(async () => {
		world = await startWorld({
			hosts: 2, plain: 1, prefill: 1, decode: 1, slots: 64, loadManagement: 'on',
		});
	});
	after(async () => {
		await world.stop();
	});

	// Guards against timers that fire at once, and against messages that peers refuse
	for (const {name, replacement} of cases) {
		it(`a configuration with ${name}: all requests are served, and hosts receive each other's messages`, {timeout: 20_000}, async () => {
			await playConfiguration(replacement);
		});
	}

	// Guards against a caller whose request keeps the load of all others from the other hosts
	for (const [name, values] of Object.entries(headers)) {
		it(`${name} beyond what hosts tell each other: an answer or a refusal, and nothing that other hosts refuse`, {timeout: 20_000}, async () => {
			await playHeader(name, values);
		});
	}
});
