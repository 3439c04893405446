/** Placement without leases: what the measurement compares with. */
import {placers, type BaselineName, type EngineView} from '@gatehead/policy/baselines/placement';
import {
	decodeOrderOf, makeFlow, mostAttempts, orderOf, pollMs, readStream, type Flow, type Outcome, type Policy,
} from './flow.js';
import {
	delayBetween, importAndDecode, type FakeEngine, type FakeHost, type World,
} from './world.js';

/** Placement at arrival by each host itself; a result that finds its engine full is tried again while it lives. */
export class PlacementPolicy implements Policy {
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
