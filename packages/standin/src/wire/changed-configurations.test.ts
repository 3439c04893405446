/**
 * Guards against requests that get no answer, or are left in a queue, because a
 * configuration changes or removes what they need while they wait for memory,
 * reserve, have their prompt read, run, or stream.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {writeResponse} from './scripted-endpoint.js';
import {
	bodyOf, reaches, streamOf, type CallKind, type EndpointCall, type Reach, type ScriptedWorld,
} from './scripted-world.js';
import {
	makeConfig, patientTimes, until, type StandinTenant,
} from './world.js';

const okStatus = 200;
const unavailableStatus = 503;
/** Time for which endpoints pause after the change, in milliseconds: longer than the interval between polls of the queues. */
const pauseMs = 100;
const timeoutMs = 60_000;
const modelPaths = ['/resumable/1', '/stream/1'] as const;
const plainPaths = ['/once/1', '/repeatable/1', '/public/1'] as const;
const paths = [...modelPaths, ...plainPaths] as const;
/** Sent with all requests, so that they are served with and without workspaces. */
const callerHeaders = {'Deadline-Ms': patientTimes.timeoutMs, Authorization: 'Bearer key', 'Token-Counts': '100,100'};

type Route = Readonly<Record<string, unknown>> & {readonly name: string; readonly service?: string};
type Service = {readonly name: string; readonly engine?: unknown};
type Configuration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly limits: Readonly<Record<string, number>>;
	readonly tenants?: readonly StandinTenant[];
};

function makeBase(version: number): Configuration {
	return makeConfig(version, undefined, [], patientTimes) as Configuration; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the tests' own configuration
}

const engine = {kvCapacityTokens: 10_000, handleTtlS: 0.5, holdMs: 2000};
const tenant: StandinTenant = {
	name: 'tenant', apiKeys: ['key'], unit: 'request_count', ratePerS: 1000, burst: 1000,
};

const tokenTenant: StandinTenant = {
	...tenant, unit: 'token_count', ratePerS: 1, burst: 1,
};

/** What a change makes of a configuration. */
type Edit = (config: Configuration) => Configuration;

function editRoutes(fields: Readonly<Record<string, unknown>>): Edit {
	return config => ({...config, routes: config.routes.map(route => ({...route, ...fields}))});
}

function editServices(edit: (service: Service) => Service): Edit {
	return config => ({...config, services: config.services.map(service => edit(service))});
}

function withTenants(tenants: readonly StandinTenant[]): Edit {
	return config => ({...config, tenants});
}

const unchanged: Edit = config => config;
const withoutRoutes: Edit = config => ({...config, routes: []});
const withoutAll: Edit = config => ({...config, routes: [], services: []});
const withoutEngines = editServices(({name}) => ({name}));
const withEngines = editServices(service => ({...service, engine}));
const swapped = editServices(({name}) => name === 'model' ? {name} : {name, engine});
const managed = editServices(({name, engine: own}) => own === undefined ? {name} : {name, engine: {...engine, stride: 64}});
const movedRoutes: Edit = config => ({
	...config, routes: config.routes.map(({trafficSplit: _, ...route}) => ({...route, service: route.service === 'model' ? 'plain' : 'model'})),
});
const withOtherKinds: Edit = config => ({
	...config, routes: config.routes.map(route => ({...route, kind: route.kind === 'streaming' ? 'idempotent' : 'streaming'})),
});
const withLowLimits: Edit = config => ({
	...config, limits: {
		maxHeaderBytes: 1, maxBodyBytes: 0, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
});

/** A change of the configuration while requests are in progress. */
type Change = {
	readonly name: string;
	/** In force when the requests arrive; absent: as in all tests. */
	readonly before?: Edit;
	/** Published one right after the other. */
	readonly after: readonly Edit[];
};

const changes: readonly Change[] = [
	{name: 'all routes removed', after: [withoutRoutes]},
	{name: 'all routes and services removed', after: [withoutAll]},
	{name: 'the model turned into a plain service', after: [withoutEngines]},
	{name: 'the plain service turned into a model', after: [withEngines]},
	{name: 'the model and the plain service swapped', after: [swapped]},
	{name: 'the routes moved to the other service', after: [movedRoutes]},
	{name: 'load management switched on', after: [managed]},
	{name: 'load management switched off', before: managed, after: [unchanged]},
	{name: 'load management switched off with the services removed', before: managed, after: [withoutAll]},
	{name: 'timeouts lowered to 1 ms', after: [editRoutes({timeoutMs: 1, targetLatencyMs: 1})]},
	{name: 'timeouts raised', before: editRoutes({timeoutMs: 20_000}), after: [editRoutes({timeoutMs: 3_600_000})]},
	{name: 'one attempt in place of two', after: [editRoutes({maxAttempts: 1, resumable: false})]},
	{name: 'the kinds of routes changed', after: [withOtherKinds]},
	{name: 'keys introduced', after: [withTenants([{...tenant, apiKeys: ['other']}])]},
	{name: 'the key revoked', before: withTenants([tenant]), after: [withTenants([{...tenant, apiKeys: []}])]},
	{name: 'the workspace removed', before: withTenants([tenant]), after: [withTenants([])]},
	{name: 'keys dropped', before: withTenants([tenant]), after: [unchanged]},
	{name: 'the quota lowered', before: withTenants([tenant]), after: [withTenants([{...tenant, ratePerS: 0.001, burst: 0}])]},
	{name: 'the quota in another unit', before: withTenants([tenant]), after: [withTenants([tokenTenant])]},
	{name: 'limits of callers lowered', after: [withLowLimits]},
	{name: 'five configurations at once', after: [withoutAll, managed, swapped, withLowLimits, withoutRoutes]},
	{name: 'five configurations at once, the last one as the first', after: [withoutAll, managed, withTenants([]), withoutEngines, unchanged]},
];

/** What endpoints do with a call before the change. `reject`: they have no room; `hold`: they pause; `begin`: they send the first event, then pause. */
type Hold = 'reject' | 'hold' | 'begin';

/** Where requests to the model are when the configuration changes; plain calls are at endpoints that pause. */
type Phase = {
	readonly name: string;
	readonly kind: CallKind;
	readonly hold: Hold;
	readonly reaches: readonly Reach[];
	readonly statuses: readonly number[];
};

const phases: readonly Phase[] = [
	{
		name: 'waiting for memory', kind: 'reservation', hold: 'reject', reaches: ['direct', 'forwarded'], statuses: [okStatus],
	},
	{
		name: 'reserving', kind: 'reservation', hold: 'hold', reaches: ['direct'], statuses: [okStatus, unavailableStatus],
	},
	{
		name: 'whose prompt is read', kind: 'prefill', hold: 'hold', reaches: ['direct'], statuses: [okStatus],
	},
	{
		name: 'running', kind: 'run', hold: 'hold', reaches: ['direct', 'forwarded'], statuses: [okStatus],
	},
	{
		name: 'streaming, then broken off where they may continue', kind: 'run', hold: 'begin', reaches: ['direct', 'forwarded'], statuses: [okStatus],
	},
];

/** The calls that endpoints hold back. */
class HeldCalls {
	readonly ids = new Set<string>();
	readonly #scripted: ScriptedWorld;
	readonly #phase: Phase;
	readonly #calls: EndpointCall[] = [];
	#isHolding = true;

	constructor(scripted: ScriptedWorld, phase: Phase) {
		this.#scripted = scripted;
		this.#phase = phase;
		scripted.intercept = (call, kind) => this.#isHolding && this.#intercept(call, kind);
	}

	/** Has endpoints serve what they hold and all that follows. */
	release(): void {
		this.#isHolding = false;
		for (const call of this.#calls) {
			this.#finish(call);
		}
	}

	#intercept(call: EndpointCall, kind: CallKind): boolean {
		const {kind: heldKind, hold} = this.#phase;
		const isPlain = call.stage === undefined;
		if (isPlain ? kind !== 'run' : kind !== heldKind) {
			return false;
		}

		// Reservations name no request; as many as there are requests have to be held
		this.ids.add(call.id === '' ? `${call.endpoint}-${this.ids.size}` : call.id);
		if (isPlain || hold === 'hold') {
			this.#calls.push(call);
		} else if (hold === 'reject') {
			call.socket.write(writeResponse(unavailableStatus, {}));
		} else {
			this.#calls.push(call);
			call.socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${call.id}\r\nServer-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${toChunk(firstEventOf(call.id))}`);
		}

		return true;
	}

	#finish(call: EndpointCall): void {
		if (call.stage === undefined || this.#phase.hold !== 'begin') {
			this.#scripted.answerSoundly(call);
		} else if (call.id.startsWith('/resumable/')) {
			call.socket.destroy();
		} else {
			call.socket.write(`${toChunk(streamOf(call.id, 1))}0\r\n\r\n`);
		}
	}
}

function toChunk(text: string): string {
	return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function firstEventOf(id: string): string {
	const whole = streamOf(id);
	return whole.slice(0, whole.length - streamOf(id, 1).length);
}

/** Ids of one request for each path. */
function makeIds(name: string): readonly string[] {
	return paths.map(path => `${path}${name}`);
}

async function askAll({caller}: ScriptedWorld, name: string) {
	return Promise.all(paths.map(async path => sendRequest({
		address: caller, id: `${path}${name}`, path, headers: callerHeaders,
	})));
}

/** Bodies of whole answers. */
function makeBodies(name: string): readonly string[] {
	return makeIds(name).map((id, index) => index < modelPaths.length ? streamOf(id) : bodyOf(id));
}

/** Hosts and endpoints for all changes of one phase. */
class Bed {
	readonly #scripted: ScriptedWorld;
	readonly #phase: Phase;
	#version = 1;

	constructor(scripted: ScriptedWorld, phase: Phase) {
		this.#scripted = scripted;
		this.#phase = phase;
	}

	/** Changes the configuration while a request for each path is in progress. */
	async play({name, before = unchanged, after}: Change): Promise<void> {
		const {relays, lines} = this.#scripted.world;
		const from = lines.length;
		// New starts, of which no failures are known
		await this.#scripted.publish();
		await this.#publish([before]);
		const held = new HeldCalls(this.#scripted, this.#phase);
		const answering = askAll(this.#scripted, name);
		await until(() => held.ids.size >= paths.length);
		await this.#publish(after);
		await wait(pauseMs);
		held.release();
		const answers = await answering;
		const bodies = makeBodies(name);
		expect(answers.map(({isWhole}) => isWhole)).toEqual(paths.map(() => true));
		expect(answers.map(({status}) => status).filter(status => !this.#phase.statuses.includes(status))).toEqual([]);
		expect(answers.map(({body, status}, index) => status === okStatus ? body : bodies[index])).toEqual([...bodies]);
		await until(() => relays.every(({relay}) => relay.describe().open === 0 && relay.describe().waiting === 0));
		await this.#publish([unchanged]);
		const later = await askAll(this.#scripted, `${name}, later`);
		expect(later.map(({status}) => status)).toEqual(paths.map(() => okStatus));
		expect(lines.slice(from).filter(({code}) => code === 'internal')).toEqual([]);
	}

	async stop(): Promise<void> {
		await this.#scripted.stop();
	}

	/** Publishes configurations one right after the other, and waits until all hosts use the last one. */
	async #publish(edits: readonly Edit[]): Promise<void> {
		const {relays, store} = this.#scripted.world;
		for (const edit of edits) {
			this.#version += 1;
			store.put('op/config', edit(makeBase(this.#version)));
		}

		await until(() => relays.every(({relay}) => relay.routing.version === this.#version));
	}
}

function describePhase(phase: Phase, reach: Reach): void {
	describe(`requests ${phase.name}, ${reach}, while a configuration changes what they need, are answered or rejected`, () => {
		let bed: Bed;
		const play = async (change: Change) => {
			await bed.play(change);
		};

		before(async () => {
			bed = new Bed(await reaches[reach]({plain: 2, prefill: 1, decode: 2}), phase);
		});
		after(async () => {
			await bed.stop();
		});
		for (const change of changes) {
			it(change.name, {timeout: timeoutMs}, async () => {
				await play(change);
			});
		}
	});
}

for (const phase of phases) {
	for (const reach of phase.reaches) {
		describePhase(phase, reach);
	}
}
