/**
 * Enforces rate limits of endpoints across all hosts. Each host holds permits
 * and lends its share of every limit to the granter, which is the first host
 * by rendezvous rank. Safety: policy/relay/rate-granter.ts. While no limit is
 * in force, no messages are sent.
 */
import {rankFirst} from '@gatehead/policy/core/rendezvous';
import {type SignalBook} from '@gatehead/policy/relay/endpoint-signals';
import {RateGranter, type RateGrant} from '@gatehead/policy/relay/rate-granter';
import {RatePermits, unlimitedPermit, type Permit} from '@gatehead/policy/relay/rate-permits';
import {RateShare} from '@gatehead/policy/relay/rate-share';
import {type Timer} from '@gatehead/policy/utils/clock';
import {type Owner} from '@gatehead/schema/engine-protocol';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type RateLimit, type RelayMessage, type RelayMessageOf} from '@gatehead/schema/relay-message';
import {PeerRequests} from '../access/peer-requests.js';
import {type RelayContext} from '../core/context.js';

/** Interval of the rounds in which the granter requests shares, in milliseconds: a share outlives two lost rounds. */
const roundMs = 1000;
/** Shortest time between two rounds, in milliseconds, as a constant and for each host, of which the larger counts: bounds the granter's messages where endpoints state a new limit in every response. */
const minRoundMs = 100;
const minRoundMsPerHost = 2;
/** Timeout of a request for permits, in milliseconds. */
const grantTimeoutMs = 120;
/** Time until the next request for permits after a timeout, in milliseconds. */
const noGrantRetryMs = 250;
/** Key of the rendezvous ranking that selects the granter. */
const granterRankKey = 'rate limits';

export type RateLimiterOptions = {
	readonly context: Pick<RelayContext, 'clock' | 'log' | 'metrics' | 'self' | 'settings'>;
	readonly signals: SignalBook;
	/** Merges limits from another host. */
	readonly receiveLimits: (limits: readonly RateLimit[], from: string) => void;
	/** Reachable hosts, including this one. */
	readonly listReachable: () => readonly MemberRecord[];
	/** Number of known hosts, including unreachable ones. */
	readonly countKnown: () => number;
	/** Whether that is the number of hosts in the fleet. A host that has just started does not know how small its share is. */
	readonly isFleetKnown: () => boolean;
	readonly send: (host: string, message: RelayMessage) => void;
	/** Closes the stream to a peer; the next message opens a new one. */
	readonly reconnect: (host: string) => void;
};

/** Outcome of a request for a permit. */
export type PermitAnswer
	= | {readonly kind: 'granted'; readonly permit: Permit}
		| {readonly kind: 'limited'; readonly waitMs: number};

type EndpointState = {
	readonly permits: RatePermits;
	waiting: Array<(answer: PermitAnswer) => void>;
	isRequesting: boolean;
};

/** Version of the limits, as counted by one granter. */
type Version = {
	readonly granter: Owner;
	readonly version: number;
};

/** Rate limiter of one host. */
export class RateLimiter {
	readonly #options: RateLimiterOptions;
	readonly #granter = new RateGranter();
	readonly #share: RateShare;
	readonly #questions: PeerRequests<RateGrant>;
	readonly #states = new Map<string, EndpointState>();
	/** On the granter: the version of the limits, and the version that each host has. */
	#version = 0;
	readonly #sentVersions = new Map<string, number>();
	/** On other hosts: the version last received. */
	#receivedVersion: Version | undefined;
	#lastRoundAt = Number.NEGATIVE_INFINITY;
	/** Cached, since ranking hundreds of hosts for each request would cost more than the request. */
	#granterHost: string | undefined;
	#isGranterKnown = false;
	#timer: Timer | undefined;

	constructor(options: RateLimiterOptions) {
		const {clock} = options.context;
		this.#options = options;
		this.#share = new RateShare(clock.now());
		this.#questions = new PeerRequests(clock);
	}

	/** Whether this host is the granter. */
	get isGranter(): boolean {
		return this.#findGranter() === this.#options.context.self.host;
	}

	/** Stops the rounds. */
	close(): void {
		this.#timer?.stop();
	}

	/** Acquires a permit for a request to an endpoint; waits at most `maxWaitMs` milliseconds if none is available. */
	async acquire(endpoint: string, maxWaitMs = 0): Promise<PermitAnswer> {
		const {clock} = this.#options.context;
		const startedAt = clock.now();
		for (;;) {
			const answer = await this.#tryAcquire(endpoint);
			const remainingMs = startedAt + maxWaitMs - clock.now();
			if (answer.kind === 'granted' || answer.waitMs > remainingMs) {
				return answer;
			}

			await new Promise<void>(resolve => {
				clock.after(answer.waitMs, resolve);
			});
		}
	}

	/** Returns an unused permit. */
	returnPermit(endpoint: string, permit: Permit): void {
		if (permit !== unlimitedPermit) {
			this.#states.get(endpoint)?.permits.putBack(permit);
		}
	}

	/** Called when hosts join, leave or are suspected of failure. */
	noteFleetChange(): void {
		this.#isGranterKnown = false;
	}

	/** Removes the state of an endpoint that is gone. */
	forget(endpoint: string): void {
		this.#states.delete(endpoint);
		this.#granter.forget(endpoint);
	}

	/** Called when an endpoint's response to this host started, changed or ended its limit. */
	noteStated(endpoint: string): void {
		const {context: {clock, self}, signals, send} = this.#options;
		const granter = this.#findGranter();
		this.#scheduleRound();
		if (granter === self.host) {
			this.#handleLimitChange();
		} else if (granter !== undefined) {
			send(granter, {kind: 'rateStated', limits: [signals.describeLimit(endpoint, clock.now())]});
		}
	}

	/** Handles limits that endpoints stated to another host. */
	receiveStated(from: string, {limits}: RelayMessageOf<'rateStated'>): void {
		this.#mergeLimits(limits, from);
		this.#scheduleRound();
	}

	/** Responds to the granter's request for this host's share. */
	receiveRound(from: Owner, {round, hosts, version, limits}: RelayMessageOf<'rateRound'>): void {
		const {context: {clock}, send, receiveLimits} = this.#options;
		if (limits !== undefined) {
			receiveLimits(limits, from.host);
			this.#receivedVersion = {granter: from, version};
		}

		this.#scheduleRound();
		const isKnown = this.#receivedVersion?.granter.host === from.host && this.#receivedVersion.granter.incarnation === from.incarnation;
		const known = isKnown ? this.#receivedVersion?.version ?? 0 : 0;
		const isLent = this.#options.isFleetKnown() && this.#findGranter() === from.host && this.#share.lend(from, clock.now());
		send(from.host, {
			kind: 'rateLoan', round, share: isLent ? this.#shareOf(hosts) : 0, version: known,
		});
	}

	/** Handles another host's share. */
	receiveLoan(from: string, {round, share, version}: RelayMessageOf<'rateLoan'>): void {
		this.#sentVersions.set(from, version);
		if (share > 0) {
			this.#granter.addShare(from, round, share, this.#options.context.clock.now());
		}
	}

	/** Responds to a request for permits. */
	receiveWanted(from: string, {ask, wanted, limit}: RelayMessageOf<'rateWanted'>): void {
		this.#mergeLimits([limit], from);
		this.#scheduleRound();
		this.#options.send(from, {kind: 'rateGranted', ask, ...this.#grant(limit, wanted)});
	}

	/** Handles the granter's response to a request for permits. */
	receiveGranted({ask, granted, waitMs}: RelayMessageOf<'rateGranted'>): void {
		this.#questions.settle(ask, {granted, waitMs});
	}

	/** Merges limits; if they changed, the granter starts a round that distributes them. */
	#mergeLimits(limits: readonly RateLimit[], from: string): void {
		const {context: {clock}, signals, receiveLimits} = this.#options;
		const before = signals.listLimits(clock.now()).length;
		const changed = limits.some(({endpoint, perS}) => signals.limitOf(endpoint) !== perS);
		receiveLimits(limits, from);
		if (changed || signals.listLimits(clock.now()).length !== before) {
			this.#handleLimitChange();
		}
	}

	/** Counts a change of the limits; the granter distributes it at once. */
	#handleLimitChange(): void {
		this.#version += 1;
		if (this.isGranter) {
			this.#startRound();
		}
	}

	async #tryAcquire(endpoint: string): Promise<PermitAnswer> {
		const {context: {clock}, signals} = this.#options;
		if (signals.limitOf(endpoint) === undefined) {
			return {kind: 'granted', permit: unlimitedPermit};
		}

		const now = clock.now();
		const state = this.#stateOf(endpoint);
		state.permits.recordDemand(now);
		const permit = state.permits.take(now);
		if (permit !== undefined) {
			return {kind: 'granted', permit};
		}

		const waitMs = signals.waitMs(endpoint, now);
		if (waitMs > 0) {
			return {kind: 'limited', waitMs};
		}

		return new Promise(resolve => {
			state.waiting.push(resolve);
			void this.#requestPermits(endpoint, state);
		});
	}

	/** Requests permits until nothing waits for one; at most one request per endpoint is in flight. */
	async #requestPermits(endpoint: string, state: EndpointState): Promise<void> {
		if (state.isRequesting) {
			return;
		}

		state.isRequesting = true;
		try {
			while (state.waiting.length > 0) {
				await this.#requestPermitsOnce(endpoint, state);
			}
		} finally {
			state.isRequesting = false;
		}
	}

	async #requestPermitsOnce(endpoint: string, state: EndpointState): Promise<void> {
		const {context: {clock, metrics}, signals} = this.#options;
		const requestedAt = clock.now();
		const grant = await this.#requestGrant(endpoint, state.permits.wanted(state.waiting.length, requestedAt));
		state.permits.add(grant, requestedAt);
		metrics.add('ratePermits', {outcome: grant.granted > 0 ? 'granted' : 'refused'}, Math.max(1, grant.granted));
		while (state.waiting.length > 0) {
			const permit = state.permits.take(clock.now());
			if (permit === undefined) {
				break;
			}

			state.waiting.shift()?.({kind: 'granted', permit});
		}

		if (grant.granted === 0) {
			signals.notePermitsFrom(endpoint, clock.now() + grant.waitMs);
			for (const resolve of state.waiting.splice(0)) {
				resolve({kind: 'limited', waitMs: grant.waitMs});
			}
		}
	}

	async #requestGrant(endpoint: string, wanted: number): Promise<RateGrant> {
		const {context: {clock, self, metrics}, signals, send, reconnect} = this.#options;
		const granter = this.#findGranter();
		const limit = signals.describeLimit(endpoint, clock.now());
		if (granter === undefined || granter === self.host) {
			return this.#grant(limit, wanted);
		}

		const grant = await this.#questions.send(grantTimeoutMs, ask => {
			send(granter, {
				kind: 'rateWanted', ask, wanted, limit,
			});
		});
		if (grant !== undefined) {
			return grant;
		}

		metrics.add('ratePermits', {outcome: 'silent'});
		reconnect(granter);
		return {granted: 0, waitMs: noGrantRetryMs};
	}

	/** Grants permits as the granter, and starts a round for shares if one is due. If this host knows no limit, the requester's limit applies. */
	#grant({endpoint, perS}: RateLimit, wanted: number): RateGrant {
		const {context: {clock}, signals} = this.#options;
		const limit = signals.limitOf(endpoint) ?? perS;
		if (limit === undefined) {
			return {granted: wanted, waitMs: 0};
		}

		this.#startDueRound();
		return this.#granter.grant(endpoint, limit, wanted, clock.now());
	}

	/** Schedules rounds while a limit is in force. */
	#scheduleRound(): void {
		const {context: {clock}, signals} = this.#options;
		if (this.#timer !== undefined || !signals.hasLimits) {
			return;
		}

		this.#timer = clock.after(roundMs, () => {
			this.#timer = undefined;
			this.#startDueRound();
			this.#scheduleRound();
		});
	}

	#startDueRound(): void {
		const {context: {clock, self}} = this.#options;
		if (this.isGranter && clock.now() - this.#lastRoundAt >= roundMs * 0.9) {
			this.#startRound();
		}
	}

	#startRound(): void {
		const {context: {clock, self}, signals, listReachable, countKnown, isFleetKnown, send} = this.#options;
		const now = clock.now();
		const hosts = countKnown();
		if (now - this.#lastRoundAt < Math.max(minRoundMs, minRoundMsPerHost * hosts)) {
			// The next scheduled round distributes the change
			return;
		}

		this.#lastRoundAt = now;
		const round = this.#granter.startRound(now);
		const limits = signals.listLimits(now);
		if (isFleetKnown() && this.#share.lend(self, now)) {
			this.#granter.addShare(self.host, round, this.#shareOf(hosts), now);
		}

		for (const {host} of listReachable()) {
			if (host !== self.host) {
				const isKnown = this.#sentVersions.get(host) === this.#version;
				send(host, {
					kind: 'rateRound', round, hosts, version: this.#version, limits: isKnown ? undefined : limits,
				});
			}
		}
	}

	#shareOf(hosts: number): number {
		return 1 / Math.max(1, hosts, this.#options.countKnown());
	}

	#findGranter(): string | undefined {
		if (this.#isGranterKnown) {
			return this.#granterHost;
		}

		const alive = this.#options.listReachable().filter(({state}) => state === 'alive');
		this.#granterHost = rankFirst(granterRankKey, alive.map(({host}) => host));
		this.#isGranterKnown = true;
		return this.#granterHost;
	}

	#stateOf(endpoint: string): EndpointState {
		let state = this.#states.get(endpoint);
		if (state === undefined) {
			state = {permits: new RatePermits(), waiting: [], isRequesting: false};
			this.#states.set(endpoint, state);
		}

		return state;
	}
}
