/**
 * Retry budgets, one per service. Safety: `admit` is called right before the
 * first byte of each send, so no send that may reach an endpoint beyond the
 * first of its request goes uncharged, whatever caused it. `RetryBudget`
 * enforces the bound on retries.
 */
import {RetryBudget} from '@gatehead/policy/relay/retry-budget';
import {type RelayContext} from '../core/context.js';
import {type Job} from './job.js';

/** Why a request is sent again. */
export type RetryCause = 'refused' | 'connect' | 'error' | 'broken' | 'slow' | 'prefill' | 'continue';

/** Minimum remaining budget by cause, so that less urgent retries leave the rest to urgent ones. */
const budgetFloors: Readonly<Partial<Record<RetryCause, number>>> = {slow: 6, error: 3};

/** The parts of a job that its charges depend on. */
export type ChargedJob = Pick<Job, 'id' | 'arrivals' | 'retryPermits'> & {readonly service: Pick<Job['service'], 'name'>};

export class RetryBudgets {
	readonly #context: Pick<RelayContext, 'clock' | 'log' | 'metrics' | 'settings'>;
	readonly #countHosts: () => number;
	readonly #budgets = new Map<string, RetryBudget>();
	readonly #startedAt: number;

	constructor(context: Pick<RelayContext, 'clock' | 'log' | 'metrics' | 'settings'>, countHosts: () => number) {
		this.#context = context;
		this.#countHosts = countHosts;
		this.#startedAt = context.clock.now();
	}

	/** Counts an incoming request, which adds to the service's budget. */
	recordRequest(service: string): void {
		this.#budgetOf(service).recordRequest(this.#context.clock.now());
	}

	/** Acquires a permit for one repeat of a job; false if too little is left. Either outcome is logged and counted. */
	async acquire(job: ChargedJob, cause: RetryCause): Promise<boolean> {
		const {clock, log, metrics} = this.#context;
		const budget = this.#budgetOf(job.service.name);
		const left = Math.floor(budget.left(clock.now()));
		const isGranted = left >= (budgetFloors[cause] ?? 0) && budget.take(clock.now());
		log('sentAgain', {
			request: job.id, service: job.service.name, cause, budgetLeft: left, hosts: this.#countHosts(), processAgeMs: Math.round(clock.now() - this.#startedAt), outcome: isGranted ? 'sent' : 'no budget',
		});
		if (isGranted) {
			job.retryPermits += 1;
			metrics.add('extraSends', {cause});
		} else {
			metrics.add('budgetSpent');
		}

		return isGranted;
	}

	/** Makes sure that the job's next send is paid for: the first that reaches an endpoint is free. */
	async ensure(job: ChargedJob, cause: RetryCause): Promise<boolean> {
		return job.arrivals === 0 || job.retryPermits > 0 || this.acquire(job, cause);
	}

	/** Charges a send that is about to reach an endpoint; false if it must not be sent. */
	admit(job: ChargedJob): boolean {
		if (job.arrivals > 0) {
			if (job.retryPermits === 0 && !this.#budgetOf(job.service.name).take(this.#context.clock.now())) {
				this.#context.metrics.add('budgetSpent');
				return false;
			}

			job.retryPermits = Math.max(0, job.retryPermits - 1);
		}

		job.arrivals += 1;
		return true;
	}

	/** Takes back the charge of a send that does not count; its permit pays for the job's next send. */
	discount(job: ChargedJob): void {
		job.arrivals -= 1;
		if (job.arrivals > 0) {
			job.retryPermits += 1;
		}
	}

	/** Returns the unused permits of a job that has ended. */
	release(job: ChargedJob): void {
		this.#budgetOf(job.service.name).refund(job.retryPermits, this.#context.clock.now());
		job.retryPermits = 0;
	}

	/** Whether a service has budget left for another repeat. */
	hasLeft(service: string): boolean {
		return this.#budgetOf(service).left(this.#context.clock.now()) >= 1;
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
