/**
 * Lends unused parts of the retry allowance between hosts. A host whose share
 * is spent requests parts from a few others. Safety:
 * policy/relay/allowance-share.ts; a loan counts at its lender and expires at
 * the borrower first.
 */
import {permitLifetimeMs} from '@gatehead/policy/relay/allowance-share';
import {type RetryBudget, type RetryPermit} from '@gatehead/policy/relay/retry-budget';
import {AverageRate} from '@gatehead/policy/utils/average-rate';
import {RecentMap} from '@gatehead/policy/utils/recent-map';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type RelayMessage, type RelayMessageOf} from '@gatehead/schema/relay-message';
import {PeerRequests} from '../access/peer-requests.js';
import {type RelayContext} from '../core/context.js';

/** Timeout of a request, in milliseconds; several round trips between regions. */
const timeoutMs = 60;
/** Maximum number of lenders per round. */
const maxLenders = 16;
/** Expected demand that a request covers, in milliseconds: less than the time for which loans are kept, so that little is returned. */
const prefetchMs = 300;
/** Time after which the unused part of a loan is returned, in milliseconds. */
const keptMs = 500;
/** Fraction of the expected demand below which the next request is sent ahead of need. */
const renewFraction = 0.5;
/** Time constant of the average demand, in milliseconds. */
const averagingMs = 1000;
/** Factor by which the requested amount exceeds the demand, since some lenders have less left. */
const excessFactor = 1.25;
/** Fraction of the requested amount below which a lender is excluded. */
const minYield = 0.5;
/** Number of lenders as a multiple of those that would suffice with their whole shares: on average half is left. */
const lenderMargin = 2;
/** Growth factor of the number of lenders after a round with too little. */
const spreadFactor = 2;
/** Exclusion of a lender that lent too little or did not respond, in milliseconds. */
const exclusionMs = 500;
/** Maximum number of outstanding loans that can be reclaimed. */
const maxOutstandingLoans = 5000;

export type RetryExchangeParts = {
	readonly context: Pick<RelayContext, 'clock' | 'metrics' | 'random' | 'self'>;
	readonly budgetOf: (service: string) => RetryBudget;
	/** Average share of one host of a service's allowance, in repeats. */
	readonly averageShare: () => number;
	/** Reachable hosts, including this one. */
	readonly listReachable: () => readonly MemberRecord[];
	readonly send: (host: string, message: RelayMessage) => void;
};

type Waiter = {
	/** Repeats that must be left for the waiter's cause. */
	readonly floor: number;
	readonly resolve: (permit: RetryPermit | undefined) => void;
};

type ServiceState = {
	/** Average demand beyond this host's own share. */
	readonly demand: AverageRate;
	waiters: Waiter[];
	isRequesting: boolean;
	/** Factor on the number of lenders that suffices if each has its whole share left. */
	spread: number;
};

/** A part of this host's share that was lent. */
type LentPart = {
	readonly amount: number;
	readonly at: number;
};

/** The exchange of one host; amounts are in repeats. */
export class RetryExchange {
	readonly #parts: RetryExchangeParts;
	readonly #questions: PeerRequests<number>;
	readonly #states = new Map<string, ServiceState>();
	/** End of each lender's exclusion, by service and host. */
	readonly #excludedUntil = new Map<string, number>();
	/** Requests that have timed out, by number. */
	readonly #timedOut = new RecentMap<number, {readonly host: string; readonly service: string}>(maxOutstandingLoans);
	/** By the borrower and the number of its request. */
	readonly #lent = new RecentMap<string, LentPart>(maxOutstandingLoans);

	constructor(parts: RetryExchangeParts) {
		this.#parts = parts;
		this.#questions = new PeerRequests(parts.context.clock);
	}

	/** Acquires a permit from loans; undefined if one round of requests does not suffice. */
	async borrow(service: string, floor: number): Promise<RetryPermit | undefined> {
		const state = this.#stateOf(service);
		state.demand.record(this.#now);
		return new Promise(resolve => {
			state.waiters.push({floor, resolve});
			this.#serve(service, state);
			void this.#request(service, state);
		});
	}

	/** Records that a permit was taken; requests the next loan if little is left. */
	noteTaken(service: string): void {
		const state = this.#states.get(service);
		if (state === undefined) {
			return;
		}

		state.demand.record(this.#now);
		if (this.#parts.budgetOf(service).left(this.#now) < renewFraction * this.#expectedDemand(state)) {
			void this.#request(service, state);
		}
	}

	/** Handles another host's request for a loan. */
	receiveWanted(from: string, {ask, service, wanted}: RelayMessageOf<'retriesWanted'>): void {
		const granted = this.#parts.budgetOf(service).lend(wanted, this.#now);
		this.#lent.set(loanKeyOf(from, ask, service), {amount: granted, at: this.#now});
		this.#parts.send(from, {kind: 'retriesGranted', ask, granted});
	}

	/** Handles the return of the unused part of a loan. */
	receiveReturned(from: string, {ask, service, unused}: RelayMessageOf<'retriesReturned'>): void {
		const key = loanKeyOf(from, ask, service);
		const loan = this.#lent.get(key);
		if (loan !== undefined) {
			this.#lent.delete(key);
			this.#parts.budgetOf(service).reclaim(Math.min(unused, loan.amount), loan.at);
		}
	}

	/** Handles the response to a request of this host. A loan that arrives after the timeout is returned; otherwise nobody could use it until the end of the window. */
	receiveGranted({ask, granted}: RelayMessageOf<'retriesGranted'>): void {
		const late = this.#timedOut.get(ask);
		if (late === undefined) {
			this.#questions.settle(ask, granted);
			return;
		}

		this.#timedOut.delete(ask);
		if (granted > 0) {
			this.#parts.send(late.host, {
				kind: 'retriesReturned', ask, service: late.service, unused: granted,
			});
		}
	}

	get #now(): number {
		return this.#parts.context.clock.now();
	}

	#stateOf(service: string): ServiceState {
		let state = this.#states.get(service);
		if (state === undefined) {
			state = {
				demand: new AverageRate(averagingMs), waiters: [], isRequesting: false, spread: 1,
			};
			this.#states.set(service, state);
		}

		return state;
	}

	#expectedDemand({demand}: ServiceState): number {
		return demand.at(this.#now) * prefetchMs;
	}

	/** Sends one round of requests at a time. All waiters still left at its end are rejected, so that none waits longer than a round. */
	async #request(service: string, state: ServiceState): Promise<void> {
		if (state.isRequesting) {
			return;
		}

		state.isRequesting = true;
		try {
			await this.#requestOnce(service, state);
		} finally {
			state.isRequesting = false;
			for (const {resolve} of state.waiters.splice(0)) {
				resolve(undefined);
			}
		}
	}

	async #requestOnce(service: string, state: ServiceState): Promise<void> {
		const wanted = excessFactor * Math.max(1, state.waiters.length + this.#expectedDemand(state));
		const lenders = this.#chooseLenders(service, wanted, state.spread);
		if (lenders.length === 0) {
			return;
		}

		await Promise.all(lenders.map(async host => {
			await this.#ask(host, service, wanted / lenders.length);
			this.#serve(service, state);
		}));
		state.spread = state.waiters.length > 0 ? Math.min(maxLenders, spreadFactor * state.spread) : Math.max(1, state.spread / spreadFactor);
	}

	async #ask(host: string, service: string, wanted: number): Promise<void> {
		const {context: {clock, metrics}, budgetOf, send} = this.#parts;
		const askedAt = this.#now;
		let number = 0;
		const granted = await this.#questions.send(timeoutMs, ask => {
			number = ask;
			send(host, {
				kind: 'retriesWanted', ask, service, wanted,
			});
		});
		const isEnough = granted !== undefined && granted >= minYield * wanted;
		const outcome = isEnough ? 'granted' : 'refused';
		metrics.add('retryLoans', {outcome: granted === undefined ? 'silent' : outcome});
		if (!isEnough) {
			this.#excludedUntil.set(keyOf(service, host), this.#now + exclusionMs);
		}

		if (granted === undefined) {
			this.#timedOut.set(number, {host, service});
		}

		if (granted !== undefined && granted > 0) {
			budgetOf(service).receive({
				amount: granted, until: askedAt + permitLifetimeMs, origin: {lender: host, ask: number},
			});
			clock.after(keptMs, () => {
				this.#returnUnused(service);
			});
		}
	}

	/** Returns loans that have been kept for `keptMs`. */
	#returnUnused(service: string): void {
		const {budgetOf, send} = this.#parts;
		for (const {amount, origin} of budgetOf(service).removeLoans(this.#now + permitLifetimeMs - keptMs + 1)) {
			if (origin !== undefined) {
				send(origin.lender, {
					kind: 'retriesReturned', ask: origin.ask, service, unused: amount,
				});
			}
		}
	}

	/** Chooses random lenders, enough to have the amount between them if each has half of its share left. */
	#chooseLenders(service: string, wanted: number, spread: number): string[] {
		const {context: {random, self}, averageShare, listReachable} = this.#parts;
		const now = this.#now;
		for (const [key, until] of this.#excludedUntil) {
			if (until <= now) {
				this.#excludedUntil.delete(key);
			}
		}

		// Earlier versions publish no census and cannot parse the message
		const candidates = listReachable().filter(({host, census}) => host !== self.host && census?.isEstablished && !this.#excludedUntil.has(keyOf(service, host)));
		const sufficient = wanted / Math.max(Number.EPSILON, averageShare());
		const count = Math.min(maxLenders, Math.max(1, Math.ceil(spread * lenderMargin * sufficient)));
		return candidates.map(({host}) => ({host, rank: random.next()})).toSorted((left, right) => left.rank - right.rank).slice(0, count).map(({host}) => host);
	}

	/** Resolves waiters in order while enough is left. */
	#serve(service: string, state: ServiceState): void {
		const budget = this.#parts.budgetOf(service);
		for (let [waiter] = state.waiters; waiter !== undefined; [waiter] = state.waiters) {
			const permit = budget.borrowed(this.#now) >= 1 || budget.left(this.#now) >= waiter.floor ? budget.take(this.#now) : undefined;
			if (permit === undefined) {
				return;
			}

			state.waiters.shift();
			waiter.resolve(permit);
		}
	}
}

function loanKeyOf(borrower: string, ask: number, service: string): string {
	return `${borrower} ${ask} ${service}`;
}

function keyOf(service: string, host: string): string {
	return `${service} ${host}`;
}
