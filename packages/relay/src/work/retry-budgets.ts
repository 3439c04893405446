/** Retry budgets, one per service. `RetryBudget` enforces the safety bound on retries. */
import {RetryBudget} from '@gatehead/policy/relay/retry-budget';
import {type RelayContext} from '../core/context.js';
import {type Job} from './job.js';

/** Why a request is sent again. */
export type RetryCause = 'refused' | 'connect' | 'error' | 'broken' | 'slow' | 'prefill' | 'continue';

/** Minimum remaining budget by cause, so that less urgent retries leave the rest to urgent ones. */
const budgetFloors: Readonly<Partial<Record<RetryCause, number>>> = {slow: 6, error: 3};

export class RetryBudgets {
	readonly #context: RelayContext;
	readonly #countHosts: () => number;
	readonly #budgets = new Map<string, RetryBudget>();
	readonly #startedAt: number;

	constructor(context: RelayContext, countHosts: () => number) {
		this.#context = context;
		this.#countHosts = countHosts;
		this.#startedAt = context.clock.now();
	}

	/** Counts an incoming request, which adds to the service's budget. */
	recordRequest(service: string): void {
		this.#budgetOf(service).recordRequest(this.#context.clock.now());
	}

	/** Takes one retry from the budget; false if too little is left. Either outcome is logged and counted. */
	take({id, service}: Job, cause: RetryCause): boolean {
		const {clock, log, metrics} = this.#context;
		const budget = this.#budgetOf(service.name);
		const left = Math.floor(budget.left(clock.now()));
		const isGranted = left >= (budgetFloors[cause] ?? 0) && budget.take(clock.now());
		log('sentAgain', {
			request: id, service: service.name, cause, budgetLeft: left, hosts: this.#countHosts(), processAgeMs: Math.round(clock.now() - this.#startedAt), outcome: isGranted ? 'sent' : 'no budget',
		});
		if (isGranted) {
			metrics.add('extraSends', {cause});
		} else {
			metrics.add('budgetSpent');
		}

		return isGranted;
	}

	/** Smallest remaining budget over all services; 0 before the first request. */
	lowestLeft(): number {
		const now = this.#context.clock.now();
		let lowest = Number.POSITIVE_INFINITY;
		for (const budget of this.#budgets.values()) {
			lowest = Math.min(lowest, budget.left(now));
		}

		return Number.isFinite(lowest) ? lowest : 0;
	}

	#budgetOf(service: string): RetryBudget {
		let budget = this.#budgets.get(service);
		if (budget === undefined) {
			budget = new RetryBudget(this.#context.settings.retry, this.#countHosts);
			this.#budgets.set(service, budget);
		}

		return budget;
	}
}
