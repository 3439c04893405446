/**
 * Detects parts of prompts that crash each endpoint that begins to run them. A
 * crash accuses all shared parts of the requests that had just begun there. A
 * run that survives its beginning clears all of its parts, as a part at fault
 * never survives one: the parts that sound requests share are cleared again
 * and again, and the part at fault is left. Safety: bounds the endpoints that
 * one part can crash.
 */
import {type CrashReport} from '@gatehead/schema/relay-message';
import {RecentMap} from '../utils/recent-map.js';
import {CrashSuspects, type CrashRestriction, type CrashRule} from './crash-suspects.js';

/** After one crash without a run that survived, requests with the part run one at a time; after three, none. A part that crashes endpoints does so again within seconds. Crashes at one instant are those of a rack or hall. */
const partRule: CrashRule = {
	suspect: 'part', trialThreshold: 1, trialMs: 10_000, crashThreshold: 3, coincidenceMs: 50,
};
/** Time after a run that survived in which its parts are not accused, in milliseconds: several crashes of endpoints may come before the next such run. */
const trustMs = 10_000;
/** Largest number of parts whose last surviving run is kept: a few for each route and caller. */
const maxSurvivals = 4096;

/** What a host learned from the report of another one. */
export type MergedReport = {
	/** Crashes that were new. */
	readonly added: readonly string[];
	/** Whether this host has recorded a surviving run that the other has not. */
	readonly isContradicted: boolean;
};

/** A part that keeps requests from running freely. */
export type RestrictedPart = {
	readonly digest: string;
	readonly restriction: CrashRestriction;
};

/** The parts that one host suspects, by digest. */
export class PartSuspects {
	readonly #suspects: CrashSuspects;
	/** Times of the last surviving runs. */
	readonly #survivals = new RecentMap<string, number>(maxSurvivals);

	constructor(rule: CrashRule = partRule) {
		this.#suspects = new CrashSuspects(rule);
	}

	get size(): number {
		return this.#suspects.size;
	}

	/** Records a crash under a request that had just begun; returns the parts that it newly accuses. */
	recordCrash(parts: readonly string[], crash: string, at: number): string[] {
		return parts.filter(digest => !this.#isTrusted(digest, at) && this.#suspects.recordCrash(toContent(digest), crash, at));
	}

	/** Records that a run survived its beginning; returns the parts whose crashes it newly refutes. */
	recordSurvival(parts: readonly string[], at: number): string[] {
		for (const digest of parts) {
			this.#survivals.set(digest, at);
		}

		return this.#suspects.size === 0 ? [] : parts.filter(digest => this.#suspects.recordSuccess(toContent(digest)));
	}

	/** Refutes a crash for all parts; returns those for which that was new. */
	refuteCrash(crash: string): string[] {
		return this.#suspects.refuteCrash(crash);
	}

	/** Merges another host's report. */
	merge(report: CrashReport, now: number): MergedReport {
		const added = this.#suspects.merge(report, now);
		const isAccused = report.ends.some(({end, ageMs}) => !report.refuted.includes(end) && this.#isTrusted(report.content, now - ageMs));
		if (isAccused) {
			this.#suspects.recordSuccess(toContent(report.content));
		}

		return {added, isContradicted: isAccused};
	}

	/** The parts of a request that keep it from running freely. */
	judge(parts: readonly string[], now: number): RestrictedPart[] {
		const found: RestrictedPart[] = [];
		for (const digest of parts) {
			const restriction = this.#suspects.judge(toContent(digest), now);
			if (restriction.kind !== 'free') {
				found.push({digest, restriction});
			}
		}

		return found;
	}

	/** Whether any of the parts has a crash that counts. */
	isSuspect(parts: readonly string[], now: number): boolean {
		return parts.some(digest => this.#suspects.isSuspect(toContent(digest), now));
	}

	/** Report on a part for the other hosts; undefined if it is not suspected. */
	report(digest: string, now: number): CrashReport | undefined {
		return this.#suspects.report(digest, now);
	}

	/** Lists parts that are held or on trial, the most recent first. */
	listHeld(now: number): string[] {
		return this.#suspects.listHeld(now);
	}

	/** Removes parts whose crashes have all expired. */
	sweep(now: number): void {
		this.#suspects.sweep(now);
	}

	/** Whether a run with the part survived shortly before a time, or since. */
	#isTrusted(digest: string, at: number): boolean {
		return at - (this.#survivals.get(digest) ?? Number.NEGATIVE_INFINITY) < trustMs;
	}
}

/** Parts have no length that would tell them apart. */
function toContent(digest: string) {
	return {digest, bytes: 0};
}
