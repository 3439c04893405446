/** The policies that are measured, all over the same fakes: leases by the scheduler that the host runs, and placements without leases. */
import {type DecodeOrder, type Owner, type PrefillOrder} from '@gatehead/schema/engine-protocol';
import {type LeaseAsk} from '@gatehead/schema/peer-message';
import {type Bundle} from '@gatehead/schema/bundle';
import {placers, type BaselineName, type EngineView} from '@gatehead/policy/baselines/placement';
import {leaseKey} from '@gatehead/policy/scheduler/decode-pool';
import {Scheduler, type Decision} from '@gatehead/policy/scheduler/scheduler';
import {type Arrival} from './arrivals.js';
import {
	delayBetween, importAndDecode, reportOf, type FakeEngine, type FakeHost, type World,
} from './world.js';

const pollMs = 1000;
const keeperStepMs = 5;
const mostAttempts = 4;
const orphanGraceMs = 5000;

/** How one request went. */
export type Outcome = {
	readonly arrival: Arrival;
	state: 'open' | 'refused' | 'whole' | 'failed';
	firstAt: number;
	lastAt: number;
	tokens: number;
	attempts: number;
};

/** A policy under measurement. */
export type Policy = {
	/** Takes a request at a host. */
	arrive(outcome: Outcome, host: FakeHost): void;
	/** Keeps the deciding process from doing anything until `until`. */
	pauseKeeper(until: number): void;
};

/** A policy's name. */
export type PolicyName = BaselineName | 'current';

/** One request on its way. */
type Flow = {
	readonly outcome: Outcome;
	readonly host: FakeHost;
	readonly request: string;
	attempt: number;
	handle: string;
	source: FakeEngine | undefined;
};

function ownerOf({name}: FakeHost): Owner {
	return {host: name, incarnation: 1};
}

function orderOf({outcome: {arrival: {model, caller, prompt}, tokens}, host, request, attempt}: Flow): PrefillOrder {
	return {
		request, attempt, owner: ownerOf(host), model, priority: caller.priority, prompt, given: Array.from({length: tokens}, (_, n) => String(n)),
	};
}

/** Notes tokens and the end; ends at the wrong number are impossible here. */
function readStream(world: World, flow: Flow, ended: () => void): (line: {readonly kind: string}) => void {
	const {outcome, host} = flow;
	const {attempt} = flow;
	return ({kind}) => {
		if (host.isLost || flow.attempt !== attempt) {
			return;
		}

		const now = world.clock.now();
		if (kind === 'token') {
			outcome.tokens += 1;
			outcome.firstAt = outcome.firstAt === 0 ? now : outcome.firstAt;
			outcome.lastAt = now;
		}

		if (kind === 'end') {
			outcome.state = 'whole';
			ended();
		}
	};
}

function decodeOrderOf(flow: Flow): DecodeOrder {
	return {...orderOf(flow), source: {address: flow.source?.traits.name ?? '', handle: flow.handle}, maxTokens: flow.outcome.arrival.maxTokens};
}

function makeFlow(outcome: Outcome, host: FakeHost): Flow {
	return {
		outcome, host, request: `r${outcome.arrival.number}`, attempt: 0, handle: '', source: undefined,
	};
}

/** Leases by the scheduler, at a keeper in the first hall. */
class LeasePolicy implements Policy {
	readonly #world: World;
	readonly #scheduler: Scheduler;
	readonly #keeperHall: string;
	readonly #flows = new Map<string, Flow>();
	#pausedUntil = 0;
	#isStepping = false;

	constructor(world: World) {
		this.#world = world;
		const {bundle: {engines, models, rules, callers}, random} = world;
		this.#keeperHall = world.hosts[0]?.hall ?? '';
		this.#scheduler = new Scheduler({
			engines, kvBytesPerToken: models[0]?.kvBytesPerToken ?? 1, objective: rules.objective, random, shareOf: name => callers.find(each => each.name === name)?.share, limitOf: () => undefined, isLeaving: ({leaving}) => leaving,
		});
		for (const engine of world.engines.values()) {
			this.#poll(engine);
		}

		this.#sweep();
	}

	arrive(outcome: Outcome, host: FakeHost): void {
		this.#try(makeFlow(outcome, host));
	}

	pauseKeeper(until: number): void {
		this.#pausedUntil = until;
	}

	/** Frees what lost hosts held, as their keeper does once nobody claims it. */
	#sweep(): void {
		const {clock, engines} = this.#world;
		for (const [key, {host, request, attempt}] of this.#flows) {
			if (host.isLost) {
				this.#flows.delete(key);
				this.#scheduler.release(key, 0, clock.now());
				for (const {decode, prefill} of engines.values()) {
					decode.cancel(request, attempt);
					prefill.cancel(request, attempt);
				}
			}
		}

		clock.after(orphanGraceMs, () => {
			this.#sweep();
		});
	}

	/** Carries a message to the keeper, which takes it when it is awake. */
	#tell(host: FakeHost, message: (now: number) => void): void {
		const {clock} = this.#world;
		if (host.isLost) {
			return;
		}

		clock.after(delayBetween(this.#world, host.hall, this.#keeperHall), () => {
			const take = () => {
				message(clock.now());
				this.#step();
			};

			if (clock.now() < this.#pausedUntil) {
				clock.after(this.#pausedUntil - clock.now(), take);
				return;
			}

			take();
		});
	}

	#poll(engine: FakeEngine): void {
		const {clock, reportLagMs} = this.#world;
		if (engine.isLost) {
			this.#scheduler.lose(engine.traits.name);
		} else {
			const report = reportOf(engine);
			clock.after(reportLagMs, () => {
				if (engine.isLost) {
					return;
				}

				this.#scheduler.report(report, clock.now());
				this.#step();
			});
		}

		clock.after(pollMs, () => {
			this.#poll(engine);
		});
	}

	#try(flow: Flow): void {
		const {outcome, host} = flow;
		const {arrival} = outcome;
		if (host.isLost) {
			return;
		}

		flow.attempt += 1;
		outcome.attempts = flow.attempt;
		if (flow.attempt > mostAttempts) {
			outcome.state = 'failed';
			return;
		}

		const ask: LeaseAsk = {
			request: flow.request,
			attempt: flow.attempt,
			caller: arrival.caller.name,
			priority: arrival.caller.priority,
			promptTokens: arrival.promptTokens,
			maxTokens: arrival.maxTokens - outcome.tokens,
			blocks: [...arrival.blocks],
			slackMs: arrival.at + arrival.target.ttftMs - this.#world.clock.now(),
			accepted: flow.attempt > 1,
		};
		this.#flows.set(leaseKey(ask), flow);
		this.#tell(host, now => {
			this.#scheduler.ask(ask, now);
		});
	}

	#step(): void {
		const {clock} = this.#world;
		if (clock.now() < this.#pausedUntil) {
			return;
		}

		for (const decision of this.#scheduler.decide(clock.now())) {
			const flow = this.#flows.get(leaseKey(decision));
			if (flow !== undefined && !flow.host.isLost) {
				clock.after(delayBetween(this.#world, this.#keeperHall, flow.host.hall), () => {
					this.#obey(flow, decision);
				});
			}
		}

		if (this.#scheduler.isBusy && !this.#isStepping) {
			this.#isStepping = true;
			clock.after(keeperStepMs, () => {
				this.#isStepping = false;
				this.#step();
			});
		}
	}

	#obey(flow: Flow, decision: Decision): void {
		if (flow.host.isLost || flow.attempt !== decision.attempt) {
			return;
		}

		if (decision.kind === 'refuse') {
			flow.outcome.state = flow.outcome.attempts > 1 ? 'failed' : 'refused';
			return;
		}

		const engine = this.#world.engines.get(decision.engine);
		if (engine !== undefined) {
			this.#world.clock.after(delayBetween(this.#world, flow.host.hall, engine.hall), () => {
				if (decision.kind === 'prefill') {
					this.#prefill(flow, engine);
				} else {
					this.#decode(flow, engine);
				}
			});
		}
	}

	#prefill(flow: Flow, engine: FakeEngine): void {
		const key = leaseKey(flow);
		if (engine.isLost) {
			this.#retry(flow, key);
			return;
		}

		engine.prefill.prefill(orderOf(flow), result => {
			if ('refused' in result) {
				this.#retry(flow, key);
				return;
			}

			flow.handle = result.handle;
			flow.source = engine;
			this.#tell(flow.host, now => {
				this.#scheduler.prefilled(key, result.holdMs, now);
			});
			this.#world.clock.after(result.holdMs + 1, () => {
				if (flow.handle === result.handle) {
					this.#retry(flow, key);
				}
			});
		});
	}

	#decode(flow: Flow, engine: FakeEngine): void {
		const key = leaseKey(flow);
		const {source, handle, attempt} = flow;
		if (source === undefined) {
			return;
		}

		const before = flow.outcome.tokens;
		const sink = readStream(this.#world, flow, () => {
			this.#tell(flow.host, now => {
				this.#scheduler.release(key, flow.outcome.tokens - before, now);
			});
		});
		flow.handle = '';
		importAndDecode(this.#world, engine, source, {...decodeOrderOf(flow), source: {address: source.traits.name, handle}}, sink, refusal => {
			if (refusal?.refused === 'full') {
				flow.handle = handle;
				this.#tell(flow.host, now => {
					this.#scheduler.bounced(key, engine.traits.name, false, now);
				});
				return;
			}

			this.#retry(flow, key);
		});
		this.#watch(flow, engine, attempt);
	}

	/** Starts a lost stream anew, as the host does when its connection breaks. */
	#watch(flow: Flow, engine: FakeEngine, attempt: number): void {
		this.#world.clock.after(100, () => {
			if (flow.attempt !== attempt || flow.outcome.state !== 'open') {
				return;
			}

			if (engine.isLost) {
				this.#scheduler.lose(engine.traits.name);
				this.#retry(flow, leaseKey(flow));
				return;
			}

			this.#watch(flow, engine, attempt);
		});
	}

	#retry(flow: Flow, key: string): void {
		flow.handle = '';
		this.#tell(flow.host, now => {
			this.#scheduler.release(key, 0, now);
		});
		this.#try(flow);
	}
}

/** Placement at arrival by each host itself; a result that finds its engine full is tried again while it lives. */
class PlacementPolicy implements Policy {
	readonly #world: World;
	readonly #name: BaselineName;
	readonly #reported = new Map<string, number>();
	readonly #own = new Map<string, number>();

	constructor(world: World, name: BaselineName) {
		this.#world = world;
		this.#name = name;
		for (const engine of world.engines.values()) {
			this.#poll(engine);
		}
	}

	arrive(outcome: Outcome, host: FakeHost): void {
		this.#try(makeFlow(outcome, host));
	}

	pauseKeeper(): void {
		// No keeper decides here
	}

	#poll(engine: FakeEngine): void {
		const {clock, reportLagMs} = this.#world;
		const load = engine.decode.size + engine.prefill.listHeld().length;
		clock.after(reportLagMs, () => {
			this.#reported.set(engine.traits.name, load);
		});
		clock.after(pollMs, () => {
			this.#poll(engine);
		});
	}

	#views({name: host}: FakeHost): EngineView[] {
		const {bundle: {engines}, engines: fakes} = this.#world;
		return engines.map(engine => ({
			engine, reported: this.#reported.get(engine.name) ?? 0, own: this.#own.get(`${host} ${engine.name}`) ?? 0, isHealthy: !(fakes.get(engine.name)?.isLost ?? true),
		}));
	}

	#count({name: host}: FakeHost, engine: string, change: number): void {
		const key = `${host} ${engine}`;
		this.#own.set(key, (this.#own.get(key) ?? 0) + change);
	}

	#try(flow: Flow): void {
		const {outcome, host} = flow;
		flow.attempt += 1;
		outcome.attempts = flow.attempt;
		const placement = placers[this.#name](this.#views(host), this.#world.random);
		if (flow.attempt > mostAttempts || placement === undefined) {
			outcome.state = outcome.tokens > 0 ? 'failed' : 'refused';
			return;
		}

		const prefill = this.#world.engines.get(placement.prefill);
		const decode = this.#world.engines.get(placement.decode);
		if (prefill === undefined || decode === undefined) {
			return;
		}

		this.#count(host, placement.prefill, 1);
		this.#world.clock.after(delayBetween(this.#world, host.hall, prefill.hall), () => {
			prefill.prefill.prefill(orderOf(flow), result => {
				this.#count(host, placement.prefill, -1);
				if ('refused' in result) {
					this.#world.clock.after(0, () => {
						this.#try(flow);
					});
					return;
				}

				flow.handle = result.handle;
				flow.source = prefill;
				this.#count(host, placement.decode, 1);
				this.#decode(flow, decode, this.#world.clock.now() + result.holdMs);
			});
		});
	}

	#decode(flow: Flow, engine: FakeEngine, lapsesAt: number): void {
		const {source, host, attempt} = flow;
		const leave = () => {
			this.#count(host, engine.traits.name, -1);
		};

		if (source === undefined) {
			return;
		}

		importAndDecode(this.#world, engine, source, decodeOrderOf(flow), readStream(this.#world, flow, leave), refusal => {
			if (refusal?.refused === 'full' && this.#world.clock.now() < lapsesAt) {
				this.#world.clock.after(20, () => {
					this.#decode(flow, engine, lapsesAt);
				});
				return;
			}

			leave();
			this.#try(flow);
		});
		this.#watch(flow, engine, attempt);
	}

	#watch(flow: Flow, engine: FakeEngine, attempt: number): void {
		this.#world.clock.after(100, () => {
			if (flow.attempt !== attempt || flow.outcome.state !== 'open') {
				return;
			}

			if (engine.isLost) {
				this.#try(flow);
				return;
			}

			this.#watch(flow, engine, attempt);
		});
	}
}

/** Makes a policy by its name. */
export function makePolicy(name: PolicyName, world: World): Policy {
	return name === 'current' ? new LeasePolicy(world) : new PlacementPolicy(world, name);
}

/** The bundle's callers by name, for reports. */
export function callerNames({callers}: Bundle): string[] {
	return callers.map(each => each.name);
}
