/**
 * Manages a cell that this host keeps: polls its engines, runs the scheduler,
 * answers lease requests and expires unclaimed leases. The state is soft: a
 * new keeper rebuilds it from reports and claims. Efficiency, except for the
 * orphan search, on which a safety property rests (see `OrphanSearch`).
 */
import {type Cell} from '@gatehead/policy/core/cell';
import {leaseKey} from '@gatehead/policy/scheduler/decode-pool';
import {match} from 'ts-pattern';
import {Scheduler, type Decision} from '@gatehead/policy/scheduler/scheduler';
import {type Timer} from '@gatehead/policy/utils/clock';
import {jitter} from '@gatehead/policy/utils/random';
import {type Bundle, type Caller, type Engine} from '@gatehead/schema/bundle';
import {type EngineReport} from '@gatehead/schema/engine-protocol';
import {type LeaseClaim, type PeerMessage, type PeerMessageOf} from '@gatehead/schema/peer-message';
import {type Canceller} from '../core/canceller.js';
import {type Context} from '../core/context.js';
import {type EngineClient} from '../core/engine-client.js';
import {OrphanSearch} from './orphan-search.js';
import {type Orders} from './orders.js';

const decisionIntervalMs = 10;
const pollJitter = 0.1;
/** Factor on the poll interval of engines in a cell without leases. */
const idlePollFactor = 4;
/** Ticks without a claim after which a lease expires. */
const claimTimeoutTicks = 4;
/** Consecutive missed reports after which an engine gets no new work; also the report timeout in poll intervals. */
const maxMissedReports = 3;

/** Message from a lease holder to a keeper. */
export type HolderMessage = PeerMessageOf<'ask' | 'withdraw' | 'prefilled' | 'started' | 'bounced' | 'release' | 'claims'>;

/** Dependencies of `CellManager`. */
export type CellManagerParts = {
	readonly context: Context;
	readonly client: EngineClient;
	readonly canceller: Canceller;
	readonly orders: Orders;
	readonly send: (host: string, message: PeerMessage) => void;
	/** Finds a caller in the bundle in force. */
	readonly findCaller: (name: string) => Caller | undefined;
	/** Whether the platform lists an endpoint as leaving. */
	readonly isLeaving: (endpoint: string) => boolean;
};

type Holder = {
	readonly host: string;
	claimedAt: number;
};

/** Manager of one cell. */
export class CellManager {
	readonly cell: Cell;
	readonly #parts: CellManagerParts;
	readonly #scheduler: Scheduler;
	readonly #orphans: OrphanSearch;
	/** Host that holds or requests each lease. */
	readonly #holders = new Map<string, Holder>();
	readonly #missedReports = new Map<string, number>();
	readonly #abort = new AbortController();
	readonly #timers = new Map<string, Timer>();

	constructor(cell: Cell, bundle: Bundle, parts: CellManagerParts) {
		this.cell = cell;
		this.#parts = parts;
		this.#orphans = new OrphanSearch(parts.context.settings.timing.orphanGraceMs);
		const cellCount = new Set(bundle.engines.filter(each => each.model === cell.model).map(each => each.name)).size / cell.engines.length;
		this.#scheduler = new Scheduler({
			engines: cell.engines,
			kvBytesPerToken: bundle.models.find(each => each.name === cell.model)?.kvBytesPerToken ?? 1,
			objective: bundle.rules.objective,
			random: parts.context.random,
			shareOf: caller => parts.findCaller(caller)?.share,
			isLeaving: ({name, leaving}) => leaving || parts.isLeaving(name),
			limitOf(caller) {
				const limit = parts.findCaller(caller)?.limit;
				return limit === undefined ? undefined : Math.ceil(limit / cellCount);
			},
		});
	}

	get load(): number {
		return this.#scheduler.load;
	}

	/** Scheduler state, for the admin API. */
	describe() {
		return {cell: this.cell.name, ...this.#scheduler.describe()};
	}

	/** Starts polling engines and expiring leases. */
	start(): void {
		for (const engine of this.cell.engines) {
			this.#poll(engine);
		}

		this.#expireLeases();
	}

	/** Stops all timers and tells every holder that this host no longer keeps the cell. */
	stop(): void {
		this.#abort.abort();
		for (const timer of this.#timers.values()) {
			timer.stop();
		}

		for (const [key, {host}] of this.#holders) {
			const space = key.lastIndexOf(' ');
			this.#parts.send(host, {
				kind: 'notKeeper', cell: this.cell.name, request: key.slice(0, space), attempt: Number(key.slice(space + 1)),
			});
		}
	}

	/** Restarts orphan grace periods and claim timeouts, after a pause of this process. */
	resetTimeouts(): void {
		this.#orphans.reset();
		for (const holder of this.#holders.values()) {
			holder.claimedAt = this.#parts.context.clock.now();
		}
	}

	/** Handles a lease holder's message. */
	handleMessage(from: string, message: HolderMessage): void {
		const now = this.#parts.context.clock.now();
		this.#dispatch(from, message, now);
		this.#schedule();
	}

	#dispatch(from: string, message: HolderMessage, now: number): void {
		match(message)
			.with({kind: 'ask'}, ask => {
				this.#ask(from, ask, now);
			})
			.with({kind: 'prefilled'}, prefilled => {
				this.#prefilled(from, prefilled, now);
			})
			.with({kind: 'claims'}, ({claims}) => {
				this.#adopt(from, claims, now);
			})
			.with({kind: 'started'}, lease => {
				this.#scheduler.decodeStarted(leaseKey(lease), now);
			})
			.with({kind: 'bounced'}, ({engine, lost, ...lease}) => {
				this.#scheduler.decodeRejected(leaseKey(lease), engine, lost, now);
			})
			.with({kind: 'withdraw'}, lease => {
				this.#release(leaseKey(lease), 0, now);
			})
			.with({kind: 'release'}, ({tokens, goodput, ...lease}) => {
				this.#release(leaseKey(lease), goodput ? tokens : 0, now);
			})
			.exhaustive();
	}

	#release(key: string, tokens: number, now: number): void {
		this.#scheduler.release(key, tokens, now);
		this.#holders.delete(key);
	}

	#prefilled(from: string, {holdMs, ...lease}: PeerMessageOf<'prefilled'>, now: number): void {
		const key = leaseKey(lease);
		this.#recordClaim(from, key, now);
		this.#scheduler.prefillFinished(key, holdMs, now);
		this.#resendGrant(from, key, 'decode');
	}

	#adopt(from: string, claims: readonly LeaseClaim[], now: number): void {
		for (const claim of claims) {
			this.#recordClaim(from, leaseKey(claim), now);
			this.#scheduler.adopt(claim, now);
		}
	}

	#ask(from: string, {ask}: PeerMessageOf<'ask'>, now: number): void {
		const key = leaseKey(ask);
		this.#recordClaim(from, key, now);
		if (!this.#resendGrant(from, key, 'prefill')) {
			this.#scheduler.ask(ask, now);
		}
	}

	/** Resends a grant of the given kind, if there is one; returns whether it did. */
	#resendGrant(from: string, key: string, kind: 'prefill' | 'decode'): boolean {
		const grant = this.#scheduler.findGrant(key);
		if (grant?.kind !== kind) {
			return false;
		}

		this.#sendDecision(from, grant);
		return true;
	}

	#recordClaim(host: string, key: string, now: number): void {
		this.#holders.set(key, {host, claimedAt: now});
	}

	/** Sends the scheduler's decisions; runs again after `decisionIntervalMs` while requests are queued. */
	#schedule(): void {
		if (this.#abort.signal.aborted) {
			return;
		}

		const {clock} = this.#parts.context;
		for (const decision of this.#scheduler.decide(clock.now())) {
			const holder = this.#holders.get(leaseKey(decision));
			if (holder !== undefined) {
				this.#sendDecision(holder.host, decision);
			}
		}

		if (this.#scheduler.isBusy) {
			this.#setTimer('schedule', decisionIntervalMs, () => {
				this.#schedule();
			});
		}
	}

	#sendDecision(host: string, decision: Decision): void {
		const {request, attempt} = decision;
		const cell = this.cell.name;
		if (decision.kind === 'refuse') {
			this.#holders.delete(leaseKey(decision));
			this.#parts.context.counters.count('leasesRefused', decision.code);
			this.#parts.send(host, {
				kind: 'refusal', cell, request, attempt, code: decision.code, retryAfterMs: decision.retryAfterMs,
			});
			return;
		}

		this.#parts.context.counters.count('leasesGranted', decision.kind);
		this.#parts.send(host, {
			kind: decision.kind === 'prefill' ? 'prefillGrant' : 'decodeGrant', cell, request, attempt, engine: decision.engine,
		});
	}

	/** Replaces the timer of a name. */
	#setTimer(name: string, delayMs: number, run: () => void): void {
		this.#timers.get(name)?.stop();
		this.#timers.set(name, this.#parts.context.clock.after(delayMs, run));
	}

	#poll(engine: Engine): void {
		const {context: {settings: {timing: {reportMs}}, random}} = this.#parts;
		void this.#fetchReport(engine);
		const isIdle = this.#missedReports.get(engine.name) === 0 && this.#scheduler.describe().leases === 0;
		this.#setTimer(`poll ${engine.name}`, jitter(random, reportMs * (isIdle ? idlePollFactor : 1), pollJitter), () => {
			this.#poll(engine);
		});
	}

	async #fetchReport(engine: Engine): Promise<void> {
		const {client, context: {clock, settings: {timing: {reportMs}}}} = this.#parts;
		const abort = new AbortController();
		const timer = clock.after(reportMs * maxMissedReports, () => {
			abort.abort();
		});
		try {
			this.#handleReport(engine, await client.report(engine.address, abort.signal));
		} catch {
			this.#handleMissedReport(engine);
		} finally {
			timer.stop();
		}
	}

	#handleReport(engine: Engine, report: EngineReport): void {
		if (this.#abort.signal.aborted) {
			return;
		}

		const {context, orders, canceller} = this.#parts;
		const now = context.clock.now();
		if ((this.#missedReports.get(engine.name) ?? 0) >= maxMissedReports) {
			context.log('endpointBack', {endpoint: engine.name});
		}

		this.#missedReports.set(engine.name, 0);
		this.#scheduler.report(report, now);
		orders.reconcile(engine, report);
		for (const {request, attempt, owner} of this.#orphans.findOrphans(report, key => this.#holders.has(key), now)) {
			context.log('orphanCancelled', {endpoint: engine.name, owner: owner.host});
			context.counters.count('orphans');
			context.timeline.record({
				kind: 'orphanCancelled', request, attempt, endpoint: engine.name, peer: owner.host,
			});
			canceller.cancel({
				engine: engine.name, address: engine.address, request, attempt,
			});
		}

		this.#schedule();
	}

	#handleMissedReport(engine: Engine): void {
		const missed = (this.#missedReports.get(engine.name) ?? 0) + 1;
		this.#missedReports.set(engine.name, missed);
		if (missed >= maxMissedReports && this.#scheduler.markUnhealthy(engine.name)) {
			this.#parts.context.log('endpointSuspect', {endpoint: engine.name});
		}
	}

	/** Expires leases without a recent claim, every tick. */
	#expireLeases(): void {
		const {clock, settings: {timing: {tickMs}}} = this.#parts.context;
		const now = clock.now();
		for (const [key, {claimedAt}] of this.#holders) {
			if (now - claimedAt > tickMs * claimTimeoutTicks) {
				this.#holders.delete(key);
				this.#scheduler.release(key, 0, now);
			}
		}

		this.#setTimer('expiry', tickMs, () => {
			this.#expireLeases();
		});
	}
}
