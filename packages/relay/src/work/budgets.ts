/** The retry budgets of a host's services. Safety of the bound on second sends: see `RetryBudget`. */
import {RetryBudget} from '@gatehead/policy/relay/retry-budget';
import {type RelayContext} from '../core/context.js';
import {type Job} from './job.js';

/** Why a request is sent once more. */
export type ExtraCause = 'refused' | 'connect' | 'error' | 'broken' | 'slow' | 'prefill' | 'continue';

/** Budget that must be left for a cause, so that what can wait leaves the rest to what cannot. */
const leastLeft: Readonly<Partial<Record<ExtraCause, number>>> = {slow: 6, error: 3};

/** Budgets by service. */
export class Budgets {
	readonly #context: RelayContext;
	readonly #countHosts: () => number;
	readonly #budgets = new Map<string, RetryBudget>();

	constructor(context: RelayContext, countHosts: () => number) {
		this.#context = context;
		this.#countHosts = countHosts;
	}

	/** Notes a request's arrival. */
	arrive(service: string): void {
		this.#of(service).arrive(this.#context.clock.now());
	}

	/** Takes one extra send, or says that none is left; either is written down. */
	take({id, service}: Job, cause: ExtraCause): boolean {
		const {clock, log, metrics} = this.#context;
		const budget = this.#of(service.name);
		const left = Math.floor(budget.left(clock.now()));
		const isGranted = left >= (leastLeft[cause] ?? 0) && budget.take(clock.now());
		log('sentAgain', {
			request: id, service: service.name, cause, budgetLeft: left, hosts: this.#countHosts(), outcome: isGranted ? 'sent' : 'no budget',
		});
		if (isGranted) {
			metrics.add('extraSends', {cause});
		} else {
			metrics.add('budgetSpent');
		}

		return isGranted;
	}

	/** Least budget left of all services, for the figures. */
	leastLeft(): number {
		const now = this.#context.clock.now();
		let least = Number.POSITIVE_INFINITY;
		for (const budget of this.#budgets.values()) {
			least = Math.min(least, budget.left(now));
		}

		return Number.isFinite(least) ? least : 0;
	}

	#of(service: string): RetryBudget {
		let budget = this.#budgets.get(service);
		if (budget === undefined) {
			budget = new RetryBudget(this.#context.settings.retry, this.#countHosts);
			this.#budgets.set(service, budget);
		}

		return budget;
	}
}
