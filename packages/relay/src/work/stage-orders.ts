/**
 * Orders replicas to change their part. Safety: no two hosts give orders to
 * one replica within a lease's time, and fences rise. One host gives all
 * orders: the first by rank of those alive, while it sees a majority of all
 * hosts known and nothing about the fleet has changed for a while; whoever
 * is cut off sees a change first. The fence is the directory's position,
 * which outlives every process and rises also where revisions are given out
 * again; a host that takes over waits for a later one.
 */
import {type ReleaseRate} from '@gatehead/policy/relay/release-rate';
import {OrdersUnderWay} from '@gatehead/policy/relay/orders-under-way';
import {StageSplit, type Paces, type StageChange} from '@gatehead/policy/relay/stage-split';
import {type Timer} from '@gatehead/policy/utils/clock';
import {isLater, toFence, type Position} from '@gatehead/schema/position';
import {type Endpoint} from '@gatehead/schema/routing';
import {type DirectoryWatch} from '../core/directory-watch.js';
import {type RelayContext} from '../core/context.js';
import {isOff} from '../core/experiment.js';
import {type RoutingState} from '../core/routing-state.js';
import {type Fleet} from '../peer/fleet.js';
import {ownOrder, type Endpoints} from '../upstream/endpoints.js';
import {type OwnCalls} from '../upstream/own-calls.js';

/** Interval at which the split is looked at, in milliseconds: a tenth of what a change of part takes. */
const lookMs = 500;
/** Time without any change of the fleet before an order, in milliseconds: several times the longest lease of an order (3 s), and longer than a host that is cut off takes to notice. */
const quietMs = 9000;
/** Time for which a replica that changes its part gets nothing, in milliseconds, unless its new part is published sooner: six seconds of change and its last short streams. */
const changeMs = 8000;
/** Time between two orders for one service, in milliseconds: a change of part takes about six seconds. */
const spacingMs = 7000;
/** Time after a request waited for memory during which no decode replica is taken away, in milliseconds: about the pause between two bursts. */
const shortMs = 6000;
/** Least time that a prompt's reading is supposed to take, in milliseconds: keeps the pace finite before any was read. */
const leastReadMs = 1;
/** Outcomes of an order that was taken. */
const takenOutcomes: ReadonlySet<string> = new Set(['200', '202']);
const millisecondsPerSecond = 1000;

/** What the task works with. */
export type StageOrderParts = {
	readonly context: RelayContext;
	readonly endpoints: Endpoints;
	readonly routing: RoutingState;
	readonly fleet: Fleet;
	readonly watch: DirectoryWatch;
	readonly ownCalls: OwnCalls;
	/** How fast a service's decode memory comes free. */
	readonly rateOf: (service: string) => ReleaseRate;
	/** When a request last waited for a service's memory, here or at a peer. */
	readonly waitedAt: (service: string) => number;
};

/** Gives orders, where it is this host's turn. */
export class StageOrders {
	readonly #parts: StageOrderParts;
	readonly #splits = new Map<string, StageSplit>();
	readonly #orderedAt = new Map<string, number>();
	readonly #underWay = new OrdersUnderWay();
	/** Directory position when this host became the one that orders; undefined: it is not. */
	#ledSince: Position | undefined;
	#timer: Timer | undefined;

	constructor(parts: StageOrderParts) {
		this.#parts = parts;
	}

	/** Starts to look. */
	start(): void {
		this.#timer = this.#parts.context.clock.after(lookMs, () => {
			this.#look();
			this.start();
		});
	}

	/** Stops. */
	stop(): void {
		this.#timer?.stop();
	}

	/** What requests met at a service. */
	splitOf(service: string): StageSplit {
		let split = this.#splits.get(service);
		if (split === undefined) {
			split = new StageSplit(this.#parts.context.settings.prefillShare);
			this.#splits.set(service, split);
		}

		return split;
	}

	#look(): void {
		const {context: {clock}, routing, endpoints} = this.#parts;
		if (!this.#mayOrder(clock.now()) || isOff(this.#parts.context, 'stageOrders')) {
			return;
		}

		for (const {name, engine} of routing.table?.routing.services ?? []) {
			const isDue = clock.now() - (this.#orderedAt.get(name) ?? Number.NEGATIVE_INFINITY) >= spacingMs;
			if (engine === undefined || !isDue) {
				continue;
			}

			const isUsable = ({id}: Endpoint) => endpoints.isUsable(id);
			const replicas = this.#underWay.apply(endpoints.book.listReady(name), clock.now());
			for (const change of this.splitOf(name).choose(replicas, this.#pacesOf(name), isUsable)) {
				this.#orderedAt.set(name, clock.now());
				void this.#order(change);
			}
		}
	}

	#pacesOf(service: string): Paces {
		const {readMs, read} = this.splitOf(service);
		const {rateOf, waitedAt, context: {clock}} = this.#parts;
		const rate = rateOf(service);
		return {
			prefillPerS: millisecondsPerSecond / Math.max(leastReadMs, readMs),
			decodePerS: rate.perSecond(1),
			seen: Math.min(read, rate.seen),
			isShort: clock.now() - waitedAt(service) < shortMs,
		};
	}

	#mayOrder(now: number): boolean {
		const {fleet, watch} = this.#parts;
		if (!fleet.isFirst()) {
			this.#ledSince = undefined;
			return false;
		}

		const {position} = watch;
		if (position === undefined) {
			return false;
		}

		this.#ledSince ??= position;
		const isQuiet = now - fleet.changedAt >= quietMs;
		const mayFollow = !fleet.hasFollowed || isLater(position, this.#ledSince);
		return isQuiet && mayFollow && fleet.hasMajority() && !watch.isDown;
	}

	async #order({endpoint, stage, reason}: StageChange): Promise<void> {
		const {context: {clock, log, self}, ownCalls, watch, endpoints, fleet} = this.#parts;
		const fence = watch.position === undefined ? undefined : toFence(watch.position);
		if (fence === undefined) {
			return;
		}

		// It turns requests away until it has changed its part
		const pause = {endpoint: endpoint.id, leftMs: changeMs};
		endpoints.hearPause(pause, ownOrder);
		fleet.tellPause(pause);
		this.#underWay.begin(endpoint.id, stage, clock.now());
		const outcome = await ownCalls.orderStage(endpoint, stage, self.host, fence);
		if (!takenOutcomes.has(outcome)) {
			this.#underWay.fail(endpoint.id);
		}

		log('stageOrdered', {
			endpoint: endpoint.id, from: endpoint.stage, stage, fence, reason, outcome,
		});
	}
}
