/**
 * When rejected callers return: promises of all hosts by slots of time.
 * Promises are forecasts, so hosts may exceed a slot between two reports.
 */
import {type LoadReport} from '@gatehead/schema/relay-message';
import {type Random} from '../utils/random.js';

/** Length of a slot, in milliseconds. */
const slotMs = 250;
/** Fraction of the caller's time left that it honours as `Retry-After`. */
const maxLeftFraction = 0.33;
/** Fraction of that time before which no return is promised while the later slots have room: a place during a burst is worth more to a first attempt. */
const preferredFraction = 0.7;
/** Fraction of the releases that is promised to returns. */
const promisedFraction = 0.6;
/** Spread of the returns for which there is no room, as a fraction of the time that the caller honours. */
const overflowSpread = 0.2;
/** Fraction of the caller's time left before which no return is requested: a retry is recognized by a timeout that is shorter by more than the spread between callers (`callerTimeoutSpread` of the retry detector). */
const minLeftFraction = 0.185;
/** Minimum `Retry-After`, in milliseconds; it is sent with two decimals. */
const minRetryMs = 20;
/** Slots that are kept after they have passed, for callers that arrive a moment later. */
const keptSlots = 1;
/** Maximum entries in a report. */
const maxReported = 64;
const millisecondsPerSecond = 1000;

/** Callers that return: their workspace, and the priority of their route. */
export type ReturnClass = {
	readonly workspace: string | undefined;
	readonly urgency: number;
};

/** What a return time is computed from. */
export type ReturnRequest = ReturnClass & {
	/** Fraction of the releases that its workspace may be promised; 1 without shares. */
	readonly shareFraction: number;
	/** Time until the backlog has drained, in milliseconds. */
	readonly drainMs: number;
	/** Time that the caller has left, in milliseconds. */
	readonly leftMs: number;
	readonly releasesPerS: number;
};

/** Returns of one class in one slot. */
type Promised = ReturnClass & {
	readonly index: number;
	count: number;
};

/** A slot, and the returns that may still be promised for it. */
type Slot = {
	readonly index: number;
	readonly room: number;
};

/** Promised returns of one service. */
export class ReturnSchedule {
	#own: Promised[] = [];
	readonly #peers = new Map<string, Promised[]>();

	/** Replaces the promises of a peer. */
	receive(host: string, returns: LoadReport['returns'], now: number): void {
		const current = slotAt(now);
		// A report no longer lists the slot that has just passed, in which callers may still be under way
		const previous = (this.#peers.get(host) ?? []).filter(({index}) => index < current && index >= current - keptSlots);
		const promises = [...previous, ...returns.map(({inMs, ...promised}) => ({...promised, workspace: promised.workspace, index: slotAt(now + inMs)}))];
		this.#peers.delete(host);
		if (promises.length > 0) {
			this.#peers.set(host, promises);
		}

		for (const [peer, promised] of this.#peers) {
			if (promised.every(({index}) => index < current - keptSlots)) {
				this.#peers.delete(peer);
			}
		}
	}

	/** Lists this host's promises that are not due yet, the next first. */
	list(now: number): LoadReport['returns'] {
		this.#own = this.#own.filter(({index}) => index >= slotAt(now) - keptSlots);
		return this.#own.filter(({index}) => index >= slotAt(now)).toSorted((one, other) => one.index - other.index)
			.slice(0, maxReported).map(({index, ...promised}) => ({...promised, inMs: Math.max(0, middleOf(index) - now)}));
	}

	/** Promises a return, if there is room; gives the time until then, in milliseconds. */
	promise(request: ReturnRequest, now: number, random: Random): number {
		const {drainMs, leftMs} = request;
		const limitMs = Math.max(minRetryMs, maxLeftFraction * leftMs);
		const earliestMs = Math.min(Math.max(drainMs, minLeftFraction * leftMs, minRetryMs), limitMs);
		const slots = this.#listSlots(request, now + earliestMs, now + limitMs);
		const preferred = slots.filter(({index}) => index >= slotAt(now + (preferredFraction * limitMs)));
		const index = pickByRoom(preferred, random) ?? pickByRoom(slots, random);
		if (index === undefined) {
			// Counting it as promised would reject others for a return that finds no room either
			return Math.max(earliestMs, limitMs * (1 - (overflowSpread * random.next())));
		}

		const inSlotMs = ((index + random.next()) * slotMs) - now;
		const waitMs = Math.min(limitMs, Math.max(earliestMs, inSlotMs));
		this.#add(slotAt(now + waitMs), request);
		return waitMs;
	}

	/** Counts the promised returns of all hosts between two times, of the classes that `isCounted` selects. */
	countBetween(from: number, to: number, isCounted: (promised: ReturnClass) => boolean): number {
		let sum = 0;
		for (const promised of this.#all()) {
			const {index, count} = promised;
			const coveredMs = Math.min(to, (index + 1) * slotMs) - Math.max(from, index * slotMs);
			sum += coveredMs > 0 && isCounted(promised) ? count * coveredMs / slotMs : 0;
		}

		return sum;
	}

	/** Whether a caller that retries now may have been promised to return now: callers enter at any host, so the promises of all count. */
	isScheduled({workspace, urgency}: ReturnClass, now: number): boolean {
		const current = slotAt(now);
		return this.#all().some(promised => promised.workspace === workspace && promised.urgency === urgency && Math.abs(promised.index - current) <= 1);
	}

	#add(index: number, {workspace, urgency}: ReturnClass): void {
		const promised = this.#own.find(each => each.index === index && each.workspace === workspace && each.urgency === urgency);
		if (promised === undefined) {
			this.#own.push({
				index, workspace, urgency, count: 1,
			});
			return;
		}

		promised.count += 1;
	}

	#all(): Promised[] {
		return [...this.#own, ...[...this.#peers.values()].flat()];
	}

	/** Lists the slots between two times with what is left of all releases and of the workspace's share of them. */
	#listSlots({workspace, shareFraction, releasesPerS}: ReturnRequest, from: number, to: number): Slot[] {
		const first = slotAt(from);
		const total = promisedFraction * releasesPerS * slotMs / millisecondsPerSecond;
		const rooms = Array.from({length: slotAt(to) - first + 1}, () => ({all: total, own: total * shareFraction}));
		for (const promised of this.#all()) {
			const room = rooms[promised.index - first];
			if (room !== undefined) {
				room.all -= promised.count;
				room.own -= promised.workspace === workspace ? promised.count : 0;
			}
		}

		return rooms.map(({all, own}, offset) => ({index: first + offset, room: Math.min(all, own)}));
	}
}

/** Picks a slot at random, in proportion to the room left; undefined if there is none. */
function pickByRoom(slots: readonly Slot[], random: Random): number | undefined {
	const total = slots.reduce((sum, {room}) => sum + Math.max(0, room), 0);
	let at = random.next() * total;
	for (const {index, room} of slots) {
		if (room > 0 && at < room) {
			return index;
		}

		at -= Math.max(0, room);
	}

	return undefined;
}

function slotAt(time: number): number {
	return Math.floor(time / slotMs);
}

function middleOf(index: number): number {
	return (index + 0.5) * slotMs;
}
