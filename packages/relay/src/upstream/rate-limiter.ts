/**
 * Rate limits of endpoints, kept over all hosts: this host's permits, the
 * share of every limit that it lends, and its part as granter while it is the
 * first host by rank. Safety: policy/relay/rate-granter.ts. Without any limit
 * in force no message is sent.
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

/** Interval of the rounds in which shares are asked for, in milliseconds: a share outlives two lost rounds. */
const roundMs = 1000;
/** Least time between two rounds, in milliseconds, and the same for each host: bounds the granter's messages where endpoints state another limit with each response. */
const leastRoundMs = 100;
const leastRoundMsPerHost = 2;
/** Time that the granter gets to answer, in milliseconds. */
const answerMs = 120;
/** Time after which to ask again where no granter answers, in milliseconds. */
const noGranterWaitMs = 250;
/** Time for which a host that has seeds and has reached none of them lends nothing, in milliseconds. */
const isolationMs = 60_000;
/** Rank by which hosts choose the granter. */
const granterMatter = 'rate limits';

/** What the limiter works with. */
export type RateLimiterParts = {
	readonly context: Pick<RelayContext, 'clock' | 'log' | 'metrics' | 'self' | 'settings'>;
	readonly signals: SignalBook;
	/** Takes over limits from another host. */
	readonly receiveLimits: (limits: readonly RateLimit[], from: string) => void;
	/** Hosts that can be reached, this one among them. */
	readonly listReachable: () => readonly MemberRecord[];
	/** Hosts known, those not heard any more among them. */
	readonly countKnown: () => number;
	readonly send: (host: string, message: RelayMessage) => void;
	/** Closes the stream to a peer; the next message reconnects. */
	readonly renew: (host: string) => void;
};

/** What came of asking for a permit. */
export type PermitAnswer
	= | {readonly kind: 'granted'; readonly permit: Permit}
		| {readonly kind: 'limited'; readonly waitMs: number};

type Desk = {
	readonly permits: RatePermits;
	waiters: Array<(answer: PermitAnswer) => void>;
	isAsking: boolean;
};

/** A version of the limits, by the granter that counts it. */
type Version = {
	readonly granter: Owner;
	readonly version: number;
};

/** One host's rate limiter. */
export class RateLimiter {
	readonly #parts: RateLimiterParts;
	readonly #granter = new RateGranter();
	readonly #share: RateShare;
	readonly #questions: PeerRequests<RateGrant>;
	readonly #desks = new Map<string, Desk>();
	readonly #startedAt: number;
	/** As granter: counts changes of the limits, and which version each host has. */
	#version = 0;
	readonly #sentVersions = new Map<string, number>();
	/** As another host: the version that it has. */
	#known: Version | undefined;
	#roundAt = Number.NEGATIVE_INFINITY;
	/** Ranking hundreds of hosts for each request would cost more than the request. */
	#granterHost: string | undefined;
	#isGranterKnown = false;
	#timer: Timer | undefined;

	constructor(parts: RateLimiterParts) {
		const {clock} = parts.context;
		this.#parts = parts;
		this.#startedAt = clock.now();
		this.#share = new RateShare(this.#startedAt);
		this.#questions = new PeerRequests(clock);
	}

	/** Whether this host grants permits now. */
	get isGranter(): boolean {
		return this.#findGranter() === this.#parts.context.self.host;
	}

	/** Stops. */
	close(): void {
		this.#timer?.stop();
	}

	/** Gets a permit for a request to an endpoint, waiting for `patienceMs` at most where none is left. */
	async acquire(endpoint: string, patienceMs = 0): Promise<PermitAnswer> {
		const {clock} = this.#parts.context;
		const startedAt = clock.now();
		for (;;) {
			const answer = await this.#acquireNow(endpoint);
			const leftMs = startedAt + patienceMs - clock.now();
			if (answer.kind === 'granted' || answer.waitMs > leftMs) {
				return answer;
			}

			await new Promise<void>(resolve => {
				clock.after(answer.waitMs, resolve);
			});
		}
	}

	/** Takes a permit back that was not used. */
	giveBack(endpoint: string, permit: Permit): void {
		if (permit !== unlimitedPermit) {
			this.#deskOf(endpoint).permits.putBack(permit);
		}
	}

	/** Hosts came, went, or were suspected. */
	noteFleetChange(): void {
		this.#isGranterKnown = false;
	}

	/** An endpoint is gone. */
	forget(endpoint: string): void {
		this.#desks.delete(endpoint);
		this.#granter.forget(endpoint);
	}

	/** A limit began, changed or ended, by an endpoint's response to this host. */
	noteStated(endpoint: string): void {
		const {context: {clock, self}, signals, send} = this.#parts;
		const granter = this.#findGranter();
		this.#begin();
		if (granter === self.host) {
			this.#noteLimits();
		} else if (granter !== undefined) {
			send(granter, {kind: 'rateStated', limits: [signals.describeLimit(endpoint, clock.now())]});
		}
	}

	/** Takes limits that endpoints have stated to another host. */
	receiveStated(from: string, {limits}: RelayMessageOf<'rateStated'>): void {
		this.#take(limits, from);
		this.#begin();
	}

	/** Answers the granter's request for this host's share. */
	receiveRound(from: Owner, {round, hosts, version, limits}: RelayMessageOf<'rateRound'>): void {
		const {context: {clock}, send, receiveLimits} = this.#parts;
		if (limits !== undefined) {
			receiveLimits(limits, from.host);
			this.#known = {granter: from, version};
		}

		this.#begin();
		const isKnown = this.#known?.granter.host === from.host && this.#known.granter.incarnation === from.incarnation;
		const known = isKnown ? this.#known?.version ?? 0 : 0;
		const isLent = this.#mayLend() && this.#findGranter() === from.host && this.#share.lend(from, clock.now());
		send(from.host, {
			kind: 'rateLoan', round, share: isLent ? this.#shareOf(hosts) : 0, version: known,
		});
	}

	/** Takes the share of another host. */
	receiveLoan(from: string, {round, share, version}: RelayMessageOf<'rateLoan'>): void {
		this.#sentVersions.set(from, version);
		if (share > 0) {
			this.#granter.addShare(from, round, share, this.#parts.context.clock.now());
		}
	}

	/** Answers a request for permits. */
	receiveWanted(from: string, {ask, wanted, limit}: RelayMessageOf<'rateWanted'>): void {
		this.#take([limit], from);
		this.#begin();
		this.#parts.send(from, {kind: 'rateGranted', ask, ...this.#grant(limit, wanted)});
	}

	/** Takes the granter's answer. */
	receiveGranted({ask, granted, waitMs}: RelayMessageOf<'rateGranted'>): void {
		this.#questions.settle(ask, {granted, waitMs});
	}

	/** Merges limits; the next round distributes what changed. */
	#take(limits: readonly RateLimit[], from: string): void {
		const {context: {clock}, signals, receiveLimits} = this.#parts;
		const before = signals.listLimits(clock.now()).length;
		const changed = limits.some(({endpoint, perS}) => signals.limitOf(endpoint) !== perS);
		receiveLimits(limits, from);
		if (changed || signals.listLimits(clock.now()).length !== before) {
			this.#noteLimits();
		}
	}

	/** The limits known here have changed; the granter distributes them at once. */
	#noteLimits(): void {
		this.#version += 1;
		if (this.isGranter) {
			this.#openRound();
		}
	}

	async #acquireNow(endpoint: string): Promise<PermitAnswer> {
		const {context: {clock}, signals} = this.#parts;
		if (signals.limitOf(endpoint) === undefined) {
			return {kind: 'granted', permit: unlimitedPermit};
		}

		const now = clock.now();
		const desk = this.#deskOf(endpoint);
		desk.permits.recordDemand(now);
		const permit = desk.permits.take(now);
		if (permit !== undefined) {
			return {kind: 'granted', permit};
		}

		const waitMs = signals.waitMs(endpoint, now);
		if (waitMs > 0) {
			return {kind: 'limited', waitMs};
		}

		return new Promise(resolve => {
			desk.waiters.push(resolve);
			void this.#ask(endpoint, desk);
		});
	}

	/** Asks until nobody waits; one question an endpoint is under way at a time. */
	async #ask(endpoint: string, desk: Desk): Promise<void> {
		if (desk.isAsking) {
			return;
		}

		desk.isAsking = true;
		try {
			while (desk.waiters.length > 0) {
				await this.#askOnce(endpoint, desk);
			}
		} finally {
			desk.isAsking = false;
		}
	}

	async #askOnce(endpoint: string, desk: Desk): Promise<void> {
		const {context: {clock, metrics}, signals} = this.#parts;
		const askedAt = clock.now();
		const grant = await this.#question(endpoint, desk.permits.wanted(desk.waiters.length, askedAt));
		desk.permits.add(grant, askedAt);
		metrics.add('ratePermits', {outcome: grant.granted > 0 ? 'granted' : 'refused'}, Math.max(1, grant.granted));
		while (desk.waiters.length > 0) {
			const permit = desk.permits.take(clock.now());
			if (permit === undefined) {
				break;
			}

			desk.waiters.shift()?.({kind: 'granted', permit});
		}

		if (grant.granted === 0) {
			signals.notePermitsFrom(endpoint, clock.now() + grant.waitMs);
			for (const resolve of desk.waiters.splice(0)) {
				resolve({kind: 'limited', waitMs: grant.waitMs});
			}
		}
	}

	async #question(endpoint: string, wanted: number): Promise<RateGrant> {
		const {context: {clock, self, metrics}, signals, send, renew} = this.#parts;
		const granter = this.#findGranter();
		const limit = signals.describeLimit(endpoint, clock.now());
		if (granter === undefined || granter === self.host) {
			return this.#grant(limit, wanted);
		}

		const grant = await this.#questions.send(answerMs, ask => {
			send(granter, {
				kind: 'rateWanted', ask, wanted, limit,
			});
		});
		if (grant !== undefined) {
			return grant;
		}

		metrics.add('ratePermits', {outcome: 'silent'});
		renew(granter);
		return {granted: 0, waitMs: noGranterWaitMs};
	}

	/** Grants permits as granter, and asks for shares where too few are held. Where this host knows of no limit, the asker's counts until the next round. */
	#grant({endpoint, perS}: RateLimit, wanted: number): RateGrant {
		const {context: {clock}, signals} = this.#parts;
		const limit = signals.limitOf(endpoint) ?? perS;
		if (limit === undefined) {
			return {granted: wanted, waitMs: 0};
		}

		this.#openDueRound();
		return this.#granter.grant(endpoint, limit, wanted, clock.now());
	}

	/** Keeps rounds going while a limit is in force. */
	#begin(): void {
		const {context: {clock}, signals} = this.#parts;
		if (this.#timer !== undefined || !signals.hasLimits) {
			return;
		}

		this.#timer = clock.after(roundMs, () => {
			this.#timer = undefined;
			this.#openDueRound();
			this.#begin();
		});
	}

	#openDueRound(): void {
		const {context: {clock, self}} = this.#parts;
		if (this.isGranter && clock.now() - this.#roundAt >= roundMs * 0.9) {
			this.#openRound();
		}
	}

	#openRound(): void {
		const {context: {clock, self}, signals, listReachable, countKnown, send} = this.#parts;
		const now = clock.now();
		const hosts = countKnown();
		if (now - this.#roundAt < Math.max(leastRoundMs, leastRoundMsPerHost * hosts)) {
			// The timer's next round brings the rest
			return;
		}

		this.#roundAt = now;
		const round = this.#granter.startRound(now);
		const limits = signals.listLimits(now);
		if (this.#mayLend() && this.#share.lend(self, now)) {
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

	/** A host that has reached no other yet cannot know how small its share is. */
	#mayLend(): boolean {
		const {context: {clock, settings: {seeds, listen}}, countKnown} = this.#parts;
		const own = listen.advertisedPeer ?? listen.peer;
		const isAlone = countKnown() === 1 && seeds.some(seed => seed !== own);
		return !isAlone || clock.now() - this.#startedAt >= isolationMs;
	}

	#shareOf(hosts: number): number {
		return 1 / Math.max(1, hosts, this.#parts.countKnown());
	}

	#findGranter(): string | undefined {
		if (this.#isGranterKnown) {
			return this.#granterHost;
		}

		const alive = this.#parts.listReachable().filter(({state}) => state === 'alive');
		this.#granterHost = rankFirst(granterMatter, alive.map(({host}) => host));
		this.#isGranterKnown = true;
		return this.#granterHost;
	}

	#deskOf(endpoint: string): Desk {
		let desk = this.#desks.get(endpoint);
		if (desk === undefined) {
			desk = {permits: new RatePermits(), waiters: [], isAsking: false};
			this.#desks.set(endpoint, desk);
		}

		return desk;
	}
}
