/** Where a resumed stream goes on, by each source of its version, and which rejections have a Retry-After. */
import {describe, it} from 'node:test';
import {RunTraces, type RunTrace} from '@gatehead/policy/relay/run-traces';
import {type StreamOrigin, type StreamRecord} from '@gatehead/policy/relay/stream-records';
import {VersionHistory, type VersionView} from '@gatehead/policy/relay/version-history';
import {ignore} from '@gatehead/policy/utils/ignore';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {toFailure} from '@gatehead/schema/failure';
import {relaySettings} from '@gatehead/schema/relay-settings';
import {type Route} from '@gatehead/schema/routing';
import {expect} from 'earl';
import {type RequestFacts} from '../core/dialect.js';
import {type StreamQuestion} from '../peer/stream-registry.js';
import {Metrics} from '../utils/metrics.js';
import {toTraceKey} from '../upstream/run-survey.js';
import {type Job} from './job.js';
import {isResumption, StreamVersions, toStreamKey} from './stream-versions.js';

const service = 'model';
/** Time for which a stream of the route may be resumed: twice its timeout and 10 s, in milliseconds. */
const windowMs = 38_000;
const unknownRetryAfterMs = 300;
const maxOpenLookups = 500;

const route: Route = {
	name: 'r', authority: 'a', pathPrefix: '/', kind: 'stream', isResumable: true, maxAttempts: 3, timeoutMs: 14_000, targetMs: 1000, priority: 0, shares: [{service, weight: 1}, {service: 'other', weight: 1}],
};

/** A caller that has 20 events of an attempt, and names it. */
const resuming: RequestFacts = {
	id: 'second', timeoutMs: 14_000, promptTokens: 500, answerTokens: 100, lastEventId: '20', resumedId: 'first', sharedParts: ['shared'], ownPart: {id: 'own', tokens: 400}, countedTokens: 600,
};

const settings = relaySettings.parse({
	host: 'host-0', hall: 'a', region: 'r', seeds: ['127.0.0.1:4', '127.0.0.1:5'], listen: {
		caller: '127.0.0.1:1', ready: '127.0.0.1:2', lookup: '127.0.0.1:3', peer: '127.0.0.1:4',
	},
});

type Surroundings = {
	/** Record that a host has of the attempt `first`. */
	readonly record?: Omit<StreamRecord, 'expiresAt'>;
	/** Record that a host has of an earlier request with the same own part. */
	readonly unseen?: Omit<StreamRecord, 'expiresAt'>;
	/** Versions of the route's other service. */
	readonly listedElsewhere?: readonly string[];
	/** Versions in this host's directory, and the time for which it has seen all changes, in milliseconds. */
	readonly listed: readonly string[];
	readonly coverageMs: number;
	/** What other hosts have seen. */
	readonly views?: readonly VersionView[];
	/** Hosts that did not reply. */
	readonly silent?: number;
	readonly traces?: readonly RunTrace[];
	/** Whether all hosts have asked their engines. */
	readonly isSurveyed?: boolean;
	/** What engines have not answered, while they are asked; absent: any. */
	readonly unheard?: readonly StreamOrigin[];
	/** Whether the directory replies. */
	readonly isConfirmed?: boolean;
	/** Whether this host has heard of the fleet since its start. */
	readonly hasMetOthers?: boolean;
};

type Refusal = {
	readonly refused: string;
	readonly retryAfterMs: number | undefined;
};

/** A version, or undefined where a stream may begin anew; or a refusal. */
type Outcome = Refusal | {readonly version: string | undefined; readonly service?: string};

type Case = Surroundings & {
	readonly name: string;
	readonly facts?: Partial<RequestFacts>;
	readonly outcome: Outcome;
	/** Whether traces are looked for. */
	readonly isTraced: boolean;
};

function trace(subject: 'run' | 'part', id: string, softwareVersion: string, size: number): RunTrace {
	return {
		key: toTraceKey(subject, id), service, softwareVersion, size, expiresAt: Number.POSITIVE_INFINITY,
	};
}

class ResumedStreams {
	readonly clock = new ManualClock();
	readonly versions = new VersionHistory();
	readonly questions: StreamQuestion[] = [];
	readonly queries: string[] = [];
	readonly recordedKeys: string[] = [];
	/** Keys of records that holders were asked for. */
	readonly heldKeys: string[] = [];
	readonly streams: StreamVersions;
	#listedAt = -1;

	constructor({record, unseen, listed, listedElsewhere = [], coverageMs, views = [], silent = 0, traces = [], isSurveyed = true, unheard, isConfirmed = true, hasMetOthers = true}: Surroundings) {
		for (const [index, softwareVersion] of listed.entries()) {
			this.versions.see({id: `e${index}`, service, softwareVersion}, 0);
		}

		for (const [index, softwareVersion] of listedElsewhere.entries()) {
			this.versions.see({id: `o${index}`, service: 'other', softwareVersion}, 0);
		}

		this.clock.advance(coverageMs);
		const held = new RunTraces(100);
		for (const each of traces) {
			held.add(each);
		}

		this.streams = new StreamVersions({
			context: {
				clock: this.clock, log: ignore, metrics: new Metrics(undefined, {}), settings,
			},
			registry: {
				record: async key => {
					this.recordedKeys.push(key);
				},
				findAtHolders: async ({key}) => {
					this.heldKeys.push(key);
					return unseen === undefined ? undefined : {...unseen, expiresAt: Number.POSITIVE_INFINITY};
				},
				find: async question => {
					this.questions.push(question);
					const known = question.key === toStreamKey(undefined, 'first') && record !== undefined ? {...record, expiresAt: Number.POSITIVE_INFINITY} : undefined;
					return {
						record: known, source: known === undefined ? undefined : 'host-1', views, asked: 3, silent,
					};
				},
			},
			traces: {
				find: async keys => {
					this.queries.push(...keys);
					return {traces: keys.flatMap(key => held.get(key, 0)), isComplete: isSurveyed, unheard: isSurveyed ? [] : unheard};
				},
			},
			versions: this.versions,
			hasMetOthers: () => hasMetOthers,
			watch: () => ({
				listedAt: this.#listedAt,
				confirm: async () => {
					this.#listedAt = isConfirmed ? this.clock.now() : -1;
				},
			}),
		});
	}

	async resume(facts: Partial<RequestFacts> = {}): Promise<Outcome> {
		try {
			const point = await this.streams.resolve({
				facts: {...resuming, ...facts}, workspace: undefined, route, service,
			});
			return {version: point?.softwareVersion, ...(point === undefined || point.service === service ? {} : {service: point.service})};
		} catch (error) {
			const {code, detail, retryAfterMs} = toFailure(error);
			expect(code).toEqual('streamVersionUnknown');
			return {refused: detail ?? '', retryAfterMs};
		}
	}
}

const final = (refused: string): Refusal => ({refused, retryAfterMs: undefined});
const later = (refused: string): Refusal => ({refused, retryAfterMs: unknownRetryAfterMs});
const whole = {listed: ['v1'], coverageMs: windowMs};
const restarted = {listed: ['v1'], coverageMs: 2000};
const side: Surroundings = {listed: ['v1', 'v2'], coverageMs: 2000};

const cases: readonly Case[] = [
	{
		name: 'a record', ...side, record: {service, softwareVersion: 'v1', isAmbiguous: false}, outcome: {version: 'v1'}, isTraced: false,
	},
	{
		name: 'a record of a version that is not listed', ...restarted, record: {service, softwareVersion: 'v0', isAmbiguous: false}, outcome: {version: 'v0'}, isTraced: false,
	},
	{
		name: 'a record of another service', ...side, record: {service: 'other', softwareVersion: 'v1', isAmbiguous: false}, outcome: {version: 'v1', service: 'other'}, isTraced: false,
	},
	{
		name: 'a record and a trace of another version',
		...side, record: {service, softwareVersion: 'v1', isAmbiguous: false}, traces: [trace('run', 'first', 'v2', 50)], outcome: {version: 'v1'}, isTraced: false,
	},
	{
		name: 'an ambiguous record', ...whole, record: {service, softwareVersion: 'v1', isAmbiguous: true}, outcome: final('ambiguous'), isTraced: false,
	},
	{
		name: 'one version, seen by this host for as long as the stream can have lasted', ...whole, outcome: {version: 'v1'}, isTraced: false,
	},
	{
		name: 'one version, seen a millisecond less long', ...whole, coverageMs: windowMs - 1, outcome: final('unknown'), isTraced: true,
	},
	{
		// The other host may lag behind the directory
		name: 'one version, seen by another host for that long',
		...restarted, views: [{versions: ['v1'], coverageMs: 2000}, {versions: ['v1'], coverageMs: windowMs}], outcome: final('unknown'), isTraced: true,
	},
	{
		name: 'one version, seen by hosts that have all restarted',
		...restarted, views: [{versions: ['v1'], coverageMs: 2000}, {versions: ['v1'], coverageMs: 3000}], outcome: final('unknown'), isTraced: true,
	},
	{
		name: 'one version here, another that a host has seen leave', ...whole, views: [{versions: ['v0', 'v1'], coverageMs: windowMs}], outcome: final('unknown'), isTraced: true,
	},
	{
		// The stream may have begun at either service
		name: 'one version, another one at the route\'s other service', ...whole, listedElsewhere: ['v2'], outcome: final('unknown'), isTraced: true,
	},
	{
		name: 'the same version at both services of the route', ...whole, listedElsewhere: ['v1'], outcome: final('unknown'), isTraced: true,
	},
	{
		name: 'one version, at the route\'s other service only', ...whole, listed: [], listedElsewhere: ['v1'], outcome: {version: 'v1', service: 'other'}, isTraced: false,
	},
	{
		name: 'one version, but the directory does not reply', ...whole, isConfirmed: false, outcome: later('unknown'), isTraced: true,
	},
	{
		name: 'one version, and some hosts are silent', ...whole, silent: 2, outcome: {version: 'v1'}, isTraced: false,
	},
	{
		name: 'one version, seen for too short a time, and the engine of another has the run',
		...restarted, traces: [trace('run', 'first', 'v0', 50)], outcome: {version: 'v0'}, isTraced: true,
	},
	{
		name: 'the engine has the run', ...side, traces: [trace('run', 'first', 'v1', 50)], outcome: {version: 'v1'}, isTraced: true,
	},
	{
		name: 'the engine has made as many events', ...side, traces: [trace('run', 'first', 'v1', 20)], outcome: {version: 'v1'}, isTraced: true,
	},
	{
		name: 'the engine has made fewer events', ...side, traces: [trace('run', 'first', 'v1', 19)], outcome: final('unknown'), isTraced: true,
	},
	{
		name: 'the run of another attempt', ...side, traces: [trace('run', 'second', 'v1', 50)], outcome: final('unknown'), isTraced: true,
	},
	{
		name: 'the engine of a service that the route does not name has the run',
		...side, traces: [{...trace('run', 'first', 'v1', 50), service: 'unrouted'}], outcome: final('unknown'), isTraced: true,
	},
	{
		name: 'the engine of another service has the run',
		...side, traces: [{...trace('run', 'first', 'v1', 50), service: 'other'}], outcome: {version: 'v1', service: 'other'}, isTraced: true,
	},
	{
		name: 'the engine has the part with what was generated', ...side, traces: [trace('part', 'own', 'v1', 420)], outcome: {version: 'v1'}, isTraced: true,
	},
	{
		name: 'the engine has the part with fewer tokens than the caller has events', ...side, traces: [trace('part', 'own', 'v1', 419)], outcome: final('unknown'), isTraced: true,
	},
	{
		name: 'the engine has the part as a prefill leaves it', ...side, traces: [trace('part', 'own', 'v1', 400)], outcome: final('unknown'), isTraced: true,
	},
	{
		name: 'engines have a shared part', ...side, traces: [trace('part', 'shared', 'v1', 9000)], outcome: final('unknown'), isTraced: true,
	},
	{
		name: 'the part, from a caller that names no attempt', ...side, facts: {resumedId: undefined}, traces: [trace('part', 'own', 'v1', 420)], outcome: {version: 'v1'}, isTraced: true,
	},
	{
		name: 'the run, from a caller without an own part', ...side, facts: {ownPart: undefined}, traces: [trace('run', 'first', 'v1', 50)], outcome: {version: 'v1'}, isTraced: true,
	},
	{
		name: 'neither an attempt nor an own part',
		...side, facts: {resumedId: undefined, ownPart: undefined}, traces: [trace('run', 'first', 'v1', 50)], outcome: final('unknown'), isTraced: false,
	},
	{
		name: 'engines of two versions have the run', ...side, traces: [trace('run', 'first', 'v1', 50), trace('run', 'first', 'v2', 30)], outcome: final('ambiguous'), isTraced: true,
	},
	{
		name: 'engines of two versions have the run, one with fewer events',
		...side, traces: [trace('run', 'first', 'v1', 50), trace('run', 'first', 'v2', 10)], outcome: {version: 'v1'}, isTraced: true,
	},
	{
		name: 'one engine has the run, one of another version the part',
		...side, traces: [trace('run', 'first', 'v1', 50), trace('part', 'own', 'v2', 450)], outcome: final('ambiguous'), isTraced: true,
	},
	{
		name: 'contradicting engines, while hosts are still asking',
		...side, isSurveyed: false, traces: [trace('run', 'first', 'v1', 50), trace('run', 'first', 'v2', 30)], outcome: final('ambiguous'), isTraced: true,
	},
	{
		name: 'no trace, all engines asked', ...side, outcome: final('unknown'), isTraced: true,
	},
	{
		name: 'no trace, while hosts are still asking', ...side, isSurveyed: false, outcome: later('unknown'), isTraced: true,
	},
	{
		name: 'the run, while hosts are still asking', ...side, isSurveyed: false, traces: [trace('run', 'first', 'v1', 50)], outcome: {version: 'v1'}, isTraced: true,
	},
	{
		// An engine of another version may have run an earlier attempt with the same part
		name: 'the part only, while hosts are still asking', ...side, isSurveyed: false, traces: [trace('part', 'own', 'v1', 450)], outcome: later('unknown'), isTraced: true,
	},
	{
		name: 'the part only, while engines of its version are still asked', ...side, isSurveyed: false, unheard: [{service, softwareVersion: 'v1'}], traces: [trace('part', 'own', 'v1', 450)], outcome: {version: 'v1'}, isTraced: true,
	},
	{
		name: 'the part only, while engines of another version are still asked', ...side, isSurveyed: false, unheard: [{service, softwareVersion: 'v1'}, {service, softwareVersion: 'v2'}], traces: [trace('part', 'own', 'v1', 450)], outcome: later('unknown'), isTraced: true,
	},
	{
		name: 'the part only, while engines of a service that the route does not use are still asked', ...side, isSurveyed: false, unheard: [{service: 'unused', softwareVersion: 'v2'}], traces: [trace('part', 'own', 'v1', 450)], outcome: {version: 'v1'}, isTraced: true,
	},
	{
		name: 'no trace, while engines of a service that the route does not use are still asked', ...side, isSurveyed: false, unheard: [{service: 'unused', softwareVersion: 'v2'}], outcome: final('unknown'), isTraced: true,
	},

	{
		name: 'no trace, and a host that may have the record is silent', ...side, silent: 1, outcome: later('unknown'), isTraced: true,
	},
	{
		name: 'no trace, and other hosts are not known yet', ...side, hasMetOthers: false, outcome: later('unknown'), isTraced: true,
	},
	{
		name: 'no trace, and the directory does not reply', ...side, isConfirmed: false, outcome: later('unknown'), isTraced: true,
	},
	{
		name: 'no position, but a record', ...side, facts: {lastEventId: undefined}, record: {service, softwareVersion: 'v1', isAmbiguous: false}, outcome: {version: 'v1'}, isTraced: false,
	},
	{
		name: 'no position', ...side, facts: {lastEventId: undefined}, traces: [trace('run', 'first', 'v1', 50)], outcome: {version: undefined}, isTraced: false,
	},
	{
		name: 'an empty position', ...side, facts: {lastEventId: ''}, outcome: {version: undefined}, isTraced: false,
	},
	...['abc', '0', '-1', '1.5', 'NaN', 'Infinity', '9007199254740992', ' '].map((lastEventId): Case => ({
		name: `a malformed position: ${lastEventId}`, ...side, facts: {lastEventId}, traces: [trace('run', 'first', 'v1', 50), trace('part', 'own', 'v1', 450)], outcome: final('unknown'), isTraced: false,
	})),
	{
		name: 'a malformed position, but one version', ...whole, facts: {lastEventId: 'abc'}, outcome: {version: 'v1'}, isTraced: false,
	},
];

describe('version of a resumed stream', () => {
	for (const {name, facts, outcome, isTraced, ...surroundings} of cases) {
		it(name, async () => {
			const fixture = new ResumedStreams(surroundings);
			expect(await fixture.resume(facts)).toEqual(outcome);
			expect(fixture.queries.length > 0).toEqual(isTraced);
			expect(fixture.questions.map(question => question.windowMs)).toEqual([windowMs]);
		});
	}

	it('lookups at a time are bounded, and those beyond are told to come back', async () => {
		const fixture = new ResumedStreams({...side, traces: [trace('run', 'first', 'v1', 50)]});
		const outcomes = await Promise.all(Array.from({length: maxOpenLookups + 2}, async () => fixture.resume()));
		expect(outcomes.filter(outcome => 'refused' in outcome)).toEqual([later('unknown'), later('unknown')]);
		expect(fixture.questions.length).toEqual(maxOpenLookups);
		expect(await fixture.resume()).toEqual({version: 'v1'});
	});
});

type UnseenCase = Surroundings & {
	readonly name: string;
	readonly facts?: Partial<RequestFacts>;
	readonly isResumable?: boolean;
	readonly version: string | undefined;
	/** Whether holders are asked. */
	readonly isAsked: boolean;
};

const unseenRecord = {service, softwareVersion: 'v2', isAmbiguous: false};

const unseenCases: readonly UnseenCase[] = [
	{
		name: 'a record', ...side, unseen: unseenRecord, version: 'v2', isAsked: true,
	},
	{
		name: 'no record', ...side, version: undefined, isAsked: true,
	},
	{
		name: 'records of two versions', ...side, unseen: {...unseenRecord, isAmbiguous: true}, version: undefined, isAsked: true,
	},
	{
		name: 'a record of another service', ...side, unseen: {...unseenRecord, service: 'other'}, version: undefined, isAsked: true,
	},
	{
		name: 'one version only', ...whole, unseen: unseenRecord, version: undefined, isAsked: false,
	},
	{
		name: 'no own part', ...side, facts: {ownPart: undefined}, unseen: unseenRecord, version: undefined, isAsked: false,
	},
	{
		name: 'a route whose streams cannot be resumed', ...side, isResumable: false, unseen: unseenRecord, version: undefined, isAsked: false,
	},
];

// A caller's new request went to another version than the run whose answer was lost
describe('version of an earlier request that may have run in vain', () => {
	for (const {name, facts, isResumable = true, version, isAsked, ...surroundings} of unseenCases) {
		it(name, async () => {
			const {streams, heldKeys, recordedKeys} = new ResumedStreams(surroundings);
			const request = {
				facts: {
					...resuming, lastEventId: undefined, resumedId: undefined, ...facts,
				}, workspace: undefined, route: {...route, isResumable}, service,
			};
			expect(await streams.findUnseen(request)).toEqual(version);
			await streams.recordUnseen({...request, service: {name: service}} as unknown as Job, 'v2'); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- no other properties of a job are read
			expect(heldKeys).toEqual(recordedKeys);
			expect(heldKeys.length).toEqual(isAsked ? 1 : 0);
		});
	}
});

type ResumptionCase = {
	readonly lastEventId: string | undefined;
	readonly resumedId: string | undefined;
	readonly isResumable: boolean;
	readonly isResumption: boolean;
};

const resumptions: readonly ResumptionCase[] = [
	{
		lastEventId: '3', resumedId: 'first', isResumable: true, isResumption: true,
	},
	{
		lastEventId: '3', resumedId: undefined, isResumable: true, isResumption: true,
	},
	{
		lastEventId: undefined, resumedId: 'first', isResumable: true, isResumption: true,
	},
	{
		lastEventId: '', resumedId: undefined, isResumable: true, isResumption: false,
	},
	{
		lastEventId: undefined, resumedId: undefined, isResumable: true, isResumption: false,
	},
	{
		lastEventId: '3', resumedId: 'first', isResumable: false, isResumption: false,
	},
];

describe('requests that resume a stream', () => {
	for (const {isResumable, isResumption: expected, ...facts} of resumptions) {
		it(JSON.stringify({...facts, isResumable}), () => {
			expect(isResumption({...resuming, ...facts}, {...route, isResumable})).toEqual(expected);
		});
	}
});
