/**
 * Finds out which services this host has lost its links to. Where nothing is
 * heard from a service, the links to its endpoints are probed by connections;
 * the way back is found by probes alone, so that no request is lost on it.
 */
import {type GroupVerdict} from '@gatehead/policy/relay/endpoint-contacts';
import {type Timer} from '@gatehead/policy/utils/clock';
import {jitter, pick} from '@gatehead/policy/utils/random';
import {type Endpoint} from '@gatehead/schema/routing';
import {type RelayContext} from '../core/context.js';
import {type RoutingState} from '../core/routing-state.js';
import {probeConnection} from './connection-probe.js';
import {type Endpoints} from './endpoints.js';

/** Mean interval between checks, and between probes of an unreachable service, in milliseconds. */
const checkIntervalMs = 200;
/** Jitter as a share of the interval, so that hosts do not reconnect in step. */
const checkJitter = 0.4;
/** Time for which a service must stay reachable before it counts as such again, in milliseconds; keeps a flapping link from taking requests. */
const returnMs = 300;

/** Endpoints that can stand in for each other: all of a plain service, or one stage of a model. */
type EndpointGroup = readonly Endpoint[];

/** A service that this host cannot reach. */
type Loss = {
	readonly since: number;
	/** Time of the first contact after the loss, as long as no probe has failed since. */
	returnedAt: number | undefined;
};

/** Dependencies of `Reachability`. */
export type ReachabilityParts = {
	readonly context: RelayContext;
	readonly endpoints: Endpoints;
	readonly routing: RoutingState;
	/** Called when the list of unreachable services has changed. */
	readonly onChange: (unreachable: readonly string[]) => void;
};

/** This host's links to the endpoints of each service. */
export class Reachability {
	readonly #parts: ReachabilityParts;
	readonly #losses = new Map<string, Loss>();
	/** Probes in progress, by endpoint id. */
	readonly #probes = new Map<string, Promise<void>>();
	#timer: Timer | undefined;

	constructor(parts: ReachabilityParts) {
		this.#parts = parts;
	}

	/** Names of the services that this host cannot reach. */
	get unreachable(): string[] {
		return [...this.#losses.keys()];
	}

	/** Whether this host has lost its links to a service, or to one stage of it. */
	isUnreachable(service: string): boolean {
		return this.#losses.has(service);
	}

	/** Whether this host reaches no endpoint of any service that has some. */
	get isPartitioned(): boolean {
		const services = this.#parts.routing.table?.routing.services ?? [];
		const populated = services.filter(({name}) => this.#parts.endpoints.book.listReady(name).length > 0);
		return populated.length > 0 && populated.every(({name}) => this.#losses.has(name));
	}

	/** Starts the periodic checks. */
	start(): void {
		const {clock, random} = this.#parts.context;
		this.#timer = clock.after(jitter(random, checkIntervalMs, checkJitter), () => {
			this.#checkAll();
			this.start();
		});
	}

	close(): void {
		this.#timer?.stop();
	}

	/** Checks a service after a failed connection. */
	check(service: string): void {
		const {context: {clock}, endpoints} = this.#parts;
		const groups = this.#listGroups(service);
		const verdicts = groups.map(group => ({group, verdict: endpoints.contacts.judge(group.map(({id}) => id), clock.now())}));
		for (const {group, verdict} of verdicts) {
			if (verdict.kind === 'doubtful') {
				this.#probeAll(group.filter(({id}) => verdict.candidates.includes(id)));
			}
		}

		this.#update(service, verdicts.map(({verdict}) => verdict));
	}

	/** Resolves when the probes of a service in progress have ended, so that a request can tell a failed endpoint from lost links. */
	async settle(service: string): Promise<void> {
		await Promise.all(this.#listGroups(service).flat().map(async ({id}) => this.#probes.get(id)));
	}

	#checkAll(): void {
		const {routing} = this.#parts;
		const services = new Set(routing.table?.routing.services.map(({name}) => name));
		for (const service of this.#losses.keys()) {
			if (!services.has(service)) {
				this.#end(service);
			}
		}

		for (const service of services) {
			this.check(service);
			this.#probeLost(service);
		}
	}

	/** Groups of a service that have any endpoint. */
	#listGroups(service: string): EndpointGroup[] {
		const ready = this.#parts.endpoints.book.listReady(service);
		const stages = new Set(ready.map(({stage}) => stage));
		return [...stages].map(stage => ready.filter(each => each.stage === stage));
	}

	#update(service: string, verdicts: readonly GroupVerdict[]): void {
		const {clock} = this.#parts.context;
		const isLost = verdicts.some(({kind}) => kind === 'unreachable');
		const loss = this.#losses.get(service);
		if (loss === undefined) {
			if (isLost) {
				this.#begin(service);
			}

			return;
		}

		if (isLost || verdicts.some(({kind}) => kind === 'doubtful')) {
			loss.returnedAt = undefined;
			return;
		}

		loss.returnedAt ??= clock.now();
		if (clock.now() - loss.returnedAt >= returnMs) {
			this.#end(service);
		}
	}

	/** Probes one endpoint of each group of a lost service. */
	#probeLost(service: string): void {
		const loss = this.#losses.get(service);
		if (loss === undefined) {
			return;
		}

		for (const group of this.#listGroups(service)) {
			const endpoint = pick(this.#parts.context.random, [...group]);
			this.#probeAll(endpoint === undefined ? [] : [endpoint]);
		}
	}

	#probeAll(endpoints: readonly Endpoint[]): void {
		for (const endpoint of endpoints) {
			if (!this.#probes.has(endpoint.id)) {
				this.#probes.set(endpoint.id, this.#probe(endpoint));
			}
		}
	}

	async #probe({id, address, service}: Endpoint): Promise<void> {
		const {context: {clock, metrics, settings: {timing: {connectMs}}}, endpoints: {contacts}} = this.#parts;
		const startedAt = clock.now();
		const result = await probeConnection({clock, address, connectMs});
		this.#probes.delete(id);
		metrics.add('linkProbes', {outcome: result});
		if (result === 'connected') {
			contacts.recordContact(id, clock.now());
		} else {
			contacts.recordFailure(id, startedAt);
		}

		this.check(service);
	}

	#begin(service: string): void {
		const {context: {clock, log, metrics}, endpoints} = this.#parts;
		this.#losses.set(service, {since: clock.now(), returnedAt: undefined});
		metrics.set('unreachableServices', this.#losses.size);
		log('endpointsUnreachable', {service, endpoints: endpoints.book.listReady(service).length});
		this.#parts.onChange(this.unreachable);
	}

	#end(service: string): void {
		const {context: {clock, log, metrics}, endpoints} = this.#parts;
		const since = this.#losses.get(service)?.since ?? clock.now();
		this.#losses.delete(service);
		endpoints.forgetFailures(service);
		metrics.set('unreachableServices', this.#losses.size);
		log('endpointsReachable', {service, endpoints: endpoints.book.listReady(service).length, lostMs: Math.round(clock.now() - since)});
		this.#parts.onChange(this.unreachable);
	}
}
