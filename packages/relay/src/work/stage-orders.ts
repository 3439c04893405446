/**
 * Reassigns replicas between the prefill and decode stages. Safety: no two
 * hosts send orders to one replica within the duration of a lease, and fencing
 * tokens increase. A single leader sends all orders: the first live host by
 * rank, while it sees a majority of the known hosts and of the seeds
 * (policy/relay/order-quorum.ts) and membership has been stable for a while; a
 * partitioned host notices a membership change first.
 * The fencing token is the directory's position, which survives restarts and
 * increases even if revisions are reused; a new leader waits for a later
 * position.
 */
import {type ReleaseRate} from '@gatehead/policy/relay/release-rate';
import {PendingStageChanges} from '@gatehead/policy/relay/pending-stage-changes';
import {StageSplit, type StageThroughput, type StageChange} from '@gatehead/policy/relay/stage-split';
import {type Timer} from '@gatehead/policy/utils/clock';
import {isLater, toFence, type Position} from '@gatehead/schema/position';
import {type Endpoint} from '@gatehead/schema/routing';
import {type DirectoryWatch} from '../core/directory-watch.js';
import {type RelayContext} from '../core/context.js';
import {isOff} from '../core/experiment.js';
import {type RoutingState} from '../core/routing-state.js';
import {type Fleet} from '../peer/fleet.js';
import {ownOrderSource, type Endpoints} from '../upstream/endpoints.js';
import {type ControlCalls} from '../upstream/control-calls.js';
import {type Reachability} from '../upstream/reachability.js';

/** Interval between checks of the split, in milliseconds; short compared with a stage change. */
const checkIntervalMs = 500;
/** Minimum time without a membership change before an order, in milliseconds; several times the longest order lease (3 s), and longer than a partitioned host takes to notice. */
const minStableMs = 9000;
/** Time for which a replica that changes stage gets no requests, in milliseconds, unless its new stage is published sooner: the change itself and its last short streams. */
const stageChangeMs = 8000;
/** Minimum time between orders for one service, in milliseconds; longer than a stage change. */
const minOrderIntervalMs = 7000;
/** Time after a request waited for memory during which no decode replica is reassigned, in milliseconds; about the pause between two bursts. */
const shortageMs = 6000;
/** Lower bound for the prefill time per prompt, in milliseconds; keeps the rate finite before the first prefill. */
const minPrefillMs = 1;
/** HTTP statuses of an accepted order. */
const acceptedOutcomes: ReadonlySet<string> = new Set(['200', '202']);
const millisecondsPerSecond = 1000;

export type StageOrderParts = {
	readonly context: RelayContext;
	readonly endpoints: Endpoints;
	readonly routing: RoutingState;
	readonly fleet: Fleet;
	readonly watch: DirectoryWatch;
	readonly ownCalls: ControlCalls;
	readonly reachability: Pick<Reachability, 'isUnreachable'>;
	/** Estimated rate at which a service's decode memory is released. */
	readonly releaseRateOf: (service: string) => ReleaseRate;
	/** Time at which a request last waited for a service's memory, at this host or at a peer. */
	readonly lastWaitedAt: (service: string) => number;
};

/** Sends stage orders while this host is the leader. */
export class StageOrders {
	readonly #parts: StageOrderParts;
	readonly #splits = new Map<string, StageSplit>();
	readonly #orderedAt = new Map<string, number>();
	readonly #pendingOrders = new PendingStageChanges();
	/** Directory position when this host became the leader; undefined if it is not. */
	#leaderSince: Position | undefined;
	#timer: Timer | undefined;

	constructor(parts: StageOrderParts) {
		this.#parts = parts;
	}

	/** Starts the periodic checks. */
	start(): void {
		this.#timer = this.#parts.context.clock.after(checkIntervalMs, () => {
			this.#rebalance();
			this.start();
		});
	}

	stop(): void {
		this.#timer?.stop();
	}

	/** The split of a service and the prefill times that it is based on. */
	splitOf(service: string): StageSplit {
		let split = this.#splits.get(service);
		if (split === undefined) {
			split = new StageSplit(this.#parts.context.settings.prefillShare);
			this.#splits.set(service, split);
		}

		return split;
	}

	#rebalance(): void {
		const {context: {clock}, routing, endpoints, reachability} = this.#parts;
		if (!this.#isActiveLeader(clock.now()) || isOff(this.#parts.context, 'stageOrders')) {
			return;
		}

		for (const {name, engine} of routing.table?.routing.services ?? []) {
			const isDue = clock.now() - (this.#orderedAt.get(name) ?? Number.NEGATIVE_INFINITY) >= minOrderIntervalMs;
			if (engine === undefined || !isDue || reachability.isUnreachable(name)) {
				continue;
			}

			const isUsable = ({id}: Endpoint) => endpoints.isUsable(id);
			const replicas = this.#pendingOrders.apply(endpoints.book.listReady(name), clock.now());
			for (const change of this.splitOf(name).chooseChanges(replicas, this.#pacesOf(name), isUsable, endpoint => endpoints.managed.stagePaceOf(endpoint))) {
				this.#orderedAt.set(name, clock.now());
				void this.#order(change);
			}
		}
	}

	#pacesOf(service: string): StageThroughput {
		const {prefillMs, prefillCount} = this.splitOf(service);
		const {releaseRateOf, lastWaitedAt, context: {clock}} = this.#parts;
		const rate = releaseRateOf(service);
		return {
			prefillPerS: millisecondsPerSecond / Math.max(minPrefillMs, prefillMs),
			decodePerS: rate.perSecond(1),
			sampleCount: Math.min(prefillCount, rate.completedCount),
			isMemoryShort: clock.now() - lastWaitedAt(service) < shortageMs,
		};
	}

	#isActiveLeader(now: number): boolean {
		const {fleet, watch} = this.#parts;
		if (!fleet.isCoordinator()) {
			this.#leaderSince = undefined;
			return false;
		}

		const {position} = watch;
		if (position === undefined) {
			return false;
		}

		this.#leaderSince ??= position;
		const isStable = now - fleet.changedAt >= minStableMs;
		const hasLaterPosition = !fleet.hasSeenOtherCoordinator || isLater(position, this.#leaderSince);
		return isStable && hasLaterPosition && fleet.hasOrderQuorum() && !watch.isUnavailable;
	}

	async #order({endpoint, stage, reason}: StageChange): Promise<void> {
		const {context: {clock, log, self}, ownCalls, watch, endpoints, fleet} = this.#parts;
		const fence = watch.position === undefined ? undefined : toFence(watch.position);
		if (fence === undefined) {
			return;
		}

		// The replica refuses requests until it has changed stage
		const pause = {endpoint: endpoint.id, leftMs: stageChangeMs};
		endpoints.mergePause(pause, ownOrderSource);
		fleet.announcePause(pause);
		this.#pendingOrders.add(endpoint.id, stage, clock.now());
		const outcome = await ownCalls.orderStage(endpoint, stage, self.host, fence);
		if (!acceptedOutcomes.has(outcome)) {
			this.#pendingOrders.remove(endpoint.id);
		}

		log('stageOrdered', {
			endpoint: endpoint.id, from: endpoint.stage, stage, fence, reason, outcome,
		});
	}
}
