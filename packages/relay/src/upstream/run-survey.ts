/**
 * Asks engines after a start of this host what they hold of earlier runs: all
 * hosts may have been restarted at once, and new requests soon displace what
 * engines have cached. A few hosts ask each engine, whatever the size of the
 * fleet. Safety: what an engine says counts for the software version of its
 * entry only if no entry of another version names its address, before and after,
 * or the process there states that it is not the one of that entry. An engine
 * that has ended has lost what it held, as one that answers without a trace.
 */
import {type PastEndpoints} from '@gatehead/policy/relay/past-endpoints';
import {type RunTrace} from '@gatehead/policy/relay/run-traces';
import {type StreamOrigin} from '@gatehead/policy/relay/stream-records';
import {type Timer} from '@gatehead/policy/utils/clock';
import {digestOf} from '@gatehead/schema/canonical-json';
import {hashText} from '@gatehead/schema/hash-text';
import {versionOf, type Endpoint} from '@gatehead/schema/routing';
import {type RelayContext} from '../core/context.js';
import {type ControlCalls, type EngineList} from './control-calls.js';
import {type Endpoints} from './endpoints.js';

/** When to ask an engine again at its address, in milliseconds of this host's clock. */
type NextAttempt = {
	readonly address: string;
	readonly dueAt: number;
};

/** Length of a trace's key, in hexadecimal digits. */
const keyLength = 32;
/** Time for which traces are kept, in milliseconds: callers resume soon after a restart, if at all. */
const traceLifeMs = 60_000;
/** Interval of the checks for engines to ask, in milliseconds. */
const pollMs = 50;
/** Time after the first list of endpoints in which the hosts that start at the same moment find each other, at least, since the last of them was found, and at most, in milliseconds. */
const settleMs = {least: 150, sinceChange: 100, most: 600};
/** Time after the first list of endpoints in which engines that come into view are asked, in milliseconds. */
const surveyMs = 10_000;
/** Maximum wait for the survey, in milliseconds. */
const maxWaitMs = 400;
/** Maximum engines that one host asks while more than that fall to it and it may not have found the others, and maximum of those that have left. */
const maxEngines = 64;
/** Time without a membership change after which a host has found the others, in milliseconds. */
const foundMs = 500;
/** Maximum engines asked at a time. */
const maxConcurrent = 16;

/** Outcome of a question to an engine. */
type Outcome = EngineList<unknown>['kind'];

/** Interval of the questions to an engine that goes on rejecting lists, in milliseconds. */
const rejectedIntervalMs = 1000;
/** Delays before an engine is asked again, by how many times it has been asked, in milliseconds. One that rejects lists may be overloaded, and is asked as long as lookups wait for it; one that has ended may have been replaced. */
const retryDelaysMs: Readonly<Record<Exclude<Outcome, 'listed'>, readonly number[]>> = {
	gone: [250], rejected: [250, 500, ...Array.from({length: surveyMs / rejectedIntervalMs}, () => rejectedIntervalMs)], unanswered: [0],
};
/** Outcomes after which nothing more is expected of an engine once it is not asked again. */
const finalOutcomes: ReadonlySet<Outcome> = new Set(['gone']);
/** Outcomes of the two lists of an engine, the one that counts for both first. */
const outcomesByWeight = ['unanswered', 'rejected', 'gone', 'listed'] as const;
/** Time until an engine is asked again whose address an entry of another version may have taken, in milliseconds. */
const contestedDelayMs = 1000;

/** What a trace is about: the run of an attempt, or the last part of a prompt. */
export type TraceSubject = 'run' | 'part';

/** Key of the traces of an attempt or part. */
export function toTraceKey(subject: TraceSubject, id: string): string {
	return digestOf(JSON.stringify([subject, id])).slice(0, keyLength);
}

export type RunSurveyParts = {
	readonly context: Pick<RelayContext, 'clock' | 'log' | 'metrics'>;
	readonly endpoints: Pick<Endpoints, 'book' | 'release'>;
	readonly calls: Pick<ControlCalls, 'listRuns' | 'listCachedParts' | 'isReplaced'>;
	/** Name of this host. */
	readonly host: string;
	/** Whether this host is one of those that ask an engine. */
	readonly isAsker: (endpoint: string) => boolean;
	/** Time of the last membership change. */
	readonly membersChangedAt: () => number;
	readonly onTraces: (traces: readonly RunTrace[]) => void;
	/** Whether there are engines in this host's share that have not answered; called when that changes. */
	readonly onProgress: (isSurveying: boolean) => void;
};

/** The survey of one host. */
export class RunSurvey {
	readonly #parts: RunSurveyParts;
	/** Attempts by engine. */
	readonly #attempts = new Map<string, number>();
	/** Engines that have answered while their lists could be attributed. */
	readonly #heard = new Set<string>();
	/** Addresses of engines of which nothing more is expected there. */
	readonly #settled = new Map<string, string>();
	/** Next attempts, by engine. */
	readonly #next = new Map<string, NextAttempt>();
	/** Time of the next attempt to tell an engine from the other entries at its address. */
	readonly #contestedUntil = new Map<string, number>();
	readonly #waiting = new Set<() => void>();
	readonly #inFlight = new Set<string>();
	/** Engines whose entries had several versions. */
	readonly #changed = new Set<string>();
	/** Engines that have left the directory, which may still serve. */
	#departed: readonly Endpoint[] = [];
	#listedAt: number | undefined;
	/** Whether nothing more can be learned from the engines in this host's share. */
	#isComplete = false;
	/** Whether there is no engine left to ask, though some may not have answered. */
	#isIdle = false;
	#isOver = false;
	/** What other hosts were told. */
	#isSurveying = true;
	#timer: Timer | undefined;

	constructor(parts: RunSurveyParts) {
		this.#parts = parts;
	}

	start(): void {
		this.#poll();
	}

	/** Adds what the directory's history says of the time before this host's start. */
	addPast({departed, changed}: PastEndpoints): void {
		this.#departed = departed.filter(engine => isDecode(engine)).slice(-maxEngines);
		for (const id of changed) {
			this.#changed.add(id);
		}
	}

	stop(): void {
		this.#timer?.stop();
		this.#end();
	}

	/** Whether no more engines will be asked. */
	get isOver(): boolean {
		return this.#isOver;
	}

	/** Services and versions of the engines in this host's share that have not answered; undefined before they are known. */
	listUnheard(): StreamOrigin[] | undefined {
		if (this.#isOver) {
			return [];
		}

		if (!this.#mayBegin(this.#parts.context.clock.now())) {
			return undefined;
		}

		const engines = [...this.#listEngines(), ...this.#listDeparted()].filter(engine => !this.#isHeard(engine) && this.#parts.isAsker(engine.id));
		const origins = new Map(engines.map(engine => [describeVersion(engine), {service: engine.service, softwareVersion: versionOf(engine)}]));
		return [...origins.values()];
	}

	/** Resolves once there is no engine in this host's share left to ask, when the survey is over, or after a short wait; whether no more will be learned. */
	async whenComplete(): Promise<boolean> {
		if (!this.#isIdle && !this.#isOver) {
			await new Promise<void>(resolve => {
				const timer = this.#parts.context.clock.after(maxWaitMs, () => {
					this.#waiting.delete(stopWaiting);
					resolve();
				});
				const stopWaiting = () => {
					timer.stop();
					resolve();
				};

				this.#waiting.add(stopWaiting);
			});
		}

		return this.#isComplete || this.#isOver;
	}

	#poll(): void {
		const {clock} = this.#parts.context;
		const now = clock.now();
		this.#listedAt ??= this.#parts.endpoints.book.list().length > 0 ? now : undefined;
		if (this.#mayBegin(now)) {
			this.#askEngines();
		}

		if (this.#listedAt !== undefined && now - this.#listedAt >= surveyMs) {
			this.#end();
			this.#reportProgress();
			return;
		}

		this.#timer = clock.after(pollMs, () => {
			this.#poll();
		});
	}

	/** Whether hosts that start at the same moment have had the time to find each other. */
	#mayBegin(now: number): boolean {
		const listedMs = now - (this.#listedAt ?? now);
		return listedMs >= settleMs.most || (listedMs >= settleMs.least && now - this.#parts.membersChangedAt() >= settleMs.sinceChange);
	}

	#listEngines(): Endpoint[] {
		return this.#parts.endpoints.book.list().map(({endpoint}) => endpoint).filter(engine => isDecode(engine));
	}

	/** Engines that have left and are not listed anew. */
	#listDeparted(): Endpoint[] {
		return this.#departed.filter(({id}) => !this.#parts.endpoints.book.isKnown(id));
	}

	#askEngines(): void {
		const due = this.#listEngines().filter(engine => this.#isDue(engine) && this.#parts.isAsker(engine.id));
		const left = this.#listDeparted().filter(({id}) => !this.#attempts.has(id) && this.#parts.isAsker(id));
		const versions = due.length + left.length === 0 ? new Map<string, Set<string>>() : this.#mapVersions();
		const share = due.filter(engine => this.#isAttributable(engine, versions) || this.#mayContest(engine));
		const departed = left.filter(engine => this.#isAttributable(engine, versions));
		for (const engine of [...this.#chooseNext(share), ...departed].slice(0, maxConcurrent - this.#inFlight.size)) {
			void this.#ask(engine);
		}

		this.#updateProgress({isDue: share.length > 0, isDepartedDue: departed.length > 0});
	}

	/** Tells waiting lookups, and other hosts, how far the survey is; takes whether engines, listed or departed, were to be asked. */
	#updateProgress({isDue, isDepartedDue}: {readonly isDue: boolean; readonly isDepartedDue: boolean}): void {
		const isAnswered = this.#listEngines().every(engine => this.#isHeard(engine) || !this.#parts.isAsker(engine.id));
		const isQuiet = this.#inFlight.size === 0 && !isDepartedDue;
		this.#isComplete = isQuiet && isAnswered;
		this.#isIdle = this.#isComplete || (isQuiet && !isDue);
		if (this.#isIdle) {
			this.#release();
		}

		this.#reportProgress();
	}

	#reportProgress(): void {
		const isSurveying = !this.#isComplete && !this.#isOver;
		if (isSurveying !== this.#isSurveying) {
			this.#isSurveying = isSurveying;
			this.#parts.onProgress(isSurveying);
		}
	}

	#isDue(engine: Endpoint): boolean {
		if (this.#inFlight.has(engine.id) || this.#isHeard(engine)) {
			return false;
		}

		const {address, dueAt} = this.#next.get(engine.id) ?? {address: engine.address, dueAt: 0};
		return address !== engine.address || this.#parts.context.clock.now() >= dueAt;
	}

	/** Whether to ask the process at an engine's address which of its entries it is. */
	#mayContest({id}: Endpoint): boolean {
		return !this.#changed.has(id) && this.#parts.context.clock.now() >= (this.#contestedUntil.get(id) ?? 0);
	}

	/** Whether nothing more can be learned from an engine. */
	#isHeard({id, address}: Endpoint): boolean {
		return this.#heard.has(id) || this.#changed.has(id) || this.#settled.get(id) === address;
	}

	/** Engines of this host's share to ask next. Each host has its own order, so that hosts which do not know each other ask different ones. */
	#chooseNext(share: readonly Endpoint[]): Endpoint[] {
		const {context: {clock}, host, membersChangedAt} = this.#parts;
		const hasFoundOthers = clock.now() - membersChangedAt() >= foundMs;
		const begun = share.filter(({id}) => this.#attempts.has(id));
		const fresh = share.filter(({id}) => !this.#attempts.has(id)).map(engine => ({engine, place: hashText(`${host} ${engine.id}`)}));
		const most = fresh.length > maxEngines && !hasFoundOthers ? Math.max(0, maxEngines - this.#attempts.size) : fresh.length;
		const chosen = fresh.toSorted((left, right) => left.place - right.place).slice(0, most).map(({engine}) => engine);
		return [...begun, ...chosen];
	}

	async #ask(engine: Endpoint): Promise<void> {
		this.#inFlight.add(engine.id);
		const others = this.#listOthersAt(engine);
		if (await this.#areReplaced(others)) {
			await this.#list(engine, new Set(others.map(({id}) => id)));
		} else {
			this.#contestedUntil.set(engine.id, this.#parts.context.clock.now() + contestedDelayMs);
		}

		this.#inFlight.delete(engine.id);
		this.#parts.endpoints.release(engine.id);
		if (!this.#isOver) {
			this.#askEngines();
		}
	}

	/** Whether the processes at the addresses of entries state that they are others. */
	async #areReplaced(entries: readonly Endpoint[]): Promise<boolean> {
		const replaced = await Promise.all(entries.map(async entry => this.#parts.calls.isReplaced(entry)));
		return replaced.every(Boolean);
	}

	/** Asks an engine for its lists; `replaced`: entries at its address that its process is not. */
	async #list(engine: Endpoint, replaced: ReadonlySet<string>): Promise<void> {
		const {calls, context: {log, metrics}, onTraces} = this.#parts;
		this.#attempts.set(engine.id, (this.#attempts.get(engine.id) ?? 0) + 1);
		const wasKnown = this.#parts.endpoints.book.isKnown(engine.id);
		const [runs, parts] = await Promise.all([calls.listRuns(engine), calls.listCachedParts(engine)]);
		const isUsable = this.#isUnchanged(engine, wasKnown, replaced);
		const outcome = combineOutcomes([runs.kind, parts.kind]);
		this.#noteOutcome(engine, isUsable ? outcome : 'unanswered', wasKnown);
		metrics.add('engineSurveys', {outcome: describeOutcome(isUsable, outcome)});
		log('engineSurveyed', {
			endpoint: engine.id, service: engine.service, softwareVersion: engine.softwareVersion, outcome, runs: itemsOf(runs)?.length, parts: itemsOf(parts)?.length, isUsable,
		});
		if (isUsable) {
			onTraces([
				...(itemsOf(runs) ?? []).map(({requestId, events}) => this.#makeTrace(engine, 'run', requestId, events)),
				...(itemsOf(parts) ?? []).map(({id, tokens}) => this.#makeTrace(engine, 'part', id, tokens)),
			]);
		}
	}

	/** Plans the next attempt; engines that have left the directory get one. */
	#noteOutcome(engine: Endpoint, outcome: Outcome, wasKnown: boolean): void {
		if (outcome === 'listed') {
			this.#heard.add(engine.id);
			return;
		}

		const delayMs = wasKnown ? retryDelaysMs[outcome][(this.#attempts.get(engine.id) ?? 1) - 1] : undefined;
		if (delayMs === undefined && finalOutcomes.has(outcome)) {
			this.#settled.set(engine.id, engine.address);
		}

		this.#next.set(engine.id, {address: engine.address, dueAt: this.#parts.context.clock.now() + (delayMs ?? Number.POSITIVE_INFINITY)});
	}

	/** Software versions of all entries, by address. */
	#mapVersions(): Map<string, Set<string>> {
		const versions = new Map<string, Set<string>>();
		for (const {endpoint} of this.#parts.endpoints.book.list()) {
			const known = versions.get(endpoint.address) ?? new Set();
			versions.set(endpoint.address, known.add(describeVersion(endpoint)));
		}

		return versions;
	}

	/** Whether what an engine lists is that of its entry's version: the entry never had another one, and no entry of another one names its address. */
	#isAttributable(engine: Endpoint, versions: ReadonlyMap<string, ReadonlySet<string>>): boolean {
		return !this.#changed.has(engine.id) && [...versions.get(engine.address) ?? []].every(version => version === describeVersion(engine));
	}

	/** Whether an engine is as it was before it was asked: in the directory or not, and of the same version. */
	#isUnchanged(engine: Endpoint, wasKnown: boolean, replaced: ReadonlySet<string>): boolean {
		const known = this.#parts.endpoints.book.endpointOf(engine.id);
		if (known !== undefined && describeVersion(known) !== describeVersion(engine)) {
			this.#changed.add(engine.id);
		}

		return wasKnown === (known !== undefined) && !this.#changed.has(engine.id) && this.#listOthersAt(engine).every(({id}) => replaced.has(id));
	}

	/** Entries of other versions that name an engine's address. */
	#listOthersAt(engine: Endpoint): Endpoint[] {
		const entries = this.#parts.endpoints.book.list().map(({endpoint}) => endpoint);
		return entries.filter(entry => entry.address === engine.address && describeVersion(entry) !== describeVersion(engine));
	}

	#makeTrace(engine: Endpoint, subject: TraceSubject, id: string, size: number): RunTrace {
		return {
			key: toTraceKey(subject, id), service: engine.service, softwareVersion: versionOf(engine), size, expiresAt: this.#parts.context.clock.now() + traceLifeMs,
		};
	}

	#end(): void {
		this.#isOver = true;
		this.#release();
	}

	#release(): void {
		for (const stopWaiting of this.#waiting) {
			stopWaiting();
		}

		this.#waiting.clear();
	}
}

function describeVersion(endpoint: Endpoint): string {
	return JSON.stringify([endpoint.service, versionOf(endpoint)]);
}

function isDecode({stage}: Endpoint): boolean {
	return stage === 'decode';
}

/** The outcome of a question that consists of several lists. */
function combineOutcomes(outcomes: readonly Outcome[]): Outcome {
	return outcomesByWeight.find(outcome => outcomes.includes(outcome)) ?? 'unanswered';
}

function itemsOf<Item>(list: EngineList<Item>): Item[] | undefined {
	return list.kind === 'listed' ? list.items : undefined;
}

const outcomeLabels: Readonly<Record<Outcome, string>> = {
	listed: 'answered', gone: 'gone', rejected: 'rejected', unanswered: 'failed',
};

function describeOutcome(isUsable: boolean, outcome: Outcome): string {
	return outcome === 'listed' && !isUsable ? 'unattributable' : outcomeLabels[outcome];
}
