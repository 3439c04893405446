/**
 * Gossip about load among hosts that share endpoints: prompts sent to prefill
 * replicas, reserved decode memory, and waiting requests. In a large fleet
 * these are the hosts of one subset. Messages may be late or lost.
 */
import {GossipBudget} from '@gatehead/policy/relay/gossip-budget';
import {
	countSubsets, assignSubsets, wholeFleet, type Subset,
} from '@gatehead/policy/relay/subsets';
import {type Timer} from '@gatehead/policy/utils/clock';
import {describeFaults} from '@gatehead/schema/check';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {
	loadReport, type LoadReport, type LoadReportDraft, type RelayMessage, type RelayMessageOf,
} from '@gatehead/schema/relay-message';
import {type RelayContext} from '../core/context.js';
import {isOff} from '../core/experiment.js';
import {type Endpoints} from '../upstream/endpoints.js';
import {WaitingCounts} from './waiting-counts.js';

/** Number of peers up to which waiting counts are sent immediately; each waiting request changes its count twice, so more peers would cost too much CPU time. */
const maxImmediatePeers = 12;
/** Time for which waiting counts are batched with more peers, in milliseconds: about as long as a request waits before its admission is decided. */
const countBatchMs = 200;

/** Interval of load reports while requests wait, in milliseconds. The queue order over hosts needs heads that are at most this old; with twice the interval, simulated fleets rejected returning callers again more than once in fifty. */
const busyReportMs = 500;
/** Interval of load reports while none wait, in milliseconds. Each report costs up to thirty peers processor time, and placements are announced at once in any case. */
const idleReportMs = 1000;
/** Time after a request last waited, here or at a peer, for which reports stay frequent, in milliseconds; longer than the pause between two waits at a host that sees one stream in three seconds. */
const busyMemoryMs = 3000;

/** Contributes to load reports and receives those of other hosts. */
export type LoadReportPart = {
	/** Returns this part's fields for a service; none if it has nothing to report. */
	readonly collect: (service: string, now: number) => Partial<LoadReportDraft>;
	/** Handles a report of another host of the subset. */
	readonly receive: (host: string, service: string, report: LoadReport, now: number) => void;
	/** Handles a reservation that another host of the subset has just made. */
	readonly receivePlacement?: (host: string, endpoint: string, tokens: number, now: number) => void;
};

/** Dependencies of the gossip. */
export type LoadGossipParts = {
	/** Services whose load is managed; none where the configuration does not call for it. */
	readonly listManagedServices: () => readonly string[];
	readonly context: Pick<RelayContext, 'clock' | 'log' | 'self' | 'settings'>;
	readonly endpoints: Endpoints;
	readonly send: (host: string, message: RelayMessage) => void;
};

/** This host's subset, and its other live hosts. */
type SubsetPeers = {
	readonly subset: Subset;
	readonly peers: readonly string[];
};

/** Exchanges load with the peers in this host's subset. */
export class LoadGossip {
	readonly #parts: LoadGossipParts;
	readonly #budget: GossipBudget;
	readonly #waiting = new WaitingCounts();
	/** Messages to send with the next flush. */
	#pending: RelayMessage[] = [];
	/** Unsent counts of waiting requests by service; only the latest is sent. */
	readonly #pendingCounts = new Map<string, number>();
	/** Counts of waiting requests as last sent, by service. */
	readonly #announcedCounts = new Map<string, number>();
	#members: readonly MemberRecord[] = [];
	/** Computed from the members on first use; undefined after a membership change. */
	#subsetPeers: SubsetPeers | undefined;
	/** Subset as last logged. */
	#loggedSubset = wholeFleet;
	readonly #reportParts: LoadReportPart[] = [];
	/** Services of which the last report had content; peers are told once that it has none any more. */
	readonly #reported = new Set<string>();
	#reportedAt = 0;
	/** When a request last waited for a managed service, here or at a peer. */
	#busyAt = Number.NEGATIVE_INFINITY;
	#reportTimer: Timer | undefined;
	#timer: Timer | undefined;
	/** Time at which the timer fires. */
	#dueAt = 0;

	constructor(parts: LoadGossipParts) {
		const {clock, settings} = parts.context;
		this.#parts = parts;
		this.#budget = new GossipBudget(settings.limits.loadMessages, clock.now());
	}

	/** Subset of this host. */
	get subset(): Subset {
		return this.#assignSubset().subset;
	}

	/** Replaces the member list. Subsets are computed lazily, because they are expensive in a large fleet and a fleet start causes as many changes as there are hosts. */
	setMembers(members: readonly MemberRecord[]): void {
		this.#members = members;
		this.#subsetPeers = undefined;
	}

	/** Adds a part to the load reports. */
	register(part: LoadReportPart): void {
		this.#reportParts.push(part);
	}

	/** Starts the periodic load reports. */
	start(): void {
		this.#reportedAt = this.#parts.context.clock.now();
		this.#scheduleReport();
	}

	/** Number of hosts in this host's subset, including itself. */
	get subsetSize(): number {
		return this.#assignSubset().peers.length + 1;
	}

	/** Number of live hosts of the fleet, including this one. */
	get fleetSize(): number {
		return Math.max(1, this.#members.filter(({state}) => state === 'alive').length);
	}

	/** Announces a prompt sent to a prefill replica. */
	announcePrompt(endpoint: string, tokens: number): void {
		if (isOff(this.#parts.context, 'peerReadings')) {
			return;
		}

		this.#enqueue({kind: 'reading', endpoint, tokens});
	}

	/** Announces memory reserved at a decode replica for an estimated `heldMs` milliseconds. */
	announceReservation(endpoint: string, tokens: number, heldMs: number): void {
		if (isOff(this.#parts.context, 'peerUse')) {
			return;
		}

		this.#enqueue({
			kind: 'placed', endpoint, tokens, heldMs,
		});
	}

	/** Announces the number of requests that wait for a service at this host. */
	announceWaiting(service: string, count: number): void {
		if (isOff(this.#parts.context, 'peerWaiting')) {
			return;
		}

		this.#pendingCounts.set(service, count);
		if (this.#parts.listManagedServices().includes(service)) {
			// The next report carries the count, beside the requests themselves
			this.#noteWaiting(count);
			return;
		}

		this.#schedule(this.#assignSubset().peers.length > maxImmediatePeers ? countBatchMs : 0);
	}

	/** Number of requests that wait for a service at the peers. */
	countWaitingAtPeers(service: string): number {
		return this.#waiting.sum(service, this.#parts.context.clock.now());
	}

	/** Records a prompt that a peer sent to a prefill replica. */
	receivePrompt({endpoint, tokens}: RelayMessageOf<'reading'>): void {
		const {endpoints, context: {clock}} = this.#parts;
		endpoints.queueOf(endpoint).add(tokens, clock.now());
	}

	/** Records memory that a peer reserved. */
	receiveReservation(host: string, {endpoint, tokens, heldMs}: RelayMessageOf<'placed'>): void {
		const {endpoints, context: {clock}, listManagedServices} = this.#parts;
		endpoints.recordMemoryInUse(endpoint, tokens, heldMs);
		const service = endpoints.book.serviceOf(endpoint);
		if (service === undefined || !listManagedServices().includes(service)) {
			return;
		}

		endpoints.memoryForecast.place(host, {
			service, endpoint, tokens, heldMs,
		}, clock.now());
		for (const part of this.#reportParts) {
			part.receivePlacement?.(host, endpoint, tokens, clock.now());
		}
	}

	/** Records a peer's number of waiting requests. */
	receiveWaiting(host: string, {service, count, report}: RelayMessageOf<'waiting'>): void {
		const now = this.#parts.context.clock.now();
		this.#waiting.set(service, host, count, now);
		if (report === undefined || !this.#parts.listManagedServices().includes(service)) {
			return;
		}

		this.#noteWaiting(count);
		for (const part of this.#reportParts) {
			part.receive(host, service, report, now);
		}
	}

	/** Stops sending. */
	close(): void {
		this.#timer?.stop();
		this.#reportTimer?.stop();
	}

	#assignSubset(): SubsetPeers {
		if (this.#subsetPeers !== undefined) {
			return this.#subsetPeers;
		}

		const {self} = this.#parts.context;
		// Suspected hosts usually return; excluding them would reassign other hosts needlessly
		const candidates = this.#members.filter(({state}) => state === 'alive' || state === 'suspect');
		const count = countSubsets(candidates.length);
		const assignments = assignSubsets(candidates.map(({host}) => host), count);
		const own = assignments.get(self.host) ?? 0;
		const peers = candidates.filter(({host, state}) => state === 'alive' && host !== self.host && assignments.get(host) === own).map(({host}) => host);
		this.#subsetPeers = {subset: {count, own}, peers};
		this.#logSubsetChange(this.#subsetPeers);
		return this.#subsetPeers;
	}

	#logSubsetChange({subset, peers}: SubsetPeers): void {
		if (subset.count === this.#loggedSubset.count && subset.own === this.#loggedSubset.own) {
			return;
		}

		this.#loggedSubset = subset;
		this.#parts.context.log('subsetChanged', {subsets: subset.count, subset: subset.own, hosts: peers.length + 1});
	}

	/** Makes reports frequent if requests wait. */
	#noteWaiting(count: number): void {
		if (count === 0) {
			return;
		}

		const now = this.#parts.context.clock.now();
		const wasBusy = this.#isBusy(now);
		this.#busyAt = now;
		if (!wasBusy && this.#reportTimer !== undefined) {
			this.#scheduleReport();
		}
	}

	#isBusy(now: number): boolean {
		return now - this.#busyAt < busyMemoryMs;
	}

	#scheduleReport(): void {
		const {clock} = this.#parts.context;
		const now = clock.now();
		const dueAt = this.#reportedAt + (this.#isBusy(now) ? busyReportMs : idleReportMs);
		this.#reportTimer?.stop();
		this.#reportTimer = clock.after(Math.max(0, dueAt - now), () => {
			this.#reportedAt = clock.now();
			this.#scheduleReport();
			this.#enqueueReports();
		});
	}

	#enqueueReports(): void {
		const now = this.#parts.context.clock.now();
		for (const service of this.#parts.listManagedServices()) {
			const report = this.#collectReport(service, now);
			if (report === undefined) {
				continue;
			}

			const hasContent = hasReportContent(report);
			if (hasContent || this.#reported.has(service)) {
				this.#enqueue({
					kind: 'waiting', service, count: this.#waitingCount(service), report,
				});
			}

			this.#reported.delete(service);
			if (hasContent) {
				this.#reported.add(service);
			}
		}
	}

	/** The report of a service without what does not fit into it, such as the tokens of a request beyond all bounds; undefined if nothing is left. */
	#collectReport(service: string, now: number): LoadReport | undefined {
		const draft = mergeDrafts(this.#reportParts.map(({collect}) => collect(service, now)));
		const {data, error} = loadReport.safeParse(draft);
		if (error === undefined) {
			return data;
		}

		this.#parts.context.log('internal', {detail: `the load report of ${service} is invalid: ${describeFaults(error, draft).slice(0, maxLoggedFaults).join('; ')}`});
		return loadReport.safeParse(withoutFaults(draft, error.issues.map(({path}) => path))).data;
	}

	/** Number of requests that wait here, as last announced. */
	#waitingCount(service: string): number {
		return this.#pendingCounts.get(service) ?? this.#announcedCounts.get(service) ?? 0;
	}

	#enqueue(message: RelayMessage): void {
		this.#pending.push(message);
		this.#schedule(0);
	}

	/** Flushes after a delay, or later if the gossip budget requires it. An earlier flush sends everything pending. */
	#schedule(delayMs: number): void {
		const {clock} = this.#parts.context;
		const now = clock.now();
		const dueAt = now + Math.max(delayMs, this.#budget.waitMs(now));
		if (this.#timer !== undefined && this.#dueAt <= dueAt) {
			return;
		}

		this.#timer?.stop();
		this.#dueAt = dueAt;
		this.#timer = clock.after(dueAt - now, () => {
			this.#timer = undefined;
			this.#flush();
		});
	}

	/** Removes and returns the pending messages, counts last. */
	#takePending(): RelayMessage[] {
		const messages = this.#pending;
		this.#pending = [];
		for (const [service, count] of this.#pendingCounts) {
			this.#announcedCounts.set(service, count);
			messages.push({kind: 'waiting', service, count});
		}

		this.#pendingCounts.clear();
		return messages;
	}

	#flush(): void {
		const messages = this.#takePending();
		const {peers} = this.#assignSubset();
		for (const host of peers) {
			for (const message of messages) {
				this.#parts.send(host, message);
			}
		}

		this.#budget.spend(peers.length, this.#parts.context.clock.now());
	}
}

/** Maximum faults of a report in one log line. */
const maxLoggedFaults = 3;

/** A report without the invalid items of its lists, and without its other invalid fields. */
function withoutFaults(draft: Partial<LoadReportDraft>, paths: ReadonlyArray<readonly PropertyKey[]>): Partial<LoadReportDraft> {
	const valid: Record<string, unknown> = {};
	for (const [field, value] of Object.entries(draft)) {
		const faults = paths.filter(([name]) => name === field).map(([, index]) => index);
		if (faults.length === 0) {
			valid[field] = value;
		} else if (Array.isArray(value) && !faults.includes(undefined)) {
			valid[field] = value.filter((_, index) => !faults.includes(index));
		}
	}

	return valid;
}

/** Maximum entries of a merged list: that of the shortest list to which several parts contribute. Observations beyond it are lost, which costs accuracy only. */
const maxMergedEntries = 256;

/** Merges the fields of all parts; lists to which several parts contribute are concatenated. */
function mergeDrafts(drafts: ReadonlyArray<Partial<LoadReportDraft>>): Partial<LoadReportDraft> {
	const merged: Record<string, unknown> = {};
	for (const [field, value] of drafts.flatMap(draft => Object.entries(draft))) {
		const other = merged[field];
		merged[field] = Array.isArray(other) && Array.isArray(value) ? [...other as unknown[], ...value as unknown[]].slice(0, maxMergedEntries) : value;
	}

	return merged;
}

/** Whether a report says anything: an observation, or state that is not empty. */
function hasReportContent(report: LoadReport): boolean {
	return Object.values(report).some(value => (Array.isArray(value) ? value.length > 0 : value !== 0 && value !== undefined));
}
