/**
 * Decisions about the requests that wait for one service at one host, from
 * what all hosts of the subset report: whose turn it is, who is rejected, and
 * when rejected callers return.
 */
import {type LoadReport, type LoadReportDraft} from '@gatehead/schema/relay-message';
import {type Random} from '../utils/random.js';
import {FleetReleases, type ServiceCapacity} from './fleet-releases.js';
import {
	compareKeys, FleetTurns, type Turn, type TurnRequest,
} from './fleet-turns.js';
import {ReturnSchedule, type ReturnClass} from './return-schedule.js';
import {
	isExcess, levelOf, ServiceShares, type WorkspaceShare,
} from './service-shares.js';

/** Maximum heads in a report. */
const maxHeads = 8;
/** Part of a first attempt's target within which its rejection has to be decided. */
const decisionFraction = 0.25;
/** Share of the expected wait that has to fit into the time left while the decision is open. Below 1, since waiting costs nothing until then and releases are uneven. */
const openWaitShare = 0.6;
/** Share of the expected wait that has to fit when the decision is made. */
const decisionWaitShare = 1;
/** Longest wait, in multiples of the target. Callers give up at 4 targets; the first event takes up to 0.5 after admission. */
const maxWaitTargets = 3.2;
/** Poll intervals before the end of the decision time (`decisionFraction`) at which the decision is made: polls are jittered by 0.3 of their interval. */
const pollMargin = 1.3;
const millisecondsPerSecond = 1000;
/** Keys of the rank in which a request has to equal the first one to ask beside it. */
const blockingKeys = 2;
const unranked: ReturnClass = {workspace: undefined, urgency: 0};
/** Share without workspaces. */
const unlimited: WorkspaceShare = {
	usage: 0, recent: 0, share: Number.POSITIVE_INFINITY, guaranteed: Number.POSITIVE_INFINITY,
};

/** A waiting request of this host; times are in milliseconds. */
export type LoadWaiter = TurnRequest & {
	readonly targetMs: number;
	readonly deadlineAt: number;
	/** Whether it may be rejected because it is late or in excess: a first attempt. */
	readonly isRejectable: boolean;
};

/** Why a request is rejected. */
export type RejectionCause = 'share' | 'late' | 'expired';

/** A request to reject, and the reason. */
export type LoadRejection<Item extends LoadWaiter> = {
	readonly waiter: Item;
	readonly cause: RejectionCause;
	readonly detail: string;
};

/** Decisions about the queue at one time. */
export type LoadPlan<Item extends LoadWaiter> = {
	/** Requests that may ask replicas, in service order. */
	readonly turns: readonly Item[];
	readonly rejections: ReadonlyArray<LoadRejection<Item>>;
};

/** Use and share of one workspace, as fractions of the capacity. */
export type WorkspaceUse = {
	readonly workspace: string;
	readonly use: number;
	readonly share: number;
};

export type ServiceLoadParts = {
	readonly random: Random;
	/** Mean interval between two polls of the replicas, in milliseconds. */
	readonly pollIntervalMs: number;
	/** Weight and priority of a workspace; undefined for one that is not configured. */
	readonly workspaceOf: (name: string | undefined) => {readonly weight?: number | undefined; readonly priority: number} | undefined;
	/** Whether the configuration has workspaces; without them, there are no shares. */
	readonly hasWorkspaces: () => boolean;
	readonly capacity: () => ServiceCapacity;
};

/** What the decisions about all waiting requests have in common. */
type Outlook = {
	readonly now: number;
	readonly releasesPerS: number;
	/** Mean time for which a request holds its memory, in seconds. */
	readonly holdSeconds: number;
	readonly shares: ReadonlyMap<string | undefined, WorkspaceShare>;
	/** Token-seconds per second that the replicas provide. */
	readonly capacity: number;
	/** Number of all waiting requests that are known. */
	readonly waiting: number;
};

/** Load of one service as this host knows it. */
export class ServiceLoad {
	readonly releases = new FleetReleases();
	readonly returns = new ReturnSchedule();
	readonly #parts: ServiceLoadParts;
	readonly #turns = new FleetTurns();
	readonly #shares: ServiceShares;
	/** Requests whose decision within a quarter of their target was to wait. */
	readonly #accepted = new WeakSet<TurnRequest>();

	constructor(parts: ServiceLoadParts) {
		this.#parts = parts;
		this.#shares = new ServiceShares(workspace => parts.workspaceOf(workspace)?.weight ?? 1);
	}

	/** Collects this host's fields of a load report. */
	collect(own: readonly LoadWaiter[], now: number): Partial<LoadReportDraft> {
		this.releases.measure(own.length > 0 || this.#turns.hasPeerRequests(now), now);
		const holds = this.releases.takeHolds();
		const heads = this.#order(own, now, this.#outlook(own, now)).flatMap(turn => turn.own ?? []).filter(({isStarted}) => !isStarted);
		return {
			heads: heads.slice(0, maxHeads).map(waiter => ({
				urgency: waiter.urgency,
				workspace: waiter.workspace,
				ageMs: Math.max(0, now - waiter.arrivedAt),
				leftMs: waiter.dueAt - now,
				isReturn: waiter.isReturn || this.#accepted.has(waiter),
				tokens: waiter.tokens,
			})),
			use: this.#shares.takeUse(),
			...(holds === undefined ? {} : {holds}),
			returns: this.returns.list(now),
		};
	}

	/** Handles the report of a peer. */
	receive(host: string, {heads, use, holds, returns}: LoadReport, now: number): void {
		// A peer may have a newer configuration; names that this one lacks would take shares and never be forgotten
		const isConfigured = ({workspace}: {readonly workspace?: string | undefined}) => workspace === undefined || this.#parts.workspaceOf(workspace) !== undefined;
		this.#turns.receive(host, heads.filter(head => isConfigured(head)), now);
		this.#shares.receive(use.filter(each => isConfigured(each)), now);
		this.returns.receive(host, returns.filter(each => isConfigured(each)), now);
		if (holds !== undefined) {
			this.releases.receive(holds, now);
		}
	}

	/** Handles a peer's notice that it has reserved memory. */
	receivePlacement(host: string, tokens: number, now: number): void {
		this.#turns.receivePlacement(host, tokens, now);
	}

	/** Records that a request of this host got memory. */
	recordServed(request: TurnRequest, now: number): void {
		this.#turns.recordServed(request);
		if (this.#parts.hasWorkspaces()) {
			this.#shares.charge(request.workspace, request.tokens * this.releases.meanHoldMs(now) / millisecondsPerSecond, now);
		}
	}

	/** Expected releases per second for the hosts of the subset. */
	releasesPerS(now: number): number {
		return this.releases.perSecond(this.#parts.capacity(), now);
	}

	/** Use and share of each workspace, as fractions of the capacity. */
	describeShares(own: readonly LoadWaiter[], now: number): WorkspaceUse[] {
		const {shares, capacity} = this.#outlook(own, now);
		return [...shares].flatMap(([workspace, {usage, share}]) => (workspace === undefined ? [] : [{workspace, use: usage / capacity, share: share / capacity}]));
	}

	/** Whether a new request may ask replicas at once. */
	mayAskAtOnce(request: LoadWaiter, own: readonly LoadWaiter[], now: number): boolean {
		return (own.length === 0 && !this.#turns.hasPeerRequests(now)) || this.plan([...own, request], now).turns.includes(request);
	}

	/** Promises the caller of a rejected request a time to return, in milliseconds from now. */
	promiseReturn({deadlineAt, workspace, urgency}: LoadWaiter, own: readonly LoadWaiter[], now: number): number {
		const {releasesPerS, waiting, shares, capacity} = this.#outlook(own, now);
		const {share} = shares.get(workspace) ?? unlimited;
		return this.returns.promise({
			workspace, urgency, shareFraction: Math.min(1, share / capacity), drainMs: waiting * millisecondsPerSecond / releasesPerS, leftMs: deadlineAt - now, releasesPerS,
		}, now, this.#parts.random);
	}

	/** Decides about all waiting requests of this host. */
	plan<Item extends LoadWaiter>(own: readonly Item[], now: number): LoadPlan<Item> {
		const outlook = this.#outlook(own, now);
		const hasPeerRequests = this.#turns.hasPeerRequests(now);
		const order = this.#order(own, now, outlook);
		const turnCount = this.#turns.countTurns(outlook.releasesPerS, this.#parts.pollIntervalMs, now);
		const rejections: Array<LoadRejection<Item>> = [];
		const turns: Item[] = [];
		const waitingOf = new Map<string | undefined, number>();
		// A place that a more urgent request may use is left to it, also while it has not been found large enough
		const firstRank = this.#rankOf(order.find(({request}) => !request.isStarted)?.request ?? unranked, outlook.shares).slice(0, blockingKeys);
		let ahead = 0;
		for (const {request, own: waiter, isPromoted} of order) {
			const waitingTokenSeconds = (waitingOf.get(request.workspace) ?? 0) + (request.tokens * outlook.holdSeconds);
			const found = waiter === undefined ? undefined : this.#findRejection(waiter, ahead, waitingTokenSeconds, outlook);
			if (waiter !== undefined && found !== undefined) {
				rejections.push({waiter, ...found});
				continue;
			}

			waitingOf.set(request.workspace, waitingTokenSeconds);
			if (waiter !== undefined && (waiter.isStarted || !hasPeerRequests || (ahead < turnCount && (isPromoted || compareKeys(this.#rankOf(waiter, outlook.shares).slice(0, blockingKeys), firstRank) <= 0)))) {
				turns.push(waiter);
			}

			ahead += 1;
		}

		return {turns, rejections};
	}

	#order<Item extends LoadWaiter>(own: readonly Item[], now: number, {shares}: Outlook): Array<Turn<Item>> {
		return this.#turns.order(own, now, {
			rankOf: request => this.#rankOf(request, shares),
			isPromised: request => request.isReturn || this.#accepted.has(request),
		});
	}

	#outlook(own: readonly LoadWaiter[], now: number): Outlook {
		const releasesPerS = this.releasesPerS(now);
		const holdSeconds = this.releases.meanHoldMs(now) / millisecondsPerSecond;
		const requests = this.#turns.list(own, now);
		const waiting = new Map<string | undefined, number>();
		for (const {workspace, tokens} of requests) {
			waiting.set(workspace, (waiting.get(workspace) ?? 0) + (tokens * holdSeconds));
		}

		const requestCost = this.releases.meanTokens(now) * holdSeconds;
		const capacity = releasesPerS * requestCost;
		return {
			now, releasesPerS, holdSeconds, capacity, waiting: requests.length, shares: this.#parts.hasWorkspaces() ? this.#shares.compute({waiting, capacity, requestCost}, now) : new Map(),
		};
	}

	#findRejection(waiter: LoadWaiter, ahead: number, waitingTokenSeconds: number, outlook: Outlook): {readonly cause: RejectionCause; readonly detail: string} | undefined {
		const {now} = outlook;
		const {arrivedAt, targetMs, deadlineAt, isRejectable, isStarted, dueAt, workspace} = waiter;
		const waitedMs = now - arrivedAt;
		if ((!isStarted && waitedMs > maxWaitTargets * targetMs) || now >= deadlineAt) {
			return {cause: 'expired', detail: `late: waited ${Math.round(waitedMs)} ms`};
		}

		if (!isRejectable) {
			return undefined;
		}

		const share = outlook.shares.get(workspace);
		if (share !== undefined && !this.#accepted.has(waiter) && isExcess(share, waitingTokenSeconds, dueAt - now)) {
			return {cause: 'share', detail: 'share'};
		}

		return this.#findDelay(waiter, ahead, outlook);
	}

	/** Describes the load under which a first attempt is expected to be late; undefined if it may be on time. */
	#findDelay(waiter: LoadWaiter, ahead: number, {now, releasesPerS, shares}: Outlook): {readonly cause: RejectionCause; readonly detail: string} | undefined {
		const {arrivedAt, targetMs, dueAt} = waiter;
		const slackMs = dueAt - now;
		const keys = this.#rankOf(waiter, shares);
		const returning = this.returns.countBetween(now, now + Math.max(0, slackMs), each => compareKeys(this.#rankOf(each, shares), keys) <= 0);
		const expectedMs = (ahead + 1 + returning) * millisecondsPerSecond / releasesPerS;
		const isAccepted = this.#accepted.has(waiter);
		const isDecisionDue = !isAccepted && now + (pollMargin * this.#parts.pollIntervalMs) >= arrivedAt + (decisionFraction * targetMs);
		const waitShare = isDecisionDue ? decisionWaitShare : openWaitShare;
		if (isAccepted ? slackMs < 0 : waitShare * expectedMs > slackMs) {
			return {cause: 'late', detail: `late: ${ahead} ahead, ${returning.toFixed(1)} returning, ${releasesPerS.toFixed(1)} places a second`};
		}

		if (isDecisionDue) {
			this.#accepted.add(waiter);
		}

		return undefined;
	}

	/** Keys by which classes of requests are ordered, before promises and arrival. */
	#rankOf({workspace, urgency}: ReturnClass, shares: Outlook['shares']): number[] {
		return [this.#parts.workspaceOf(workspace)?.priority ?? 0, urgency, levelOf(shares.get(workspace) ?? unlimited)];
	}
}
