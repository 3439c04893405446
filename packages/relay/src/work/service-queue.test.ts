/** When a host asks replicas, and what it tells rejected callers, with and without load management. */
import {describe, it} from 'node:test';
import {ignore} from '@gatehead/policy/utils/ignore';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {seedRandom} from '@gatehead/policy/utils/random';
import {loadReport} from '@gatehead/schema/relay-message';
import {expect} from 'earl';
import {Metrics} from '../utils/metrics.js';
import {type ReservationRequest} from './replica-search.js';
import {ServiceQueue, type AdmissionParts, type AdmissionResult} from './service-queue.js';

const service = 'model';
const engine = {
	capacityTokens: 68_883, resultLifeMs: 1000, reservationMs: 2000, slots: 12, eventTokens: 76,
};

type Options = {
	readonly isLoadManaged: boolean;
	/** Software versions of the endpoints that the host knows; absent: any. */
	readonly versions?: string[];
	/** What a read of the directory shows; absent: it does not answer. */
	readonly listed?: readonly string[];
	readonly workspaces?: ReadonlyArray<{readonly name: string; readonly priority: number}>;
	/** Whether a request that begins now can end before the host does; absent: it can. */
	readonly mayBegin?: boolean;
};

class Host {
	readonly clock = new ManualClock();
	/** Requests for which replicas were asked. */
	readonly asked: string[] = [];
	readonly queue: ServiceQueue;
	/** Whether the replicas have memory. */
	hasMemory = false;

	constructor({isLoadManaged, versions, listed, workspaces, mayBegin = true}: Options) {
		const used = {
			context: {
				clock: this.clock, log: ignore, metrics: new Metrics(undefined, {}), random: seedRandom(3), settings: {experiments: {off: []}},
			},
			endpoints: {
				countDecode: () => 2, hasOwnDecode: () => false, hasVersion: (_service: string, _stage: string, version: string) => versions?.includes(version) ?? true, recordMemoryInUse: ignore, managed: {holdFactorOf: () => 1},
			},
			evidence: {
				isComplete: () => listed !== undefined,
				async refresh() {
					versions?.push(...listed ?? []);
				},
			},
			news: {
				countWaitingAtPeers: () => 0, announceWaiting: ignore, announceReservation: ignore, subsetSize: 2, fleetSize: 2,
			},
			reachability: {isUnreachable: () => false},
			routing: {isLoadManaged, table: {routing: {services: [{name: service, engine}], workspaces}}},
			calls: {cancelReservation: ignore},
			stopWindow: {mayBegin: () => mayBegin},
		};
		const parts = used as unknown as AdmissionParts; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the queue uses nothing else of its dependencies
		this.queue = new ServiceQueue(service, parts, {
			find: async ({job}) => {
				this.asked.push(job.id);
				// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the queue reads only the endpoint's id
				return this.hasMemory ? {endpoint: {id: 'e'}, name: 'r', expiresAt: 0} as unknown as Awaited<ReturnType<ServiceQueue['tryReserve']>> : undefined;
			},
		});
	}

	makeRequest(id: string, {workspace, isContinuation = false, isCallerRetry = false, softwareVersion}: {readonly workspace?: string; readonly isContinuation?: boolean; readonly isCallerRetry?: boolean; readonly softwareVersion?: string} = {}): ReservationRequest {
		const read = {
			id,
			route: {targetMs: 909, priority: 0},
			service: {name: service, engine},
			workspace: workspace === undefined ? undefined : {name: workspace, priority: 0},
			facts: {},
			arrivedAt: this.clock.now(),
			deadlineAt: this.clock.now() + 14_000,
			isCallerRetry,
			sends: 0,
			signal: new AbortController().signal,
		};
		const job = read as unknown as ReservationRequest['job']; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the queue reads no other properties of a job
		return {
			job, tokens: 10_000, ttlMs: 2000, capacityTokens: engine.capacityTokens, avoid: new Set(), isContinuation, softwareVersion,
		};
	}

	/** Reports heads of a peer that are older than all requests here. */
	receiveHeads(count: number): void {
		const head = {
			urgency: 0, ageMs: 300, leftMs: 400, isReturn: false, tokens: 9984,
		};
		this.queue.receiveReport('peer', loadReport.parse({heads: Array.from({length: count}, () => head)}));
	}

	/** Has a request wait; returns its outcome after polls for `waitMs`. */
	async serveFor(request: ReservationRequest, waitMs: number): Promise<AdmissionResult | undefined> {
		let result: AdmissionResult | undefined;
		void this.queue.wait(request).then(each => {
			result = each;
		});
		for (let waited = 0; waited < waitMs; waited += 60) {
			this.clock.advance(60);
			await this.queue.serve();
		}

		return result;
	}
}

describe('service queue', () => {
	for (const {name, isLoadManaged, heads, isContinuation, asks} of [
		{
			name: 'without load management, heads of peers are ignored', isLoadManaged: false, heads: 6, isContinuation: false, asks: true,
		},
		{
			name: 'a new request behind many heads of peers does not ask', isLoadManaged: true, heads: 6, isContinuation: false, asks: false,
		},
		{
			name: 'a new request asks if nobody waits', isLoadManaged: true, heads: 0, isContinuation: false, asks: true,
		},
		{
			name: 'a started stream asks whoever waits', isLoadManaged: true, heads: 6, isContinuation: true, asks: true,
		},
	]) {
		it(name, async () => {
			const host = new Host({isLoadManaged});
			host.receiveHeads(heads);
			await host.queue.tryReserve(host.makeRequest('r', {isContinuation}));
			expect(host.asked).toEqual(asks ? ['r'] : []);
		});
	}

	// A host that was stopped or cut off told the caller finally that no endpoint runs the version, while some did
	for (const {name, versions, listed, isRefused, isFinal} of [
		{
			name: 'is known, goes on', versions: ['v2'], listed: undefined, isRefused: false, isFinal: false,
		},
		{
			name: 'joined while the host lagged, goes on once the directory has been read', versions: ['v1'], listed: ['v1', 'v2'], isRefused: false, isFinal: false,
		},
		{
			name: 'is unknown while the directory does not answer, is refused with Retry-After', versions: ['v1'], listed: undefined, isRefused: true, isFinal: false,
		},
		{
			name: 'is not in the directory, is refused finally', versions: ['v1'], listed: ['v1'], isRefused: true, isFinal: true,
		},
	]) {
		for (const isLoadManaged of [false, true]) {
			it(`a stream whose version ${name}${isLoadManaged ? ', where load is managed' : ''}`, async () => {
				const host = new Host({isLoadManaged, versions, ...(listed === undefined ? {} : {listed})});
				host.hasMemory = true;
				const request = host.makeRequest('r', {softwareVersion: 'v2'});
				const first = await host.queue.checkVersion(request);
				const waited = await host.serveFor(request, 180);
				for (const result of [first, ...(isRefused ? [waited] : [])]) {
					expect(result?.kind === 'refused' ? [result.code, result.retryAfterMs === undefined] : undefined).toEqual(isRefused ? ['streamVersionGone', isFinal] : undefined);
				}

				expect(waited?.kind).toEqual(isRefused ? 'refused' : 'granted');
				expect(host.asked).toEqual(isRefused ? [] : ['r']);
			});
		}
	}

	// A request without memory waited for the end of the stop although it was known that it could not begin any more
	for (const {name, mayBegin, isContinuation, expected} of [
		{
			name: 'a request that could not end before its host', mayBegin: false, isContinuation: false, expected: 'hostStopping',
		},
		{
			name: 'a stream that its caller has a part of', mayBegin: false, isContinuation: true, expected: undefined,
		},
		{
			name: 'a request that can end before its host', mayBegin: true, isContinuation: false, expected: undefined,
		},
	]) {
		for (const isLoadManaged of [false, true]) {
			it(`${name} ${expected === undefined ? 'waits on' : 'is refused at once'} at a stopping host${isLoadManaged ? ', where load is managed' : ''}`, async () => {
				const host = new Host({isLoadManaged, mayBegin});
				const outcome = await host.serveFor(host.makeRequest('r', {isContinuation}), 120);
				const seen: string | undefined = outcome?.kind === 'refused' ? outcome.code : outcome?.kind;
				expect(seen).toEqual(expected);
			});
		}
	}

	it('a request asks once the placements of peers have taken those ahead out of the order', async () => {
		const host = new Host({isLoadManaged: true});
		host.receiveHeads(4);
		host.hasMemory = true;
		expect(await host.queue.tryReserve(host.makeRequest('early'))).toEqual(undefined);
		for (let placed = 0; placed < 4; placed += 1) {
			host.queue.receivePlacement('peer', 9984);
		}

		const reservation = await host.queue.tryReserve(host.makeRequest('later'));
		expect(reservation?.endpoint.id).toEqual('e');
	});

	it('a first attempt that cannot be on time is rejected within a quarter of its target, a retry and a continuation are not', async () => {
		const outcomes = await Promise.all([{}, {isCallerRetry: true}, {isContinuation: true}].map(async changes => {
			const host = new Host({isLoadManaged: true});
			host.receiveHeads(8);
			return host.serveFor(host.makeRequest('r', changes), 180);
		}));
		expect(outcomes.map(outcome => outcome?.kind)).toEqual(['refused', undefined, undefined]);
		const [refused] = outcomes;
		expect(refused?.kind === 'refused' && refused.code === 'overloaded' && (refused.retryAfterMs ?? 0) > 500 && (refused.retryAfterMs ?? 0) <= 4620).toEqual(true);
	});

	it('only first attempts of the workspace that exceeds its share are rejected with the detail `share`', async () => {
		const details = await Promise.all([{workspace: 'large'}, {workspace: 'small'}, {workspace: 'large', isContinuation: true}].map(async changes => {
			const host = new Host({isLoadManaged: true, workspaces: [{name: 'large', priority: 0}, {name: 'small', priority: 0}]});
			const capacity = 2 * engine.capacityTokens;
			host.queue.receiveReport('peer', loadReport.parse({
				use: [{workspace: 'large', tokenSeconds: 20 * capacity}, {workspace: 'small', tokenSeconds: capacity}],
			}));
			const outcome = await host.serveFor(host.makeRequest('r', changes), 120);
			return outcome?.kind === 'refused' ? outcome.detail : undefined;
		}));
		expect(details).toEqual(['share', undefined, undefined]);
	});

	it('without load management, usage and reports reject nothing, and the retry delay stays as it was', async () => {
		const host = new Host({isLoadManaged: false, workspaces: [{name: 'large', priority: 0}]});
		host.queue.receiveReport('peer', loadReport.parse({use: [{workspace: 'large', tokenSeconds: 1e7}]}));
		expect(await host.serveFor(host.makeRequest('r', {workspace: 'large'}), 120)).toEqual(undefined);
		const refused = await host.serveFor(host.makeRequest('late', {workspace: 'large'}), 660);
		expect(refused?.kind === 'refused' && !refused.detail.includes('share') && (refused.retryAfterMs ?? 0) >= 3600).toEqual(true);
	});
});
