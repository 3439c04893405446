/**
 * Holds requests back whose content has ended endpoints, at this host and at
 * all others. Safety of the bound on such ends: every send asks here right
 * before its first byte leaves. Efficiency: what is told of innocent requests
 * is refuted by the first sign of life of their endpoint, or of their own.
 */
import {CrashSuspects, type ContentId} from '@gatehead/policy/relay/crash-suspects';
import {type Timer} from '@gatehead/policy/utils/clock';
import {type CrashReport} from '@gatehead/schema/relay-message';
import {type Endpoint} from '@gatehead/schema/routing';
import {type RelayContext} from '../core/context.js';
import {isOff} from '../core/experiment.js';
import {type Job} from '../work/job.js';
import {CrashNews} from './crash-news.js';
import {SilentSends} from './silent-sends.js';
import {Trials, trialMs} from './trials.js';

/** Time for which an answer must have been coming for its request to say nothing about its endpoint's end, in milliseconds: who ends an endpoint does so as it begins to run. Of streams of 3.5 s, one in seven is younger. */
const provenMs = 300;
/** Bytes that are read this soon behind a loss may have come before it, in milliseconds: longer than a busy host leaves them unread. */
const onTheWayMs = 250;
/** A send that began later than this behind a loss may be answered by the endpoint's next start under the same id, in milliseconds: starts take seconds. */
const restartMs = 1000;
/** How long ends are looked at for signs of life, in milliseconds: longer than any stream at hand. */
const watchMs = 15_000;
/** Interval at which what is old is forgotten, in milliseconds. */
const sweepMs = 60_000;

/** A send that was lost. */
export type LostRun = {
	readonly job: Job;
	readonly step: string;
	readonly endpoint: Endpoint;
	/** Sends of this host in work at the endpoint, this one among them. */
	readonly inWork: number;
	readonly sentAt: number;
	/** When the first part of the answer came; undefined: none came. */
	readonly answeredAt: number | undefined;
	/** Its connection was cut; otherwise nothing came until it was given up. */
	readonly isCut: boolean;
	readonly reason: string;
};

/** What the guard works with. */
export type CrashGuardParts = {
	readonly context: Pick<RelayContext, 'clock' | 'log' | 'metrics' | 'settings'>;
	/** Whether an endpoint that has just cut a connection has ended. */
	readonly hasEnded: (endpoint: Endpoint) => Promise<boolean>;
	/** Tells all other hosts. */
	readonly tell: (reports: readonly CrashReport[]) => void;
	/** Whether this host is the one that lets a content in on trial. */
	readonly isTrialHost: (content: string) => boolean;
};

/** Names an endpoint's end. A platform that does not tell its starts apart may give the next one the same id; its entry is made anew. */
function nameEnd({id, listedSince}: Endpoint): string {
	return listedSince === undefined ? id : `${id}#${listedSince}`;
}

/** One host's guard. */
export class CrashGuard {
	readonly #parts: CrashGuardParts;
	readonly #suspects = new CrashSuspects();
	/** Starts of endpoints that seem to have ended, and when: a sign of life refutes that. */
	readonly #ended = new Map<string, number>();
	readonly #silent = new SilentSends();
	/** Looks at endpoints under way, by the content whose send was cut there. */
	readonly #checks = new Map<string, Promise<void>>();
	readonly #news: CrashNews;
	readonly #trials: Trials;
	/** Contents held back, as last written down. */
	readonly #held = new Set<string>();
	#sweepTimer: Timer | undefined;

	constructor(parts: CrashGuardParts) {
		const {context: {clock}, tell, isTrialHost} = parts;
		this.#parts = parts;
		this.#news = new CrashNews({clock, tell, report: digests => this.#report(digests)});
		this.#trials = new Trials(clock, isTrialHost);
	}

	/** Starts to forget what is old. */
	start(): void {
		const {clock} = this.#parts.context;
		this.#sweepTimer = clock.after(sweepMs, () => {
			this.#suspects.sweep(clock.now());
			this.#forgetEnded(clock.now());
			this.#trials.sweep();
			this.#noteHeld();
			this.start();
		});
	}

	/** Tells nothing more. */
	close(): void {
		this.#news.close();
		this.#sweepTimer?.stop();
	}

	/** How long a request is held back, in milliseconds; undefined: it is not. */
	holdMs(content: ContentId): number | undefined {
		if (this.#suspects.isClear(content.bytes) || isOff(this.#parts.context, 'crashGuard')) {
			return undefined;
		}

		const verdict = this.#suspects.judge(content, this.#parts.context.clock.now());
		if (verdict.kind !== 'trial') {
			return verdict.kind === 'held' ? verdict.leftMs : undefined;
		}

		return this.#trials.mayBegin(content.digest) ? undefined : trialMs;
	}

	/** Whether a request may be sent now; what was refused once stays so. */
	mayRun(job: Job): boolean {
		const {content} = job;
		if (job.isContentHeld) {
			return false;
		}

		if (this.#suspects.isClear(content.bytes) || isOff(this.#parts.context, 'crashGuard')) {
			return true;
		}

		const {kind} = this.#suspects.judge(content, this.#parts.context.clock.now());
		job.isProbe ||= kind === 'trial' && this.#trials.begin(content.digest);
		job.isContentHeld = kind === 'held' || (kind === 'trial' && !job.isProbe);
		return !job.isContentHeld;
	}

	/** Whether a request that was just cut off may be sent elsewhere. One whose content is suspected waits until it is known whether this endpoint ended too, which saves the next one. */
	async mayRunAgain(job: Job): Promise<boolean> {
		const {content} = job;
		if (this.#suspects.isSuspect(content, this.#parts.context.clock.now())) {
			await this.#checks.get(content.digest);
		}

		return this.mayRun(job);
	}

	/** Notes a loss; the endpoint may have ended. */
	noteLoss({job, step, endpoint, inWork, sentAt, answeredAt, isCut, reason}: LostRun): void {
		const {clock, log, metrics} = this.#parts.context;
		const now = clock.now();
		const content: ContentId = {digest: job.content.digest, bytes: job.content.bytes};
		if (isCut) {
			metrics.add('runsLost', {step, answer: answeredAt === undefined ? 'none' : 'begun'});
			log('runLost', {
				request: job.id, content: content.digest, bytes: content.bytes, route: job.route.name, step, endpoint: endpoint.id, inWork, reason, sentMs: Math.round(now - sentAt), answeredMs: answeredAt === undefined ? undefined : Math.round(now - answeredAt),
			});
		}

		if (answeredAt !== undefined && now - answeredAt >= provenMs) {
			return;
		}

		const end = nameEnd(endpoint);
		if (this.#silent.isGone(end) || this.#ended.has(end)) {
			this.#noteEnd(content, end, now);
			return;
		}

		if (isCut) {
			this.#checks.set(content.digest, this.#confirm(content, endpoint, now));
			return;
		}

		this.#silent.note({content, end, at: now});
	}

	/** The directory says that an endpoint is gone, or has started again. */
	noteGone(endpoint: Endpoint): void {
		if (endpoint.state !== 'ready') {
			// It had said that it would leave, and served to the end
			return;
		}

		for (const {content, end, at} of this.#silent.noteGone(nameEnd(endpoint), this.#parts.context.clock.now())) {
			this.#noteEnd(content, end, at);
		}
	}

	/** An endpoint sends bytes of an answer to what was sent at `sentAt`: then it has not ended before. */
	noteLife(endpoint: Endpoint, sentAt: number): void {
		if (this.#ended.size === 0) {
			return;
		}

		const end = nameEnd(endpoint);
		const endedAt = this.#ended.get(end);
		if (endedAt === undefined || this.#parts.context.clock.now() - endedAt < onTheWayMs || sentAt - endedAt > restartMs) {
			return;
		}

		this.#ended.delete(end);
		for (const digest of this.#suspects.refuteCrash(end)) {
			this.#news.add(digest);
		}

		this.#noteHeld();
	}

	/** A request has run to a good end: its content ends nothing. */
	noteGood({content, isProbe}: Job): void {
		if (this.#suspects.recordSuccess(content)) {
			this.#news.add(content.digest);
			this.#noteHeld();
		}

		if (isProbe) {
			this.#trials.end(content.digest);
		}
	}

	/** Takes over what another host tells. */
	hear(reports: readonly CrashReport[]): void {
		const {clock, metrics} = this.#parts.context;
		const now = clock.now();
		for (const report of reports) {
			for (const end of this.#suspects.merge(report, now)) {
				metrics.add('crashEnds', {source: 'peer'});
				this.#noteEnded(end, now - (report.ends.find(each => each.end === end)?.ageMs ?? 0));
			}
		}

		if (reports.length > 0) {
			this.#noteHeld();
		}
	}

	/** What every heartbeat says, so that a host that missed it, or is new, hears of it. */
	listHeld(): CrashReport[] {
		return this.#suspects.size === 0 ? [] : this.#report(this.#suspects.listHeld(this.#parts.context.clock.now()));
	}

	async #confirm(content: ContentId, endpoint: Endpoint, at: number): Promise<void> {
		const hasEnded = await this.#parts.hasEnded(endpoint);
		this.#checks.delete(content.digest);
		if (hasEnded) {
			this.#noteEnd(content, nameEnd(endpoint), at);
		}
	}

	#noteEnd(content: ContentId, end: string, at: number): void {
		this.#noteEnded(end, at);
		if (this.#suspects.recordCrash(content, end, at)) {
			this.#parts.context.metrics.add('crashEnds', {source: 'own'});
			this.#news.add(content.digest);
			this.#noteHeld();
		}
	}

	#noteEnded(end: string, at: number): void {
		if (!this.#ended.has(end)) {
			this.#ended.set(end, at);
		}

		this.#forgetEnded(this.#parts.context.clock.now());
	}

	/** In the order of their noting, so the old ones stand in front. */
	#forgetEnded(now: number): void {
		for (const [end, at] of this.#ended) {
			if (now - at < watchMs) {
				return;
			}

			this.#ended.delete(end);
		}
	}

	#report(digests: readonly string[]): CrashReport[] {
		const now = this.#parts.context.clock.now();
		return digests.map(digest => this.#suspects.report(digest, now)).filter(report => report !== undefined);
	}

	/** Writes down which contents are held back from now on, and which no longer. */
	#noteHeld(): void {
		const {clock, log, metrics} = this.#parts.context;
		const held = this.#suspects.listHeld(clock.now());
		for (const report of this.#report(held.filter(digest => !this.#held.has(digest)))) {
			this.#held.add(report.content);
			const {refuted, ends} = report;
			const standing = ends.filter(({end}) => !refuted.includes(end));
			log('contentHeldSince', {content: report.content, bytes: report.bytes, ends: standing.map(({end, ageMs}) => `${end} ${Math.round(ageMs)} ms ago`).join(', ')});
		}

		for (const digest of this.#held) {
			if (!held.includes(digest)) {
				this.#held.delete(digest);
				log('contentCleared', {content: digest});
			}
		}

		metrics.set('heldContents', this.#held.size);
	}
}
