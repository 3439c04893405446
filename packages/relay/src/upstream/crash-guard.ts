/**
 * Holds back requests whose content, or a part of whose prompt, has crashed
 * endpoints, as seen by this host or reported by others. Safety: the bound on
 * the endpoints that one content or part crashes rests on `maySend`, which
 * every send calls right before its first byte. A false suspicion is refuted
 * when the endpoint sends data, when a request with the content succeeds, or
 * when a run with the part survives its beginning.
 */
import {type ContentId} from '@gatehead/policy/relay/crash-suspects';
import {SuspectBook, type SuspectRequest, type Suspicion} from '@gatehead/policy/relay/suspect-book';
import {type Timer} from '@gatehead/policy/utils/clock';
import {ignore} from '@gatehead/policy/utils/ignore';
import {type CrashReport} from '@gatehead/schema/relay-message';
import {type Endpoint} from '@gatehead/schema/routing';
import {type RelayContext} from '../core/context.js';
import {isOff} from '../core/experiment.js';
import {settledOrAborted} from '../utils/wait.js';
import {type Job} from '../work/job.js';
import {CrashReportBatcher} from './crash-report-batcher.js';
import {AbandonedSends} from './abandoned-sends.js';
import {HoldLog} from './hold-log.js';
import {Trials, trialTimeoutMs} from './trials.js';

/** A request whose response had been arriving for this long before its loss is not suspected, in milliseconds: harmful content crashes an endpoint as it starts to run. */
export const crashWindowMs = 300;
/** Data read within this time after a crash may have been received before it, in milliseconds: longer than a busy host leaves data unread. */
const bufferedDataMs = 250;
/** A send that starts later than this after a crash may be answered by the restarted endpoint under the same id, in milliseconds: restarts take seconds. */
const restartMs = 1000;
/** Time for which later data can refute a crash, in milliseconds: longer than any stream. */
const refutableMs = 15_000;
/** Length of a part's digest in a log line, in characters: enough to tell parts apart. */
const loggedDigestLength = 12;
/** Retry-After while another request runs on trial, in milliseconds: a part is cleared as soon as the run has survived its beginning, a content when it has ended. */
const trialRetryMs: Readonly<Record<CrashReport['suspect'], number>> = {content: trialTimeoutMs, part: 1000};
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

/** What holds a request back. */
export type Hold = {
	readonly digest: string;
	readonly suspect: CrashReport['suspect'];
	readonly leftMs: number;
};

/** Identifies one start of an endpoint. Where a platform reuses the id for the next start, the new directory entry's time tells them apart. */
function startIdOf({id, listedSince}: Endpoint): string {
	return listedSince === undefined ? id : `${id}#${listedSince}`;
}

/** For operators: the part's id and the content stay out of it. */
export function describeHold({suspect, digest}: Pick<Hold, 'suspect' | 'digest'>): string {
	return suspect === 'part' ? `part ${digest}` : digest;
}

/** Digests of the parts of a request's prompt. */
function listParts({content, service}: Pick<Job, 'content' | 'service'>): readonly string[] {
	return content.listPartDigests(service.name);
}

function toSuspect({content, service}: Pick<Job, 'content' | 'service'>): SuspectRequest {
	return {content, listParts: () => listParts({content, service})};
}

/** Crash guard of one host. */
export class CrashGuard {
	readonly #options: CrashGuardOptions;
	readonly #suspects = new SuspectBook();
	/** When starts of endpoints seem to have crashed, by start id, while later data can refute it. */
	readonly #crashedStarts = new Map<string, number>();
	readonly #abandonedSends = new AbandonedSends();
	/** Crash checks in progress, by the digest of the content whose send was lost. */
	readonly #pendingChecks = new Map<string, Promise<void>>();
	readonly #batcher: CrashReportBatcher;
	readonly #trials: Trials;
	readonly #holdLog: HoldLog;
	#cleanupTimer: Timer | undefined;

	constructor(options: CrashGuardOptions) {
		const {context: {clock}, broadcast, isTrialHost} = options;
		this.#options = options;
		this.#holdLog = new HoldLog(options.context);
		this.#batcher = new CrashReportBatcher({clock, broadcast, createReports: digests => this.#suspects.createReports(digests, clock.now())});
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

	/** Why a request is held back, and for how long; undefined: it is not. */
	findHold(request: Pick<Job, 'content' | 'service'>): Hold | undefined {
		for (const {digest, suspect, restriction} of this.#judge(request)) {
			if (restriction.kind === 'held') {
				return {digest, suspect, leftMs: restriction.leftMs};
			}

			if (!this.#trials.mayBegin(digest)) {
				return {digest, suspect, leftMs: trialRetryMs[suspect]};
			}
		}

		return undefined;
	}

	/** Whether a request may be sent now; a job that was refused once stays refused. */
	maySend(job: Job): boolean {
		if (job.isContentHeld) {
			return false;
		}

		for (const {digest, restriction} of this.#judge(job)) {
			if (restriction.kind === 'trial' && !job.trials.has(digest) && this.#trials.begin(digest)) {
				job.trials.add(digest);
			}

			job.isContentHeld ||= restriction.kind === 'held' || !job.trials.has(digest);
		}

		return !job.isContentHeld;
	}

	/** Ends the trials of a request that has ended, once it is known whether it crashed an endpoint. */
	async endTrials({content, trials}: Pick<Job, 'content' | 'trials'>): Promise<void> {
		if (trials.size === 0) {
			return;
		}

		await this.#pendingChecks.get(content.digest);
		for (const digest of trials) {
			this.#trials.end(digest);
		}
	}

	/** Whether a request whose connection was just lost may be sent to another endpoint. For a suspected content this waits for the pending crash check, at most until the request's signal aborts, so that a crash found by it prevents the retry. */
	async mayRetry(job: Job): Promise<boolean> {
		const {content, signal} = job;
		const now = this.#options.context.clock.now();
		const pending = this.#pendingChecks.get(content.digest);
		if (pending !== undefined && this.#suspects.isSuspect(toSuspect(job), now)) {
			await settledOrAborted(pending, signal);
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

		// A cancelled send whose response had begun shows no unresponsive endpoint
		if (answeredAt !== undefined && (!isConnectionLost || now - answeredAt >= crashWindowMs)) {
			return;
		}

		const startId = startIdOf(endpoint);
		// Reading a prompt crashes no endpoint
		const parts = step === 'prefill' ? [] : listParts(job);
		if (this.#abandonedSends.isGone(startId) || this.#crashedStarts.has(startId)) {
			this.#recordCrash(content, startId, now);
			this.#accuseParts(isConnectionLost ? parts : [], startId, now);
			return;
		}

		if (isConnectionLost) {
			void this.#addCheck(content.digest, this.#checkCrash(content, parts, endpoint, now));
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

	/** Records a successful request, which clears its content and its parts. */
	recordSuccess(job: Job): void {
		const {content} = job;
		if (this.#suspects.recordSuccess(content)) {
			this.#batcher.add(content.digest);
			this.#logHoldChanges();
		}

		this.recordSurvival(job);
		if (job.trials.has(content.digest)) {
			this.#trials.end(content.digest);
		}
	}

	/** Records that a run has survived its beginning, which clears the parts of its prompt. */
	recordSurvival(job: Pick<Job, 'content' | 'service' | 'trials'>): void {
		const parts = listParts(job);
		const cleared = this.#suspects.recordSurvival(parts, this.#options.context.clock.now());
		for (const digest of cleared) {
			this.#batcher.add(digest);
			this.#trials.end(digest);
		}

		if (cleared.length > 0) {
			this.#logHoldChanges();
		}
	}

	/** Merges crash reports from another host; returns reports that contradict them. */
	mergeReports(reports: readonly CrashReport[]): CrashReport[] {
		const {clock, metrics} = this.#options.context;
		const now = clock.now();
		const contradicted: string[] = [];
		for (const report of reports) {
			const {added, isContradicted, isClearing} = this.#suspects.merge(report, now);
			for (const startId of added) {
				metrics.add('crashEnds', {source: 'peer'});
				this.#recordCrashedStart(startId, now - (report.ends.find(({end}) => end === startId)?.ageMs ?? 0));
			}

			if (isContradicted) {
				contradicted.push(report.content);
			}

			if (isClearing) {
				this.#batcher.add(report.content);
			}
		}

		if (reports.length > 0) {
			this.#logHoldChanges();
		}

		return this.#suspects.createReports(contradicted, now);
	}

	/** Reports of all held contents, for heartbeats: hosts that missed the first report, or are new, learn of them. */
	listHeld(): CrashReport[] {
		return this.#suspects.listHeld(this.#options.context.clock.now());
	}

	/** Restrictions that apply to a request. */
	#judge(request: Pick<Job, 'content' | 'service'>): Suspicion[] {
		const {context} = this.#options;
		return isOff(context, 'crashGuard') ? [] : this.#suspects.judge(toSuspect(request), context.clock.now());
	}

	/** Adds a check to those of its content that a retry waits for. */
	async #addCheck(digest: string, check: Promise<void>): Promise<void> {
		const earlier = this.#pendingChecks.get(digest);
		const checks = earlier === undefined ? check : Promise.all([earlier, check]).then(ignore);
		this.#pendingChecks.set(digest, checks);
		try {
			await checks;
		} finally {
			if (this.#pendingChecks.get(digest) === checks) {
				this.#pendingChecks.delete(digest);
			}
		}
	}

	async #checkCrash(content: ContentId, parts: readonly string[], endpoint: Endpoint, at: number): Promise<void> {
		const hasCrashed = await this.#options.hasCrashed(endpoint);
		if (hasCrashed) {
			this.#recordCrash(content, startIdOf(endpoint), at);
			this.#accuseParts(parts, startIdOf(endpoint), at);
		}
	}

	#accuseParts(parts: readonly string[], startId: string, at: number): void {
		const accused = this.#suspects.accuseParts(parts, startId, at);
		for (const digest of accused) {
			this.#batcher.add(digest);
		}

		if (accused.length > 0) {
			this.#logHoldChanges();
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

	#logHoldChanges(): void {
		this.#holdLog.update(this.listHeld());
	}
}
