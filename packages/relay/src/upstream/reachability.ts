/**
 * Finds out which services this host has lost its links to. Where nothing is
 * heard from a service, the links to its endpoints are probed by connections;
 * the way back is found by probes alone, so that no request is lost on it. One
 * endpoint that stays reachable is enough: the others may be down for all.
 */
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
/** Time for which an endpoint must stay reachable before its service counts as such again, in milliseconds; keeps a flapping link from taking requests. */
const returnMs = 300;

/** A service that this host cannot reach. */
type Loss = {
	readonly since: number;
	/** The first endpoint that a probe has reached since, and when; undefined again once a probe of it fails. */
	returned: {readonly endpoint: string; readonly at: number} | undefined;
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

	/** Whether this host has lost its links to all endpoints of a service that requests cannot do without. */
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
		if (this.#losses.has(service)) {
			return;
		}

		const {context: {clock}, endpoints} = this.#parts;
		const essential = this.#listEssential(service);
		const verdict = endpoints.contacts.judge(essential.map(({id}) => id), clock.now());
		if (verdict.kind === 'unreachable') {
			this.#begin(service);
			return;
		}

		if (verdict.kind === 'reachable') {
			return;
		}

		for (const endpoint of essential.filter(({id}) => verdict.candidates.includes(id))) {
			this.#probe(endpoint);
		}
	}

	/** Resolves when the probes of a service in progress have ended, so that a request can tell a failed endpoint from lost links. */
	async settle(service: string): Promise<void> {
		await Promise.all(this.#listEssential(service).map(async ({id}) => this.#probes.get(id)));
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

	/** Endpoints that requests of a service cannot do without. Decode replicas can prefill prompts themselves. */
	#listEssential(service: string): Endpoint[] {
		return this.#parts.endpoints.book.listReady(service).filter(({stage}) => stage !== 'prefill');
	}

	/** Probes an endpoint of a lost service: the one that was reached last, or any. */
	#probeLost(service: string): void {
		const loss = this.#losses.get(service);
		if (loss === undefined) {
			return;
		}

		const essential = this.#listEssential(service);
		const endpoint = essential.find(({id}) => id === loss.returned?.endpoint) ?? pick(this.#parts.context.random, essential);
		if (endpoint === undefined) {
			this.#end(service);
			return;
		}

		this.#probe(endpoint);
	}

	/** Ends a loss once an endpoint has been reachable for long enough. */
	#recordProbe({id, service}: Endpoint, isReached: boolean): void {
		const loss = this.#losses.get(service);
		if (loss === undefined) {
			return;
		}

		const now = this.#parts.context.clock.now();
		if (!isReached) {
			loss.returned = loss.returned?.endpoint === id ? undefined : loss.returned;
			return;
		}

		loss.returned ??= {endpoint: id, at: now};
		if (loss.returned.endpoint === id && now - loss.returned.at >= returnMs) {
			this.#end(service);
		}
	}

	/** Starts a probe, unless one of the same endpoint is in progress. */
	#probe(endpoint: Endpoint): void {
		if (!this.#probes.has(endpoint.id)) {
			this.#probes.set(endpoint.id, this.#runProbe(endpoint));
		}
	}

	async #runProbe(endpoint: Endpoint): Promise<void> {
		const {context: {clock, metrics, settings: {timing: {connectMs}}}, endpoints: {contacts}} = this.#parts;
		const {id, address, service} = endpoint;
		const startedAt = clock.now();
		const result = await probeConnection({clock, address, connectMs});
		this.#probes.delete(id);
		metrics.add('linkProbes', {outcome: result});
		if (result === 'connected') {
			contacts.recordContact(id, clock.now());
		} else {
			contacts.recordFailure(id, startedAt);
		}

		this.#recordProbe(endpoint, result === 'connected');
		this.check(service);
	}

	#begin(service: string): void {
		const {context: {clock, log, metrics}, endpoints} = this.#parts;
		this.#losses.set(service, {since: clock.now(), returned: undefined});
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
