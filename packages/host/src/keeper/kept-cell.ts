/**
 * One cell while this host keeps it: polls its engines, runs the scheduler,
 * answers asks, lets lapse what nobody claims. All of it is soft state that a
 * new keeper rebuilds from reports and claims. Efficiency, but for the orphan
 * search (see there).
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

const stepMs = 10;
const pollSpread = 0.1;
/** A cell without any lease is asked this much less often. */
const idleFactor = 4;
/** Ticks without a claim after which a lease lapses. */
const claimTicks = 4;
/** Reports missed in a row after which an engine gets no new work. */
const missedReports = 3;

/** What a holder says to a keeper. */
export type HolderMessage = PeerMessageOf<'ask' | 'withdraw' | 'prefilled' | 'started' | 'bounced' | 'release' | 'claims'>;

/** What a kept cell works with. */
export type KeptCellParts = {
	readonly context: Context;
	readonly client: EngineClient;
	readonly canceller: Canceller;
	readonly orders: Orders;
	readonly send: (host: string, message: PeerMessage) => void;
	/** The caller as the bundle in force describes it. */
	readonly findCaller: (name: string) => Caller | undefined;
	/** Whether bundle or platform say that an endpoint is leaving. */
	readonly isLeaving: (endpoint: string) => boolean;
};

type Holder = {
	readonly host: string;
	claimedAt: number;
};

/** A cell under this host's care. */
export class KeptCell {
	readonly cell: Cell;
	readonly #parts: KeptCellParts;
	readonly #scheduler: Scheduler;
	readonly #orphans: OrphanSearch;
	/** Who holds or asks for each lease. */
	readonly #holders = new Map<string, Holder>();
	readonly #missed = new Map<string, number>();
	readonly #abort = new AbortController();
	readonly #timers = new Map<string, Timer>();

	constructor(cell: Cell, bundle: Bundle, parts: KeptCellParts) {
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

	/** Numbers for operators. */
	describe() {
		return {cell: this.cell.name, ...this.#scheduler.describe()};
	}

	/** Starts to poll. */
	start(): void {
		for (const engine of this.cell.engines) {
			this.#poll(engine);
		}

		this.#sweep();
	}

	/** Stops and sends all who wait to the next keeper. */
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

	/** Forgets what was known of orphans, as after a late wake-up. */
	wakeLate(): void {
		this.#orphans.reset();
		for (const holder of this.#holders.values()) {
			holder.claimedAt = this.#parts.context.clock.now();
		}
	}

	/** Takes what a holder says. */
	hear(from: string, message: HolderMessage): void {
		const now = this.#parts.context.clock.now();
		this.#take(from, message, now);
		this.#step();
	}

	#take(from: string, message: HolderMessage, now: number): void {
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
		this.#claimOne(from, key, now);
		this.#scheduler.prefillFinished(key, holdMs, now);
		this.#sayAgain(from, key, 'decode');
	}

	#adopt(from: string, claims: readonly LeaseClaim[], now: number): void {
		for (const claim of claims) {
			this.#claimOne(from, leaseKey(claim), now);
			this.#scheduler.adopt(claim, now);
		}
	}

	#ask(from: string, {ask}: PeerMessageOf<'ask'>, now: number): void {
		const key = leaseKey(ask);
		this.#claimOne(from, key, now);
		if (!this.#sayAgain(from, key, 'prefill')) {
			this.#scheduler.ask(ask, now);
		}
	}

	/** Says a grant again that the holder seems not to have got. */
	#sayAgain(from: string, key: string, kind: 'prefill' | 'decode'): boolean {
		const grant = this.#scheduler.findGrant(key);
		if (grant?.kind !== kind) {
			return false;
		}

		this.#tell(from, grant);
		return true;
	}

	#claimOne(host: string, key: string, now: number): void {
		this.#holders.set(key, {host, claimedAt: now});
	}

	/** Decides what can be decided; comes back shortly while something waits. */
	#step(): void {
		if (this.#abort.signal.aborted) {
			return;
		}

		const {clock} = this.#parts.context;
		for (const decision of this.#scheduler.decide(clock.now())) {
			const holder = this.#holders.get(leaseKey(decision));
			if (holder !== undefined) {
				this.#tell(holder.host, decision);
			}
		}

		if (this.#scheduler.isBusy) {
			this.#after('step', stepMs, () => {
				this.#step();
			});
		}
	}

	#tell(host: string, decision: Decision): void {
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

	/** Sets the one timer of a name. */
	#after(name: string, delayMs: number, run: () => void): void {
		this.#timers.get(name)?.stop();
		this.#timers.set(name, this.#parts.context.clock.after(delayMs, run));
	}

	#poll(engine: Engine): void {
		const {context: {settings: {timing: {reportMs}}, random}} = this.#parts;
		void this.#readReport(engine);
		const isIdle = this.#missed.get(engine.name) === 0 && this.#scheduler.describe().leases === 0;
		this.#after(`poll ${engine.name}`, jitter(random, reportMs * (isIdle ? idleFactor : 1), pollSpread), () => {
			this.#poll(engine);
		});
	}

	async #readReport(engine: Engine): Promise<void> {
		const {client, context: {clock, settings: {timing: {reportMs}}}} = this.#parts;
		const abort = new AbortController();
		const timer = clock.after(reportMs * missedReports, () => {
			abort.abort();
		});
		try {
			this.#takeReport(engine, await client.report(engine.address, abort.signal));
		} catch {
			this.#missReport(engine);
		} finally {
			timer.stop();
		}
	}

	#takeReport(engine: Engine, report: EngineReport): void {
		if (this.#abort.signal.aborted) {
			return;
		}

		const {context, orders, canceller} = this.#parts;
		const now = context.clock.now();
		if ((this.#missed.get(engine.name) ?? 0) >= missedReports) {
			context.log('endpointBack', {endpoint: engine.name});
		}

		this.#missed.set(engine.name, 0);
		this.#scheduler.report(report, now);
		orders.review(engine, report);
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

		this.#step();
	}

	#missReport(engine: Engine): void {
		const missed = (this.#missed.get(engine.name) ?? 0) + 1;
		this.#missed.set(engine.name, missed);
		if (missed >= missedReports && this.#scheduler.markUnhealthy(engine.name)) {
			this.#parts.context.log('endpointSuspect', {endpoint: engine.name});
		}
	}

	/** Lets lapse what nobody has claimed for some ticks. */
	#sweep(): void {
		const {clock, settings: {timing: {tickMs}}} = this.#parts.context;
		const now = clock.now();
		for (const [key, {claimedAt}] of this.#holders) {
			if (now - claimedAt > tickMs * claimTicks) {
				this.#holders.delete(key);
				this.#scheduler.release(key, 0, now);
			}
		}

		this.#after('sweep', tickMs, () => {
			this.#sweep();
		});
	}
}
