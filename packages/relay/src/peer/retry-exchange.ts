/**
 * Moves unused parts of the retry allowance to the hosts that need them. A
 * host whose own part is spent asks a few others, which give what they have
 * left. Safety: policy/relay/allowance-share.ts; a part counts at the host that
 * gave it, and expires here first.
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
/** Maximum hosts asked at once. */
const maxLenders = 16;
/** Expected demand that a request covers, in milliseconds: less than the time for which loans are kept, so that little is returned. */
const prefetchMs = 300;
/** Time after which the unused rest of a loan is returned, in milliseconds. */
const keptMs = 500;
/** Fraction of the expected demand below which the next request is sent ahead of need. */
const renewFraction = 0.5;
/** Time constant of the average demand, in milliseconds. */
const averagingMs = 1000;
/** Requested excess, since some hosts have less left than asked for. */
const excessFactor = 1.25;
/** Fraction of the requested amount below which a host is not asked again for a while. */
const minYield = 0.5;
/** Factor by which more hosts are asked after a round that brought too little. */
const spreadFactor = 2;
/** Time for which a host that gave little or did not answer is not asked, in milliseconds. */
const exclusionMs = 500;
/** Maximum parts of this host's share that are remembered while they may come back. */
const maxGifts = 5000;

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
	/** Repeats that this host has asked for beyond its own part. */
	readonly demand: AverageRate;
	waiters: Waiter[];
	isRequesting: boolean;
	/** Multiple of the hosts that would be asked if each had its whole share. */
	spread: number;
};

/** A part of this host's share that another host was given. */
type Gift = {
	readonly amount: number;
	readonly at: number;
};

/** The exchange of one host; amounts are in repeats. */
export class RetryExchange {
	readonly #parts: RetryExchangeParts;
	readonly #questions: PeerRequests<number>;
	readonly #states = new Map<string, ServiceState>();
	/** Hosts that are not asked, by service and host, and until when. */
	readonly #excludedUntil = new Map<string, number>();
	/** By the borrower and the number of its request. */
	readonly #gifts = new RecentMap<string, Gift>(maxGifts);

	constructor(parts: RetryExchangeParts) {
		this.#parts = parts;
		this.#questions = new PeerRequests(parts.context.clock);
	}

	/** Takes a permit from what other hosts give; undefined after one round of requests that brought none. */
	async borrow(service: string, floor: number): Promise<RetryPermit | undefined> {
		const state = this.#stateOf(service);
		state.demand.record(this.#now);
		return new Promise(resolve => {
			state.waiters.push({floor, resolve});
			this.#serve(service, state);
			void this.#request(service, state);
		});
	}

	/** Called after a permit was taken here; requests the next part ahead of need. */
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

	/** Gives another host a part of this host's share. */
	receiveWanted(from: string, {ask, service, wanted}: RelayMessageOf<'retriesWanted'>): void {
		const granted = this.#parts.budgetOf(service).give(wanted, this.#now);
		this.#gifts.set(giftKeyOf(from, ask, service), {amount: granted, at: this.#now});
		this.#parts.send(from, {kind: 'retriesGranted', ask, granted});
	}

	/** Takes back what another host has not used. */
	receiveReturned(from: string, {ask, service, unused}: RelayMessageOf<'retriesReturned'>): void {
		const key = giftKeyOf(from, ask, service);
		const gift = this.#gifts.get(key);
		if (gift !== undefined) {
			this.#gifts.delete(key);
			this.#parts.budgetOf(service).takeBack(Math.min(unused, gift.amount), gift.at);
		}
	}

	/** Handles another host's answer. */
	receiveGranted({ask, granted}: RelayMessageOf<'retriesGranted'>): void {
		this.#questions.settle(ask, granted);
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

	/** Sends one round of requests at a time. At its end, all waiters that got nothing are refused, so that none waits for longer than a round. */
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

	/** Chooses hosts at random, as many as are likely to have the amount between them. */
	#chooseLenders(service: string, wanted: number, spread: number): string[] {
		const {context: {random, self}, averageShare, listReachable} = this.#parts;
		const now = this.#now;
		for (const [key, until] of this.#excludedUntil) {
			if (until <= now) {
				this.#excludedUntil.delete(key);
			}
		}

		// A host without a census is of an earlier version and does not know the message
		const candidates = listReachable().filter(({host, census}) => host !== self.host && census?.isEstablished && !this.#excludedUntil.has(keyOf(service, host)));
		const likely = 2 * wanted / Math.max(Number.EPSILON, averageShare());
		const count = Math.min(maxLenders, Math.max(1, Math.ceil(spread * likely)));
		return candidates.map(({host}) => ({host, rank: random.next()})).toSorted((left, right) => left.rank - right.rank).slice(0, count).map(({host}) => host);
	}

	/** Gives waiters permits in order, while there is enough. */
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

function giftKeyOf(borrower: string, ask: number, service: string): string {
	return `${borrower} ${ask} ${service}`;
}

function keyOf(service: string, host: string): string {
	return `${service} ${host}`;
}
