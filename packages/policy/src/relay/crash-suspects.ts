/**
 * Contents of requests under which endpoints have ended, and which of them are
 * held back. One endpoint that ends takes many requests with it; the one at
 * fault is known by its being there each time, and by its never going well.
 * Efficiency, and the safety of one bound: how many endpoints one content may
 * end. What hosts know merges in any order, told once or often: ends are a
 * set, and so are those among them that were refuted. The pattern is that of
 * a queue that counts deliveries of one record and gives it up (KIP-932); no
 * host here sees all deliveries, so the set of ends takes the counter's place.
 */
import {type CrashReport} from '@gatehead/schema/relay-message';

/** How ends are counted; other figures than the usual ones are for measurements. */
export type CrashRule = {
	/** Ends from which on a content is held back. */
	readonly leastEnds: number;
	/** Ends so close together count as one, in milliseconds. */
	readonly sameMomentMs: number;
};

/** Ends from which on a content is held back. In generated fleets of 42 endpoints that lose a sixth at once eleven times a minute (20 seeds, crash-suspects.test.ts) 2 held none of 4,620 innocent contents back, and 23 of 5,820 where ten guilty ones came besides; with 1 it was 2,725 and 3,131, with 3 none and 5. Each end more costs an endpoint for seconds, and the three to ten streams on it. */
const leastEnds = 2;
/** Ends so close together count as one, in milliseconds: a rack or a hall that goes takes several runs of a content that many ask for. */
const sameMomentMs = 200;
/** How long a content is held back at first, in milliseconds; twice as long after each further end: a caller that was wronged is served again within a minute, and one that is rightly held ends an endpoint once in a quarter of an hour in the end. */
const firstHoldMs = 60_000;
/** Longest such time, in milliseconds. */
const longestHoldMs = 900_000;
/** How long an end is remembered, in milliseconds: twice the longest hold, so that none lapses while it is in force. */
const forgetMs = 1_800_000;
/** Contents kept, those held back last of all to go: half a megabyte. */
const mostContents = 512;
/** Ends kept of one content: the holds stop growing with the sixth. */
const mostEndsKept = 8;
/** Refuted ends kept of one content: more than its ends, since some are told of before their end is. */
const mostRefutedKept = 32;
/** Contents that one report tells of. */
export const mostReported = 32;

/** A content by its name, with the length of its body: comparing that is enough for nearly all requests. */
export type ContentName = {
	readonly digest: string;
	readonly bytes: number;
};

/** What may be done with a request. `trial`: its time is over, and one run may show whether it still ends endpoints. */
export type CrashVerdict
	= | {readonly kind: 'free'}
		| {readonly kind: 'trial'}
		| {readonly kind: 'held'; readonly leftMs: number};

const usualRule: CrashRule = {leastEnds, sameMomentMs};

type Suspect = {
	readonly bytes: number;
	readonly knownSince: number;
	/** When each endpoint's start ended, by this host's clock. */
	readonly ends: Map<string, number>;
	readonly refuted: Set<string>;
};

const free: CrashVerdict = {kind: 'free'};

/** All that one host knows of such contents. */
export class CrashSuspects {
	readonly #suspects = new Map<string, Suspect>();
	/** Contents by the length of their bodies. */
	readonly #lengths = new Map<number, number>();
	readonly #rule: CrashRule;

	constructor(rule: CrashRule = usualRule) {
		this.#rule = rule;
	}

	/** Whether nothing is suspected of any request whose body has this length. */
	isClear(bytes: number): boolean {
		return !this.#lengths.has(bytes);
	}

	/** Whether an endpoint has ended under a content that has not gone well since. */
	isSuspect({digest, bytes}: ContentName, now: number): boolean {
		const suspect = this.isClear(bytes) ? undefined : this.#suspects.get(digest);
		return suspect !== undefined && listCounted(suspect, this.#rule.sameMomentMs, now).length > 0;
	}

	/** Notes that an endpoint ended under a content; returns whether that was news. */
	noteEnd({digest, bytes}: ContentName, end: string, at: number): boolean {
		const suspect = this.#suspectOf(digest, bytes, at);
		const known = suspect.ends.get(end);
		if (known !== undefined) {
			// News that were held up make an end look later than it was
			suspect.ends.set(end, Math.min(known, at));
			return false;
		}

		suspect.ends.set(end, at);
		trim(suspect.ends, mostEndsKept);
		return true;
	}

	/** A request of this content went well: no end that is known now was its fault. Returns whether that was news. */
	noteGood({digest, bytes}: ContentName): boolean {
		const suspect = this.isClear(bytes) ? undefined : this.#suspects.get(digest);
		return suspect !== undefined && refute(suspect, suspect.ends.keys());
	}

	/** What was taken for an endpoint's end was none. Returns the contents that this clears of it. */
	refuteEnd(end: string): string[] {
		const cleared: string[] = [];
		for (const [digest, suspect] of this.#suspects) {
			if (suspect.ends.has(end) && refute(suspect, [end])) {
				cleared.push(digest);
			}
		}

		return cleared;
	}

	/** Takes over what another host tells; returns the ends that were news. */
	hear({content, bytes, ends, refuted}: CrashReport, now: number): string[] {
		const news: string[] = [];
		for (const {end, ageMs} of ends) {
			if (ageMs < forgetMs && this.noteEnd({digest: content, bytes}, end, now - ageMs)) {
				news.push(end);
			}
		}

		if (refuted.length > 0) {
			// Kept also where its end is not known yet: what hosts hear may come in any order
			refute(this.#suspectOf(content, bytes, now), refuted);
		}

		return news;
	}

	/** What may be done with a request of this content. */
	judge({digest, bytes}: ContentName, now: number): CrashVerdict {
		const suspect = this.isClear(bytes) ? undefined : this.#suspects.get(digest);
		return suspect === undefined ? free : this.#judge(suspect, now);
	}

	/** What is to be told of a content. */
	report(digest: string, now: number): CrashReport | undefined {
		const suspect = this.#suspects.get(digest);
		if (suspect === undefined) {
			return undefined;
		}

		const ends = [...suspect.ends].map(([end, at]) => ({end, ageMs: Math.max(0, now - at)}));
		return {
			content: digest, bytes: suspect.bytes, ends, refuted: [...suspect.refuted],
		};
	}

	/** Contents that are held back or on trial, the last that were noted first. */
	listHeld(now: number): string[] {
		const held: string[] = [];
		for (const [digest, suspect] of [...this.#suspects].toReversed()) {
			if (held.length < mostReported && this.#judge(suspect, now).kind !== 'free') {
				held.push(digest);
			}
		}

		return held;
	}

	/** Forgets what is old. */
	sweep(now: number): void {
		for (const [digest, {knownSince, ends}] of this.#suspects) {
			if (now - Math.max(knownSince, ...ends.values()) > forgetMs) {
				this.#drop(digest);
			}
		}
	}

	/** Contents that are remembered. */
	get size(): number {
		return this.#suspects.size;
	}

	#judge(suspect: Suspect, now: number): CrashVerdict {
		const counted = listCounted(suspect, this.#rule.sameMomentMs, now);
		const latest = counted.at(-1);
		if (latest === undefined || counted.length < this.#rule.leastEnds) {
			return free;
		}

		const holdMs = Math.min(longestHoldMs, firstHoldMs * (2 ** (counted.length - this.#rule.leastEnds)));
		const leftMs = latest + holdMs - now;
		return leftMs > 0 ? {kind: 'held', leftMs} : {kind: 'trial'};
	}

	#suspectOf(digest: string, bytes: number, now: number): Suspect {
		const known = this.#suspects.get(digest);
		if (known !== undefined) {
			return known;
		}

		if (this.#suspects.size >= mostContents) {
			this.#drop(this.#findLeast());
		}

		const suspect: Suspect = {
			bytes, knownSince: now, ends: new Map(), refuted: new Set(),
		};
		this.#suspects.set(digest, suspect);
		this.#lengths.set(bytes, (this.#lengths.get(bytes) ?? 0) + 1);
		return suspect;
	}

	/** The content that is missed least: the oldest with fewer ends than hold it back, else the oldest. */
	#findLeast(): string {
		for (const [digest, {ends, refuted}] of this.#suspects) {
			if (ends.size - refuted.size < this.#rule.leastEnds) {
				return digest;
			}
		}

		return this.#suspects.keys().next().value ?? '';
	}

	#drop(digest: string): void {
		const suspect = this.#suspects.get(digest);
		if (suspect === undefined) {
			return;
		}

		this.#suspects.delete(digest);
		const left = (this.#lengths.get(suspect.bytes) ?? 1) - 1;
		if (left === 0) {
			this.#lengths.delete(suspect.bytes);
		} else {
			this.#lengths.set(suspect.bytes, left);
		}
	}
}

/** Marks ends as refuted; returns whether any was news. Ends that are not known yet are marked too: their report may come later. */
function refute({refuted}: Suspect, ends: Iterable<string>): boolean {
	const before = refuted.size;
	for (const end of ends) {
		refuted.add(end);
	}

	const isNews = refuted.size > before;
	trim(refuted, mostRefutedKept);
	return isNews;
}

/** Drops the oldest beyond what is kept. */
function trim(kept: Map<string, number> | Set<string>, most: number): void {
	while (kept.size > most) {
		kept.delete(kept.keys().next().value ?? '');
	}
}

/** Instants of the ends that count, in order: not refuted, not old, and apart from each other. */
function listCounted({ends, refuted}: Suspect, apartMs: number, now: number): number[] {
	const counted: number[] = [];
	const standing = [...ends].filter(([end, at]) => !refuted.has(end) && now - at <= forgetMs).map(([, at]) => at);
	for (const at of standing.toSorted((left, right) => left - right)) {
		if (at - (counted.at(-1) ?? Number.NEGATIVE_INFINITY) > apartMs) {
			counted.push(at);
		}
	}

	return counted;
}
