/**
 * Software versions of streams that callers may resume. Safety: a stream goes
 * on only at the version that began it. That version is read from a record,
 * follows from this host having seen one version only, at one of the services
 * that the route names, for as long as the stream can have lasted, or is that
 * of the engine that still holds the run; otherwise the request is refused,
 * never guessed.
 */
import {findTracedOrigin, listMatches, type TraceMatch} from '@gatehead/policy/relay/run-traces';
import {type StreamOrigin} from '@gatehead/policy/relay/stream-records';
import {findOnlyOrigin, type VersionHistory, type VersionView} from '@gatehead/policy/relay/version-history';
import {digestOf} from '@gatehead/schema/canonical-json';
import {fail} from '@gatehead/schema/failure';
import {versionOf, type Route} from '@gatehead/schema/routing';
import {type RelayContext} from '../core/context.js';
import {type RequestFacts} from '../core/dialect.js';
import {type DirectoryWatch} from '../core/directory-watch.js';
import {type StreamFinding, type StreamRegistry} from '../peer/stream-registry.js';
import {type TraceRegistry} from '../peer/trace-registry.js';
import {toTraceKey} from '../upstream/run-survey.js';
import {type Via} from './generation-failure.js';
import {type Job} from './job.js';

/** Length of a record's key, in hexadecimal digits. */
const keyLength = 32;
/** Maximum lookups at a time. Each sends a message to several hosts, and callers choose what is looked up. */
const maxOpenLookups = 500;
/** Time for which a caller may resume a stream, in multiples of the longest attempt, plus a margin in milliseconds for clocks, queues and delayed messages. */
const lifeFactor = 2;
const lifeMarginMs = 10_000;
const maxLifeMs = 600_000;
/** Reads of the directory until its view includes all that began before the request: a read that was under way is shared. */
const maxConfirmations = 2;
/** `Retry-After` if hosts that may know the version did not reply, in milliseconds: another host may reach them. */
const unknownRetryAfterMs = 300;

/** Maximum length of a caller's text in a log line, in characters. */
const maxLoggedLength = 64;

/** A request that resumes a stream. */
export type ResumeRequest = {
	readonly facts: RequestFacts;
	readonly workspace: string | undefined;
	readonly route: Route;
	/** Service that a new stream would begin at. */
	readonly service: string;
};

/** Where a resumed stream has to go on. */
export type ResumePoint = {
	readonly service: string;
	readonly softwareVersion: string;
};

/** Outcome of a lookup. */
type Lookup = {
	/** Where the version was learned; `none`: the caller has no part of the stream. */
	readonly source: 'record' | 'only version' | 'engine' | 'none' | 'ambiguous' | 'unknown';
	readonly point?: ResumePoint;
	/** Host that had the record. */
	readonly host?: string | undefined;
	readonly asked: number;
	readonly silent: number;
	/** What this host and those that replied have seen of the service; empty if a record was found. */
	readonly views?: readonly VersionView[];
	/** Whether hosts are still asking engines. */
	readonly isPending?: boolean;
	/** Traces in engines that may belong to the stream; empty if none was looked for. */
	readonly matches?: readonly TraceMatch[];
};

/** Sources after which a request is refused. */
const unusableSources: ReadonlySet<Lookup['source']> = new Set(['ambiguous', 'unknown']);

export type StreamVersionsParts = {
	readonly context: Pick<RelayContext, 'clock' | 'log' | 'metrics' | 'settings'>;
	readonly registry: Pick<StreamRegistry, 'record' | 'find' | 'findAtHolders'>;
	readonly traces: Pick<TraceRegistry, 'find'>;
	readonly versions: VersionHistory;
	/** Whether this host knows the fleet; otherwise hosts that it has not met may have the record. */
	readonly hasMetOthers: () => boolean;
	readonly watch: () => Pick<DirectoryWatch, 'confirm' | 'listedAt'>;
};

/** Whether a request resumes a stream. */
export function isResumption({lastEventId, resumedId}: RequestFacts, {isResumable}: Route): boolean {
	return isResumable && (hasPosition(lastEventId) || resumedId !== undefined);
}

/** Key of a stream's record. Attempts of different workspaces never share one, whatever ids their callers choose. */
export function toStreamKey(workspace: string | undefined, attempt: string): string {
	return digestOf(JSON.stringify([workspace ?? null, attempt])).slice(0, keyLength);
}

/** Key of the record of an undelivered run, by the prompt's own part. */
function toPartKey(workspace: string | undefined, part: string): string {
	return digestOf(JSON.stringify(['part', workspace ?? null, part])).slice(0, keyLength);
}

/** Versions of the streams at one host. */
export class StreamVersions {
	readonly #parts: StreamVersionsParts;
	#openLookups = 0;

	constructor(parts: StreamVersionsParts) {
		this.#parts = parts;
	}

	/** Records that a stream's events come from an endpoint, before the first of them is forwarded. */
	async record({streamKey, route, facts, service}: Job, endpoint: Via): Promise<void> {
		if (streamKey !== undefined) {
			await this.#parts.registry.record(streamKey, {service: service.name, softwareVersion: versionOf(endpoint)}, lifeOf(route, facts));
		}
	}

	/** Records the version of a run that delivered no event; the caller may retry under another request id. */
	async recordUnseen({facts, workspace, route, service}: Job, softwareVersion: string): Promise<void> {
		if (facts.ownPart !== undefined && this.#maySplit({route, facts, service: service.name})) {
			await this.#parts.registry.record(toPartKey(workspace?.name, facts.ownPart.id), {service: service.name, softwareVersion}, lifeOf(route, facts));
		}
	}

	/** Finds the version of an undelivered run with the same own prompt part; undefined if there is no record, or only one version. */
	async findUnseen({facts, workspace, route, service}: ResumeRequest): Promise<string | undefined> {
		if (facts.ownPart === undefined || !this.#maySplit({route, facts, service})) {
			return undefined;
		}

		const record = await this.#parts.registry.findAtHolders({key: toPartKey(workspace, facts.ownPart.id), service, windowMs: lifeOf(route, facts)});
		return record?.service === service && !record.isAmbiguous ? record.softwareVersion : undefined;
	}

	/** Finds where a stream goes on; undefined if the caller has no part of it and nothing is known. Throws `streamVersionUnknown`. */
	async resolve(request: ResumeRequest): Promise<ResumePoint | undefined> {
		const {context: {clock, log, metrics}} = this.#parts;
		const startedAt = clock.now();
		const {source, point, host, asked, silent, views = [], isPending = false, matches = []} = await this.#lookUp(request);
		const windowMs = lifeOf(request.route, request.facts);
		metrics.add('streamLookups', {source, coverage: describeCoverage(views, windowMs), evidence: findEvidence(matches)});
		metrics.time('streamLookup', clock.now() - startedAt);
		log('streamResumed', {
			request: request.facts.id, service: request.service, softwareVersion: point?.softwareVersion, source, recordedAt: host, asked, silent, tookMs: Math.round(clock.now() - startedAt),
			resumedId: request.facts.resumedId?.slice(0, maxLoggedLength), lastEventId: request.facts.lastEventId?.slice(0, maxLoggedLength), windowMs, ...summarize(views), traces: matches.length === 0 ? undefined : matches.map(match => describeMatch(match)).join(', '),
		});
		if (!unusableSources.has(source)) {
			return point;
		}

		const isFinal = source === 'ambiguous' || (!isPending && this.#parts.hasMetOthers() && this.#isUnanimous({asked, silent}) && this.#isConfirmedSince(startedAt));
		return fail('streamVersionUnknown', {retryAfterMs: isFinal ? undefined : unknownRetryAfterMs, detail: source});
	}

	/** Whether runs of a stream may be at several versions. */
	#maySplit({route, facts, service}: Pick<ResumeRequest, 'route' | 'facts' | 'service'>): boolean {
		const {context: {clock}, versions} = this.#parts;
		return route.isResumable && versions.view(service, lifeOf(route, facts), clock.now()).versions.length > 1;
	}

	async #lookUp(request: ResumeRequest): Promise<Lookup> {
		if (this.#openLookups >= maxOpenLookups) {
			return {source: 'unknown', asked: 0, silent: maxOpenLookups};
		}

		this.#openLookups += 1;
		try {
			return await this.#ask(request);
		} finally {
			this.#openLookups -= 1;
		}
	}

	async #ask({facts, workspace, route, service}: ResumeRequest): Promise<Lookup> {
		const windowMs = lifeOf(route, facts);
		const key = facts.resumedId === undefined ? undefined : toStreamKey(workspace, facts.resumedId);
		const finding = await this.#parts.registry.find({key, service, windowMs});
		const {record, source: host, asked, silent} = finding;
		if (record !== undefined) {
			return {
				source: record.isAmbiguous ? 'ambiguous' : 'record', point: record, host, asked, silent,
			};
		}

		if (!hasPosition(facts.lastEventId)) {
			return {source: 'none', asked, silent};
		}

		const {context: {clock}, versions} = this.#parts;
		const views = [versions.view(service, windowMs, clock.now()), ...finding.views];
		const confirming = this.#confirmSince(clock.now());
		const only = await this.#findOnly({service, route, windowMs}, finding, confirming);
		if (only !== undefined) {
			return {
				source: 'only version', point: only, asked, silent, views,
			};
		}

		const traced = await this.#findTraces(facts, route);
		if (traced.source === 'unknown') {
			await confirming;
		}

		return {
			...traced, asked, silent, views,
		};
	}

	/** Reads the directory until its view includes all that began before `at`, or it does not reply; whether it does. */
	async #confirmSince(at: number): Promise<boolean> {
		for (let tries = 0; tries < maxConfirmations && !this.#isConfirmedSince(at); tries += 1) {
			await this.#parts.watch().confirm();
		}

		return this.#isConfirmedSince(at);
	}

	/** The service and version that all endpoints of the route have had for as long as the stream can have lasted; undefined if there were several, or if this host has not seen all of that time. */
	async #findOnly({service, route: {shares}, windowMs}: Pick<ResumeRequest, 'service' | 'route'> & {readonly windowMs: number}, {views}: StreamFinding, confirming: Promise<boolean>): Promise<ResumePoint | undefined> {
		const {context: {clock}, versions} = this.#parts;
		// Others contradict, but do not vouch: however many they are, they may have started since the stream began, or lag behind the directory
		const mayVouch = () => versions.view(service, windowMs, clock.now()).coverageMs >= windowMs;
		if (!mayVouch() || !(await confirming) || !mayVouch()) {
			return undefined;
		}

		const services = [...new Set([service, ...shares.map(share => share.service)])];
		return findOnlyOrigin([
			...services.map(each => ({service: each, versions: versions.view(each, windowMs, clock.now()).versions})),
			...views.map(view => ({service, versions: view.versions})),
		]);
	}

	/** Where the stream began, by what engines held of it when hosts started. */
	async #findTraces({resumedId, lastEventId, ownPart}: RequestFacts, {shares}: Route): Promise<Pick<Lookup, 'source' | 'point' | 'isPending' | 'matches'>> {
		const received = Number(lastEventId);
		const queries = Number.isSafeInteger(received) && received > 0
			? [
				...(resumedId === undefined ? [] : [{key: toTraceKey('run', resumedId), leastSize: received, isExact: true}]),
				// An event has at least one token
				...(ownPart === undefined ? [] : [{key: toTraceKey('part', ownPart.id), leastSize: ownPart.tokens + received, isExact: false}]),
			]
			: [];
		if (queries.length === 0) {
			return {source: 'unknown'};
		}

		const {traces, unheard} = await this.#parts.traces.find(queries.map(({key}) => key));
		const isRouted = (origin: StreamOrigin) => shares.some(({service}) => service === origin.service);
		const expected = unheard?.filter(each => isRouted(each));
		const routed = traces.filter(trace => isRouted(trace));
		const matches = listMatches(queries, routed);
		const origin = findTracedOrigin(queries, routed, expected);
		if (origin === undefined) {
			return {source: 'unknown', isPending: expected?.length !== 0, matches};
		}

		return origin === 'ambiguous' ? {source: 'ambiguous', matches} : {source: 'engine', point: origin, matches};
	}

	/** Whether every host asked has replied, or there is none to ask. */
	#isUnanimous({asked, silent}: Pick<Lookup, 'asked' | 'silent'>): boolean {
		return silent === 0 && (asked > 0 || this.#hasNoPeers());
	}

	/** Whether the directory, read after `at`, has shown this host all that it lists. */
	#isConfirmedSince(at: number): boolean {
		return this.#parts.watch().listedAt >= at;
	}

	#hasNoPeers(): boolean {
		const {seeds, listen} = this.#parts.context.settings;
		return seeds.every(seed => seed === (listen.advertisedPeer ?? listen.peer));
	}
}

/** What hosts have seen of a service, for a log line: all versions, and the longest and shortest time over which a host has seen all changes. */
function summarize(views: readonly VersionView[]) {
	const coverages = views.map(({coverageMs}) => Math.round(coverageMs));
	return views.length === 0
		? {}
		: {
			versions: [...new Set(views.flatMap(({versions}) => versions))].join(' '), longestCoverageMs: Math.max(...coverages), shortestCoverageMs: Math.min(...coverages),
		};
}

/** Whether a host has seen all changes for as long as the stream can have lasted. */
function describeCoverage(views: readonly VersionView[], windowMs: number): string {
	if (views.length === 0) {
		return 'not needed';
	}

	return views.some(({coverageMs}) => coverageMs >= windowMs) ? 'whole' : 'partial';
}

/** Kind of the best evidence that engines gave of a stream's version: its own run, or a cached part of its prompt, which does not name the attempt that made it. */
function findEvidence(matches: readonly TraceMatch[]): 'run' | 'part' | 'none' {
	if (matches.length === 0) {
		return 'none';
	}

	return matches.some(({query}) => query.isExact) ? 'run' : 'part';
}

/** A trace in a log line: its kind, its version, and its size beside that of what the caller has. */
function describeMatch({trace: {softwareVersion, size}, query: {isExact, leastSize}}: TraceMatch): string {
	return `${isExact ? 'run' : 'part'} ${softwareVersion} ${size}/${leastSize}`;
}

function hasPosition(lastEventId: string | undefined): boolean {
	return lastEventId !== undefined && lastEventId !== '';
}

/** Time for which a stream may be resumed, in milliseconds. */
function lifeOf({timeoutMs}: Route, facts: RequestFacts): number {
	return Math.min(maxLifeMs, (lifeFactor * Math.max(timeoutMs, facts.timeoutMs ?? 0)) + lifeMarginMs);
}
