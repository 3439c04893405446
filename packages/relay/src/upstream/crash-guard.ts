/**
 * Holds back requests whose content has crashed endpoints, as seen by this
 * host or reported by others. Safety: the bound on the endpoints that one
 * content crashes rests on `maySend`, which every send calls right before its
 * first byte. A false suspicion is refuted when the endpoint sends data, or
 * when a request with the content succeeds.
 */
import {CrashSuspects, type ContentId} from '@gatehead/policy/relay/crash-suspects';
import {type Timer} from '@gatehead/policy/utils/clock';
import {type CrashReport} from '@gatehead/schema/relay-message';
import {type Endpoint} from '@gatehead/schema/routing';
import {type RelayContext} from '../core/context.js';
import {isOff} from '../core/experiment.js';
import {type Job} from '../work/job.js';
import {CrashReportBatcher} from './crash-report-batcher.js';
import {AbandonedSends} from './abandoned-sends.js';
import {Trials, trialTimeoutMs} from './trials.js';

/** A request whose response had been arriving for this long before its loss is not suspected, in milliseconds: harmful content crashes an endpoint as it starts to run. */
const crashWindowMs = 300;
/** Data read within this time after a crash may have been received before it, in milliseconds: longer than a busy host leaves data unread. */
const bufferedDataMs = 250;
/** A send that starts later than this after a crash may be answered by the restarted endpoint under the same id, in milliseconds: restarts take seconds. */
const restartMs = 1000;
/** Time for which later data can refute a crash, in milliseconds: longer than any stream. */
const refutableMs = 15_000;
/** Length of a part's digest in a log line, in characters: enough to tell parts apart. */
const loggedDigestLength = 12;
/** Interval at which expired state is removed, in milliseconds. */
const cleanupIntervalMs = 60_000;

/** A send without a complete response. */
export type LostSend = {
	readonly job: Job;
	readonly step: string;
	readonly endpoint: Endpoint;
	/** Sends of this host in flight at the endpoint, including this one. */
	readonly inFlight: number;
	readonly sentAt: number;
	/** When the first data of the response arrived; undefined: none did. */
	readonly answeredAt: number | undefined;
	/** Whether the connection was lost; otherwise the relay gave the send up. */
	readonly isConnectionLost: boolean;
	readonly reason: string;
};

export type CrashGuardOptions = {
	readonly context: Pick<RelayContext, 'clock' | 'log' | 'metrics' | 'settings'>;
	/** Whether an endpoint that just closed a connection has crashed. */
	readonly hasCrashed: (endpoint: Endpoint) => Promise<boolean>;
	/** Sends reports to all other hosts. */
	readonly broadcast: (reports: readonly CrashReport[]) => void;
	/** Whether this host runs the trials of a content. */
	readonly isTrialHost: (content: string) => boolean;
};

/** Identifies one start of an endpoint. Where a platform reuses the id for the next start, the new directory entry's time tells them apart. */
function startIdOf({id, listedSince}: Endpoint): string {
	return listedSince === undefined ? id : `${id}#${listedSince}`;
}

/** Crash guard of one host. */
export class CrashGuard {
	readonly #options: CrashGuardOptions;
	readonly #suspects = new CrashSuspects();
	/** When starts of endpoints seem to have crashed, by start id, while later data can refute it. */
	readonly #crashedStarts = new Map<string, number>();
	readonly #abandonedSends = new AbandonedSends();
	/** Crash checks in progress, by the digest of the content whose send was lost. */
	readonly #pendingChecks = new Map<string, Promise<void>>();
	readonly #batcher: CrashReportBatcher;
	readonly #trials: Trials;
	/** Contents last logged as held back. */
	readonly #loggedHolds = new Set<string>();
	#cleanupTimer: Timer | undefined;

	constructor(options: CrashGuardOptions) {
		const {context: {clock}, broadcast, isTrialHost} = options;
		this.#options = options;
		this.#batcher = new CrashReportBatcher({clock, broadcast, createReports: digests => this.#createReports(digests)});
		this.#trials = new Trials(clock, isTrialHost);
	}

	/** Starts the periodic removal of expired state. */
	start(): void {
		const {clock} = this.#options.context;
		this.#cleanupTimer = clock.after(cleanupIntervalMs, () => {
			this.#suspects.sweep(clock.now());
			this.#expireCrashedStarts(clock.now());
			this.#trials.sweep();
			this.#logHoldChanges();
			this.start();
		});
	}

	/** Stops the periodic removal and sends no more reports. */
	close(): void {
		this.#batcher.close();
		this.#cleanupTimer?.stop();
	}

	/** How long a request is still held back, in milliseconds; undefined: it is not held back. */
	holdMs(content: ContentId): number | undefined {
		if (this.#suspects.isClear(content.bytes) || isOff(this.#options.context, 'crashGuard')) {
			return undefined;
		}

		const verdict = this.#suspects.judge(content, this.#options.context.clock.now());
		if (verdict.kind !== 'trial') {
			return verdict.kind === 'held' ? verdict.leftMs : undefined;
		}

		return this.#trials.mayBegin(content.digest) ? undefined : trialTimeoutMs;
	}

	/** Whether a request may be sent now; a job that was refused once stays refused. */
	maySend(job: Job): boolean {
		const {content} = job;
		if (job.isContentHeld) {
			return false;
		}

		if (this.#suspects.isClear(content.bytes) || isOff(this.#options.context, 'crashGuard')) {
			return true;
		}

		const {kind} = this.#suspects.judge(content, this.#options.context.clock.now());
		job.isProbe ||= kind === 'trial' && this.#trials.begin(content.digest);
		job.isContentHeld = kind === 'held' || (kind === 'trial' && !job.isProbe);
		return !job.isContentHeld;
	}

	/** Whether a request whose connection was just lost may be sent to another endpoint. For a suspected content this waits for the pending crash check, so that a crash found by it prevents the retry. */
	async mayRetry(job: Job): Promise<boolean> {
		const {content} = job;
		if (this.#suspects.isSuspect(content, this.#options.context.clock.now())) {
			await this.#pendingChecks.get(content.digest);
		}

		return this.maySend(job);
	}

	/** Records a lost send, and a crash of its endpoint if there was one. */
	recordLoss({job, step, endpoint, inFlight, sentAt, answeredAt, isConnectionLost, reason}: LostSend): void {
		const {clock, log, metrics} = this.#options.context;
		const now = clock.now();
		const content: ContentId = {digest: job.content.digest, bytes: job.content.bytes};
		if (isConnectionLost) {
			metrics.add('runsLost', {step, answer: answeredAt === undefined ? 'none' : 'begun'});
			log('runLost', {
				request: job.id, content: content.digest, parts: job.content.listPartDigests(job.service.name).map(digest => digest.slice(0, loggedDigestLength)).join(' '), bytes: content.bytes, route: job.route.name, step, endpoint: endpoint.id, inWork: inFlight, reason, sentMs: Math.round(now - sentAt), answeredMs: answeredAt === undefined ? undefined : Math.round(now - answeredAt),
			});
		}

		if (answeredAt !== undefined && now - answeredAt >= crashWindowMs) {
			return;
		}

		const startId = startIdOf(endpoint);
		if (this.#abandonedSends.isGone(startId) || this.#crashedStarts.has(startId)) {
			this.#recordCrash(content, startId, now);
			return;
		}

		if (isConnectionLost) {
			this.#pendingChecks.set(content.digest, this.#checkCrash(content, endpoint, now));
			return;
		}

		this.#abandonedSends.add({content, startId, at: now});
	}

	/** Handles the directory's notice that an endpoint is gone or has restarted. */
	handleGone(endpoint: Endpoint): void {
		if (endpoint.state !== 'ready') {
			// It drained as announced, so abandoned sends are no evidence of a crash
			return;
		}

		for (const {content, startId, at} of this.#abandonedSends.markGone(startIdOf(endpoint), this.#options.context.clock.now())) {
			this.#recordCrash(content, startId, at);
		}
	}

	/** Records response data of a send that started at `sentAt`; refutes an earlier crash of the endpoint. */
	recordData(endpoint: Endpoint, sentAt: number): void {
		if (this.#crashedStarts.size === 0) {
			return;
		}

		const startId = startIdOf(endpoint);
		const crashedAt = this.#crashedStarts.get(startId);
		if (crashedAt === undefined || this.#options.context.clock.now() - crashedAt < bufferedDataMs || sentAt - crashedAt > restartMs) {
			return;
		}

		this.#crashedStarts.delete(startId);
		for (const digest of this.#suspects.refuteCrash(startId)) {
			this.#batcher.add(digest);
		}

		this.#logHoldChanges();
	}

	/** Records a successful request, which clears its content. */
	recordSuccess({content, isProbe}: Job): void {
		if (this.#suspects.recordSuccess(content)) {
			this.#batcher.add(content.digest);
			this.#logHoldChanges();
		}

		if (isProbe) {
			this.#trials.end(content.digest);
		}
	}

	/** Merges crash reports from another host. */
	mergeReports(reports: readonly CrashReport[]): void {
		const {clock, metrics} = this.#options.context;
		const now = clock.now();
		for (const report of reports) {
			for (const startId of this.#suspects.merge(report, now)) {
				metrics.add('crashEnds', {source: 'peer'});
				this.#recordCrashedStart(startId, now - (report.ends.find(each => each.end === startId)?.ageMs ?? 0));
			}
		}

		if (reports.length > 0) {
			this.#logHoldChanges();
		}
	}

	/** Reports of all held contents, for heartbeats: hosts that missed the first report, or are new, learn of them. */
	listHeld(): CrashReport[] {
		return this.#suspects.size === 0 ? [] : this.#createReports(this.#suspects.listHeld(this.#options.context.clock.now()));
	}

	async #checkCrash(content: ContentId, endpoint: Endpoint, at: number): Promise<void> {
		const hasCrashed = await this.#options.hasCrashed(endpoint);
		this.#pendingChecks.delete(content.digest);
		if (hasCrashed) {
			this.#recordCrash(content, startIdOf(endpoint), at);
		}
	}

	#recordCrash(content: ContentId, startId: string, at: number): void {
		this.#recordCrashedStart(startId, at);
		if (this.#suspects.recordCrash(content, startId, at)) {
			this.#options.context.metrics.add('crashEnds', {source: 'own'});
			this.#batcher.add(content.digest);
			this.#logHoldChanges();
		}
	}

	#recordCrashedStart(startId: string, at: number): void {
		if (!this.#crashedStarts.has(startId)) {
			this.#crashedStarts.set(startId, at);
		}

		this.#expireCrashedStarts(this.#options.context.clock.now());
	}

	/** Removes expired entries from the front. Entries are in the order in which they were added. */
	#expireCrashedStarts(now: number): void {
		for (const [startId, at] of this.#crashedStarts) {
			if (now - at < refutableMs) {
				return;
			}

			this.#crashedStarts.delete(startId);
		}
	}

	#createReports(digests: readonly string[]): CrashReport[] {
		const now = this.#options.context.clock.now();
		return digests.map(digest => this.#suspects.report(digest, now)).filter(report => report !== undefined);
	}

	/** Logs which contents are newly held back, and which no longer. */
	#logHoldChanges(): void {
		const {clock, log, metrics} = this.#options.context;
		const held = this.#suspects.listHeld(clock.now());
		for (const report of this.#createReports(held.filter(digest => !this.#loggedHolds.has(digest)))) {
			this.#loggedHolds.add(report.content);
			const {refuted, ends} = report;
			const unrefuted = ends.filter(({end}) => !refuted.includes(end));
			log('contentHeldSince', {content: report.content, bytes: report.bytes, ends: unrefuted.map(({end, ageMs}) => `${end} ${Math.round(ageMs)} ms ago`).join(', ')});
		}

		for (const digest of this.#loggedHolds) {
			if (!held.includes(digest)) {
				this.#loggedHolds.delete(digest);
				log('contentCleared', {content: digest});
			}
		}

		metrics.set('heldContents', this.#loggedHolds.size);
	}
}
