/**
 * Detects request bodies ("contents") that crash endpoints, and holds them.
 * A crash interrupts many requests; the one at fault was running in each crash
 * and never succeeds. Like a delivery count with a limit (KIP-932), but no host
 * sees all deliveries, so each keeps the set of crashes and the set of refuted
 * ones. Both sets merge in any order, and reports may be repeated. Safety:
 * bounds the number of endpoints that one content can crash.
 */
import {type CrashReport} from '@gatehead/schema/relay-message';

/** How crashes are counted. Only tests replace the default. */
export type CrashRule = {
	/** What is suspected, for reports; absent: contents. */
	readonly suspect?: CrashReport['suspect'];
	/** Number of crashes from which a content is on trial, and for how long after the last of them, in milliseconds; absent: it is not before it is held. */
	readonly trialThreshold?: number;
	readonly trialMs?: number;
	/** Number of crashes from which a content is held. */
	readonly crashThreshold: number;
	/** Crashes within this time of each other count as one, in milliseconds. */
	readonly coincidenceMs: number;
};

/** Number of crashes from which a content is held. At 1, most bystanders of a crash would be held; each further crash costs an endpoint for seconds, with the streams on it. */
const crashThreshold = 2;
/** Crashes within this time of each other count as one, in milliseconds. The loss of a rack or hall interrupts several runs of a frequent content. */
const coincidenceMs = 200;
/** Length of the first hold, in milliseconds; it doubles with each further crash. Short, since the content may be a bystander. */
const minHoldMs = 60_000;
/** Longest hold, in milliseconds. */
const maxHoldMs = 900_000;
/** How long a crash is remembered, in milliseconds: longer than the longest hold, so that it does not expire during one. */
const retentionMs = 1_800_000;
/** Largest number of contents kept; about half a megabyte. */
const maxContents = 512;
/** Crashes kept per content: more than it takes to reach the longest hold. */
const maxCrashes = 8;
/** Refuted crashes kept per content: more than crashes, since a refutation may arrive before its crash. */
const maxRefuted = 32;
/** Largest number of contents in one report. */
export const maxReported = 32;

/** Identifies a content. Comparing the length first avoids the digest for most requests. */
export type ContentId = {
	readonly digest: string;
	readonly bytes: number;
};

/** Whether a request may run. `trial`: before a hold or after it has expired, one run may show whether the content crashes endpoints. */
export type CrashVerdict
	= | {readonly kind: 'free'}
		| {readonly kind: 'trial'}
		| {readonly kind: 'held'; readonly leftMs: number};

/** What keeps a request from running freely. */
export type CrashRestriction = Exclude<CrashVerdict, {kind: 'free'}>;

const defaultRule: CrashRule = {crashThreshold, coincidenceMs};

type Suspect = {
	readonly bytes: number;
	readonly knownSince: number;
	/** When each endpoint process crashed, in milliseconds of this host's clock. */
	readonly ends: Map<string, number>;
	readonly refuted: Set<string>;
};

const free: CrashVerdict = {kind: 'free'};

/** The contents that one host suspects. */
export class CrashSuspects {
	readonly #suspects = new Map<string, Suspect>();
	/** Number of contents by body length. */
	readonly #lengths = new Map<number, number>();
	readonly #rule: CrashRule;

	constructor(rule: CrashRule = defaultRule) {
		this.#rule = rule;
	}

	/** Whether no suspected content has this length, in bytes. */
	isClear(bytes: number): boolean {
		return !this.#lengths.has(bytes);
	}

	/** Whether a content has at least one crash that counts. */
	isSuspect(content: ContentId, now: number): boolean {
		const suspect = this.#find(content);
		return suspect !== undefined && listCountedTimes(suspect, this.#rule.coincidenceMs, now).length > 0;
	}

	/** Records that an endpoint crashed while it ran a content; returns whether the crash was new. */
	recordCrash({digest, bytes}: ContentId, crash: string, at: number): boolean {
		const suspect = this.#getOrAdd(digest, bytes, at);
		const known = suspect.ends.get(crash);
		if (known !== undefined) {
			// A delayed report makes a crash look later than it was
			suspect.ends.set(crash, Math.min(known, at));
			return false;
		}

		suspect.ends.set(crash, at);
		trim(suspect.ends, maxCrashes);
		return true;
	}

	/** Records that a run of a content succeeded, which refutes all its known crashes. Returns whether any of them was not refuted before. */
	recordSuccess(content: ContentId): boolean {
		const suspect = this.#find(content);
		return suspect !== undefined && refute(suspect, suspect.ends.keys());
	}

	/** Refutes a crash for all contents, as when the endpoint turns out to be alive. Returns the contents for which that was new. */
	refuteCrash(crash: string): string[] {
		const cleared: string[] = [];
		for (const [digest, suspect] of this.#suspects) {
			if (suspect.ends.has(crash) && refute(suspect, [crash])) {
				cleared.push(digest);
			}
		}

		return cleared;
	}

	/** Merges another host's report; returns the crashes that were new. */
	merge({content, bytes, ends, refuted}: CrashReport, now: number): string[] {
		const added: string[] = [];
		for (const {end, ageMs} of ends) {
			if (ageMs < retentionMs && this.recordCrash({digest: content, bytes}, end, now - ageMs)) {
				added.push(end);
			}
		}

		if (refuted.length > 0) {
			// Kept even if the crash is not known yet, since reports may arrive in any order
			refute(this.#getOrAdd(content, bytes, now), refuted);
		}

		return added;
	}

	/** Whether a request with this content may run. */
	judge(content: ContentId, now: number): CrashVerdict {
		const suspect = this.#find(content);
		return suspect === undefined ? free : this.#judge(suspect, now);
	}

	/** Report on a content for the other hosts; undefined if it is not suspected. */
	report(digest: string, now: number): CrashReport | undefined {
		const suspect = this.#suspects.get(digest);
		if (suspect === undefined) {
			return undefined;
		}

		const ends = [...suspect.ends].map(([end, at]) => ({end, ageMs: Math.max(0, now - at)}));
		return {
			suspect: this.#rule.suspect ?? 'content', content: digest, bytes: suspect.bytes, ends, refuted: [...suspect.refuted],
		};
	}

	/** Lists contents that are held or on trial, the most recent first. */
	listHeld(now: number): string[] {
		const held: string[] = [];
		for (const [digest, suspect] of [...this.#suspects].toReversed()) {
			if (held.length < maxReported && this.#judge(suspect, now).kind !== 'free') {
				held.push(digest);
			}
		}

		return held;
	}

	/** Removes contents whose crashes have all expired. */
	sweep(now: number): void {
		for (const [digest, {knownSince, ends}] of this.#suspects) {
			if (now - Math.max(knownSince, ...ends.values()) > retentionMs) {
				this.#remove(digest);
			}
		}
	}

	get size(): number {
		return this.#suspects.size;
	}

	/** Reads the digest only if a content of that length is suspected, as it may be computed then. */
	#find(content: ContentId): Suspect | undefined {
		return this.isClear(content.bytes) ? undefined : this.#suspects.get(content.digest);
	}

	#judge(suspect: Suspect, now: number): CrashVerdict {
		const counted = listCountedTimes(suspect, this.#rule.coincidenceMs, now);
		const latest = counted.at(-1);
		if (latest === undefined || counted.length < (this.#rule.trialThreshold ?? this.#rule.crashThreshold)) {
			return free;
		}

		if (counted.length < this.#rule.crashThreshold) {
			return now - latest < (this.#rule.trialMs ?? 0) ? {kind: 'trial'} : free;
		}

		const holdMs = Math.min(maxHoldMs, minHoldMs * (2 ** (counted.length - this.#rule.crashThreshold)));
		const leftMs = latest + holdMs - now;
		return leftMs > 0 ? {kind: 'held', leftMs} : {kind: 'trial'};
	}

	#getOrAdd(digest: string, bytes: number, now: number): Suspect {
		const known = this.#suspects.get(digest);
		if (known !== undefined) {
			return known;
		}

		if (this.#suspects.size >= maxContents) {
			this.#remove(this.#findEvictable());
		}

		const suspect: Suspect = {
			bytes, knownSince: now, ends: new Map(), refuted: new Set(),
		};
		this.#suspects.set(digest, suspect);
		this.#lengths.set(bytes, (this.#lengths.get(bytes) ?? 0) + 1);
		return suspect;
	}

	/** Content to evict: the oldest with too few crashes to be held, else the oldest. */
	#findEvictable(): string {
		for (const [digest, {ends, refuted}] of this.#suspects) {
			if (ends.size - refuted.size < this.#rule.crashThreshold) {
				return digest;
			}
		}

		return this.#suspects.keys().next().value ?? '';
	}

	#remove(digest: string): void {
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

/** Marks crashes as refuted; returns whether any was not before. Crashes that are not known yet are marked too. */
function refute({refuted}: Suspect, ends: Iterable<string>): boolean {
	const before = refuted.size;
	for (const end of ends) {
		refuted.add(end);
	}

	const isNew = refuted.size > before;
	trim(refuted, maxRefuted);
	return isNew;
}

/** Removes the oldest entries beyond `most`. */
function trim(kept: Map<string, number> | Set<string>, most: number): void {
	while (kept.size > most) {
		kept.delete(kept.keys().next().value ?? '');
	}
}

/** Times of the crashes that count, in order: not refuted, not expired, and more than `apartMs` after the previous one. */
function listCountedTimes({ends, refuted}: Suspect, apartMs: number, now: number): number[] {
	const counted: number[] = [];
	const standing = [...ends].filter(([end, at]) => !refuted.has(end) && now - at <= retentionMs).map(([, at]) => at);
	for (const at of standing.toSorted((left, right) => left - right)) {
		if (at - (counted.at(-1) ?? Number.NEGATIVE_INFINITY) > apartMs) {
			counted.push(at);
		}
	}

	return counted;
}
