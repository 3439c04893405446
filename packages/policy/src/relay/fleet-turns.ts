/**
 * The common order of the requests that wait at the hosts of a subset. Each
 * host merges its own queue with the heads that its peers report, and asks
 * replicas only for its requests that come early enough. Hosts may disagree:
 * the replicas decide who gets memory.
 */
import {type LoadReport} from '@gatehead/schema/relay-message';

/** Time after which the heads of a silent host no longer count, in milliseconds; somewhat longer than the suspicion timeout. */
const headLifetimeMs = 2500;
/** Age from which reported heads are presumed served at the release rate, in milliseconds: the interval of reports and their delay. */
const freshReportMs = 650;
/** Time without service after which a class goes first once, in milliseconds. */
const starvationMs = 3000;
/** Time without a waiting request after which the clock of a class starts anew, in milliseconds. */
const demandGapMs = 3000;
/** Minimum number of requests that may ask at a time. With one, each place stays unused until the one host polls, or for as long as its request is too large. */
const minTurns = 2;
const millisecondsPerSecond = 1000;

/** A waiting request; times are in milliseconds of the host's clock. */
export type TurnRequest = {
	/** Whether the caller has a part of the response. */
	readonly isStarted: boolean;
	/** Priority of the route; 0 is the most urgent. */
	readonly urgency: number;
	readonly workspace: string | undefined;
	readonly arrivedAt: number;
	/** Latest admission with which its first event is on time. */
	readonly dueAt: number;
	/** Whether its caller returns at its scheduled time; of a peer's, also whether its wait was accepted. */
	readonly isReturn: boolean;
	readonly tokens: number;
};

/** A request in the common order; `own` is undefined for a peer's. */
export type Turn<Item extends TurnRequest> = {
	readonly request: TurnRequest;
	readonly own: Item | undefined;
	/** Whether it goes ahead because its class was not served for long. */
	readonly isPromoted: boolean;
};

/** What the order depends on beside the requests. */
export type TurnOrder = {
	/** Keys of a request's class, most significant first, lowest first: priority of its workspace, urgency, and level of its workspace above its share. */
	readonly rankOf: (request: TurnRequest) => readonly number[];
	/** Whether its caller was promised to be served: it returns at its time, or its wait was accepted. */
	readonly isPromised: (request: TurnRequest) => boolean;
};

/** Heads of one peer. */
type PeerHeads = {
	readonly receivedAt: number;
	readonly heads: readonly TurnRequest[];
};

/** When a class was first seen to wait since it was served, and when it last was. */
type ClassClock = {
	readonly since: number;
	readonly seenAt: number;
};

/** Common order of one service. */
export class FleetTurns {
	readonly #peers = new Map<string, PeerHeads>();
	/** By class; a class that was served has none until it waits again. */
	readonly #clocks = new Map<string, ClassClock>();

	/** Replaces the heads of a peer. */
	receive(host: string, heads: LoadReport['heads'], now: number): void {
		if (heads.length === 0) {
			this.#peers.delete(host);
			return;
		}

		this.#peers.set(host, {
			receivedAt: now,
			heads: heads.map(({urgency, workspace, ageMs, leftMs, isReturn, tokens}) => ({
				isStarted: false, urgency, workspace, arrivedAt: now - ageMs, dueAt: now + leftMs, isReturn, tokens,
			})),
		});
	}

	/** Removes the head of a peer that has reserved memory for it; heads are identified by their size. */
	receivePlacement(host: string, tokens: number, now: number): void {
		const peer = this.#peers.get(host);
		const index = peer?.heads.findIndex(head => head.tokens === tokens) ?? -1;
		if (peer === undefined || index === -1) {
			this.#clocks.delete(sizeClass(tokens));
			return;
		}

		for (const served of peer.heads.slice(index, index + 1)) {
			this.recordServed(served);
		}

		this.#peers.set(host, {...peer, heads: peer.heads.toSpliced(index, 1)});
		this.#dropExpired(now);
	}

	/** Records that a request got memory. */
	recordServed(request: TurnRequest): void {
		for (const each of classesOf(request)) {
			this.#clocks.delete(each);
		}
	}

	/** Whether requests of peers wait. */
	hasPeerRequests(now: number): boolean {
		this.#dropExpired(now);
		return this.#peers.size > 0;
	}

	/** Lists the host's own requests and those of its peers. */
	list(own: readonly TurnRequest[], now: number): TurnRequest[] {
		this.#dropExpired(now);
		return [...own, ...[...this.#peers.values()].flatMap(({heads}) => heads)];
	}

	/** Merges the host's own requests with those of its peers, first to be served first. */
	order<Item extends TurnRequest>(own: readonly Item[], now: number, criteria: TurnOrder): Array<Turn<Item>> {
		this.#dropExpired(now);
		const turns: Array<Turn<Item>> = own.map(request => ({request, own: request, isPromoted: false}));
		for (const {heads} of this.#peers.values()) {
			turns.push(...heads.map(request => ({request, own: undefined, isPromoted: false})));
		}

		this.#noteWaiting(turns.map(({request}) => request), now);
		const keyed = turns.map(turn => ({turn, keys: keysOf(turn.request, now, criteria)}));
		keyed.sort((one, other) => compareKeys(one.keys, other.keys));
		return this.#promoteStarved(keyed.map(({turn}) => turn), now);
	}

	/** Number of requests ahead of which one still has its turn: those for which memory is expected within one poll interval, and those that were probably served since their reports. */
	countTurns(releasesPerS: number, pollIntervalMs: number, now: number): number {
		const perInterval = Math.max(minTurns, Math.ceil(releasesPerS * pollIntervalMs / millisecondsPerSecond));
		let staleMs = 0;
		for (const {receivedAt} of this.#peers.values()) {
			staleMs = Math.max(staleMs, now - receivedAt - freshReportMs);
		}

		return perInterval + Math.floor(releasesPerS * staleMs / millisecondsPerSecond);
	}

	#dropExpired(now: number): void {
		for (const [host, {receivedAt, heads}] of this.#peers) {
			if (heads.length === 0 || now - receivedAt > headLifetimeMs) {
				this.#peers.delete(host);
			}
		}
	}

	#noteWaiting(requests: readonly TurnRequest[], now: number): void {
		for (const request of requests) {
			for (const each of classesOf(request)) {
				const clock = this.#clocks.get(each);
				const isCurrent = clock !== undefined && now - clock.seenAt <= demandGapMs;
				this.#clocks.set(each, {since: isCurrent ? clock.since : now, seenAt: now});
			}
		}

		for (const [each, {seenAt}] of this.#clocks) {
			if (now - seenAt > demandGapMs) {
				this.#clocks.delete(each);
			}
		}
	}

	/** Moves the first request of each class that was not served for long behind the started streams. */
	#promoteStarved<Item extends TurnRequest>(turns: Array<Turn<Item>>, now: number): Array<Turn<Item>> {
		const starved = new Set([...this.#clocks].filter(([, {since, seenAt}]) => seenAt === now && now - since > starvationMs).map(([each]) => each));
		if (starved.size === 0) {
			return turns;
		}

		const promoted = new Set<Turn<Item>>();
		for (const turn of turns) {
			const classes = turn.request.isStarted ? [] : classesOf(turn.request).filter(each => starved.has(each));
			if (classes.length > 0) {
				promoted.add(turn);
			}

			for (const each of classes) {
				starved.delete(each);
			}
		}

		const isFirst = (turn: Turn<Item>) => turn.request.isStarted;
		return [...turns.filter(turn => isFirst(turn)), ...[...promoted].map(turn => ({...turn, isPromoted: true})), ...turns.filter(turn => !isFirst(turn) && !promoted.has(turn))];
	}
}

/** Classes of which none may starve: urgency, size and workspace. */
function classesOf({urgency, tokens, workspace}: TurnRequest): string[] {
	return [`urgency ${urgency}`, sizeClass(tokens), ...(workspace === undefined ? [] : [`workspace ${workspace}`])];
}

/** Sizes differ in class if one is at least twice the other. */
function sizeClass(tokens: number): string {
	return `size ${Math.floor(Math.log2(Math.max(1, tokens)))}`;
}

/** Keys of the order, most significant first, lowest first. */
function keysOf(request: TurnRequest, now: number, {rankOf, isPromised}: TurnOrder): number[] {
	const {isStarted, arrivedAt, dueAt} = request;
	return isStarted
		? [0, arrivedAt]
		: [1, dueAt >= now ? 0 : 1, ...rankOf(request), isPromised(request) ? 0 : 1, arrivedAt];
}

/** Compares keys of the order, most significant first. */
export function compareKeys(left: readonly number[], right: readonly number[]): number {
	for (const [index, key] of left.entries()) {
		const difference = key - (right[index] ?? key);
		if (difference !== 0) {
			return difference;
		}
	}

	return 0;
}
