/**
 * Retry budgets, one per service. Safety: `admit` is called right before the
 * first byte of each send, so no send that may reach an endpoint beyond the
 * first of its request goes uncharged, whatever caused it. `RetryBudget`
 * enforces the bound on retries.
 */
import {type FleetCensus} from '@gatehead/policy/relay/fleet-census';
import {RetryBudget, type RetryPermit} from '@gatehead/policy/relay/retry-budget';
import {type RetryBudgetState} from '@gatehead/schema/relay-status';
import {type RelayContext} from '../core/context.js';
import {type RetryExchange} from '../peer/retry-exchange.js';
import {type Job} from './job.js';

/** Why a request is sent again. */
export type RetryCause = 'refused' | 'connect' | 'error' | 'broken' | 'slow' | 'prefill' | 'continue';

/** Minimum remaining budget by cause, so that less urgent retries leave the rest to urgent ones. */
const budgetFloors: Readonly<Partial<Record<RetryCause, number>>> = {slow: 6, error: 3};

/** Steps per repeat in log lines. */
const amountSteps = 100;

/** The parts of a job that its charges depend on. */
export type ChargedJob = Pick<Job, 'id' | 'arrivals' | 'retryPermits' | 'usedPermit'> & {readonly service: Pick<Job['service'], 'name'>};

export type RetryBudgetsOptions = {
	readonly context: Pick<RelayContext, 'clock' | 'log' | 'metrics' | 'settings'>;
	readonly census: Pick<FleetCensus, 'count' | 'fraction'>;
	readonly exchange: Pick<RetryExchange, 'borrow' | 'noteTaken'>;
};

export class RetryBudgets {
	readonly #options: RetryBudgetsOptions;
	readonly #budgets = new Map<string, RetryBudget>();
	readonly #startedAt: number;

	constructor(options: RetryBudgetsOptions) {
		this.#options = options;
		this.#startedAt = options.context.clock.now();
	}

	/** Counts an incoming request, which adds to the service's budget. */
	recordRequest(service: string): void {
		this.budgetOf(service).recordRequest(this.#now);
	}

	/** Acquires a permit for one repeat of a job; false if too little is left. Either outcome is logged and counted. */
	async acquire(job: ChargedJob, cause: RetryCause): Promise<boolean> {
		const {context: {log, metrics}, census} = this.#options;
		const {service} = job;
		const budget = this.budgetOf(service.name);
		const left = budget.left(this.#now);
		const permit = await this.#take(service.name, cause);
		log('sentAgain', {
			request: job.id, service: service.name, cause, budgetLeft: roundAmount(left), share: roundAmount(census.fraction(this.#now)), hosts: census.count, processAgeMs: Math.round(this.#now - this.#startedAt), outcome: permit === undefined ? 'no budget' : 'sent',
		});
		if (permit === undefined) {
			this.#countDenied();
			return false;
		}

		job.retryPermits.push(permit);
		metrics.add('extraSends', {cause});
		return true;
	}

	/** Acquires a permit unless the job's next send is free or already has one; only the first send to reach an endpoint is free. */
	async ensure(job: ChargedJob, cause: RetryCause): Promise<boolean> {
		this.#dropExpired(job);
		return job.arrivals === 0 || job.retryPermits.length > 0 || this.acquire(job, cause);
	}

	/** Charges a send that is about to reach an endpoint; false if it must not be sent. */
	admit(job: ChargedJob): boolean {
		this.#dropExpired(job);
		const isFree = job.arrivals === 0;
		const permit = isFree ? undefined : job.retryPermits.shift() ?? this.budgetOf(job.service.name).take(this.#now);
		if (!isFree && permit === undefined) {
			this.#countDenied();
			return false;
		}

		job.usedPermit = permit;
		job.arrivals += 1;
		return true;
	}

	/** Moves the charge of the job's last send, which does not count, to the next one. */
	discount(job: ChargedJob): void {
		const budget = this.budgetOf(job.service.name);
		job.arrivals -= 1;
		if (job.usedPermit === undefined) {
			return;
		}

		budget.refund(job.usedPermit);
		job.usedPermit = undefined;
		const permit = job.arrivals > 0 ? budget.take(this.#now) : undefined;
		if (permit !== undefined) {
			job.retryPermits.push(permit);
		}
	}

	/** Returns the unused permits of a job that has ended. */
	release(job: ChargedJob): void {
		for (const permit of job.retryPermits.splice(0)) {
			this.budgetOf(job.service.name).refund(permit);
		}
	}

	/** Whether a service has budget left for another repeat. */
	hasLeft(service: string): boolean {
		return this.budgetOf(service).left(this.#now) >= 1;
	}

	/** Describes all budgets. */
	describe(): RetryBudgetState[] {
		return [...this.#budgets].map(([service, budget]) => ({service, ...budget.describe(this.#now)}));
	}

	/** Smallest remaining budget over all services; 0 before the first request. */
	lowestLeft(): number {
		let lowest = Number.POSITIVE_INFINITY;
		for (const budget of this.#budgets.values()) {
			lowest = Math.min(lowest, budget.left(this.#now));
		}

		return Number.isFinite(lowest) ? lowest : 0;
	}

	/** Budget of a service on this host. */
	budgetOf(service: string): RetryBudget {
		const {context: {settings: {retry}}, census} = this.#options;
		let budget = this.#budgets.get(service);
		if (budget === undefined) {
			budget = new RetryBudget(retry, () => census.fraction(this.#now));
			this.#budgets.set(service, budget);
		}

		return budget;
	}

	get #now(): number {
		return this.#options.context.clock.now();
	}

	/** Takes a permit from the local budget, or borrows one if the cause is urgent. */
	async #take(service: string, cause: RetryCause): Promise<RetryPermit | undefined> {
		const {exchange} = this.#options;
		const budget = this.budgetOf(service);
		const floor = budgetFloors[cause] ?? 0;
		const permit = budget.left(this.#now) >= floor ? budget.take(this.#now) : undefined;
		if (permit === undefined) {
			return cause === 'slow' ? undefined : exchange.borrow(service, floor);
		}

		exchange.noteTaken(service);
		return permit;
	}

	#countDenied(): void {
		const {context: {metrics}, census} = this.#options;
		metrics.add('budgetSpent', {share: census.fraction(this.#now) > 0 ? 'usable' : 'settling'});
	}

	/** Returns the permits that were not used in time. */
	#dropExpired({retryPermits, service}: ChargedJob): void {
		while (retryPermits[0] !== undefined && retryPermits[0].sendBy <= this.#now) {
			this.budgetOf(service.name).refund(retryPermits[0]);
			retryPermits.shift();
		}
	}
}

/** Rounds down, so that a line never shows more than there is. */
function roundAmount(amount: number): number {
	return Math.floor(amount * amountSteps) / amountSteps;
}
