/** All that one host suspects: contents of requests, and parts of prompts. Both are judged, reported and cleared alike. */
import {type CrashReport} from '@gatehead/schema/relay-message';
import {RecentMap} from '../utils/recent-map.js';
import {CrashSuspects, type ContentId, type CrashRestriction} from './crash-suspects.js';
import {PartSuspects} from './part-suspects.js';

/** Largest number of parts remembered as accused by this host. */
const maxAccusedParts = 512;

/** What identifies a request. Digests of parts are computed only if a part is suspected. */
export type SuspectRequest = {
	readonly content: ContentId;
	readonly listParts: () => readonly string[];
};

/** A content or part that keeps a request from running freely. */
export type Suspicion = {
	readonly digest: string;
	readonly suspect: CrashReport['suspect'];
	readonly restriction: CrashRestriction;
};

/** What a host learned from the report of another one. */
export type ReportOutcome = {
	/** Crashes that were new. */
	readonly added: readonly string[];
	/** Whether this host has evidence to the contrary, which the sender needs. */
	readonly isContradicted: boolean;
	/** Whether the report clears a part that this host has accused; the other hosts need it, too. */
	readonly isClearing: boolean;
};

export class SuspectBook {
	readonly #contents = new CrashSuspects();
	readonly #parts = new PartSuspects();
	/** Parts that this host has accused itself; only it gets what clears them. */
	readonly #accusedParts = new RecentMap<string, true>(maxAccusedParts);

	/** Restrictions that apply to a request. */
	judge({content, listParts}: SuspectRequest, now: number): Suspicion[] {
		const parts = this.#parts.size === 0 ? [] : this.#parts.judge(listParts(), now);
		const found: Suspicion[] = parts.map(part => ({...part, suspect: 'part'}));
		const restriction = this.#contents.judge(content, now);
		if (restriction.kind !== 'free') {
			found.push({digest: content.digest, suspect: 'content', restriction});
		}

		return found;
	}

	/** Whether a crash counts against a request. */
	isSuspect({content, listParts}: SuspectRequest, now: number): boolean {
		return this.#contents.isSuspect(content, now) || (this.#parts.size > 0 && this.#parts.isSuspect(listParts(), now));
	}

	/** Records a crash under a content; returns whether it was new. */
	recordCrash(content: ContentId, crash: string, at: number): boolean {
		return this.#contents.recordCrash(content, crash, at);
	}

	/** Records a crash under requests with parts; returns the parts that it newly accuses. */
	accuseParts(parts: readonly string[], crash: string, at: number): string[] {
		const accused = this.#parts.recordCrash(parts, crash, at);
		for (const digest of accused) {
			this.#accusedParts.set(digest, true);
		}

		return accused;
	}

	/** Refutes a crash; returns the contents and parts for which that was new. */
	refuteCrash(crash: string): string[] {
		return [...this.#contents.refuteCrash(crash), ...this.#parts.refuteCrash(crash)];
	}

	/** Records a successful request; returns whether that cleared its content. */
	recordSuccess(content: ContentId): boolean {
		return this.#contents.recordSuccess(content);
	}

	/** Records a run that survived its beginning; returns the parts that it clears. */
	recordSurvival(parts: readonly string[], now: number): string[] {
		return this.#parts.recordSurvival(parts, now);
	}

	/** Merges another host's report. */
	merge(report: CrashReport, now: number): ReportOutcome {
		if (report.suspect === 'content') {
			return {added: this.#contents.merge(report, now), isContradicted: false, isClearing: false};
		}

		const parts = [report.content];
		const wasSuspect = this.#parts.isSuspect(parts, now);
		const merged = this.#parts.merge(report, now);
		const isClearing = wasSuspect && this.#accusedParts.has(report.content) && !this.#parts.isSuspect(parts, now);
		if (isClearing) {
			this.#accusedParts.delete(report.content);
		}

		return {...merged, isClearing};
	}

	/** Reports on contents and parts; those that are not suspected have none. */
	createReports(digests: readonly string[], now: number): CrashReport[] {
		return digests.map(digest => this.#contents.report(digest, now) ?? this.#parts.report(digest, now)).filter(report => report !== undefined);
	}

	/** Reports on all that is held or on trial. */
	listHeld(now: number): CrashReport[] {
		return this.createReports([...this.#contents.listHeld(now), ...this.#parts.listHeld(now)], now);
	}

	/** Removes what has expired. */
	sweep(now: number): void {
		this.#contents.sweep(now);
		this.#parts.sweep(now);
	}
}
