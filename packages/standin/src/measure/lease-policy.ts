/** Leases by the scheduler that the hosts run, at one keeper. */
import {type LeaseRequest} from '@gatehead/schema/peer-message';
import {leaseKey} from '@gatehead/policy/scheduler/decode-pool';
import {Scheduler, type Decision} from '@gatehead/policy/scheduler/scheduler';
import {
	decodeOrderOf, makeFlow, mostAttempts, orderOf, pollMs, readStream, type Flow, type Outcome, type Policy,
} from './flow.js';
import {
	delayBetween, importAndDecode, reportOf, type FakeEngine, type FakeHost, type World,
} from './world.js';

const keeperStepMs = 5;
const orphanGraceMs = 5000;

/** Leases by the scheduler, at a keeper in the first hall. */
export class LeasePolicy implements Policy {
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
			this.#scheduler.markUnhealthy(engine.traits.name);
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

		const ask: LeaseRequest = {
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
				this.#scheduler.prefillFinished(key, result.holdMs, now);
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
					this.#scheduler.decodeRejected(key, engine.traits.name, false, now);
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
				this.#scheduler.markUnhealthy(engine.traits.name);
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
