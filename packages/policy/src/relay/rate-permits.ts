/**
 * One host's permits for one rate-limited endpoint. Safety: a permit is used
 * within a second of the question that brought it (rate-granter.ts), by this
 * host's steady clock, however late the answer came.
 */
import {type RateGrant} from './rate-granter.js';

/** Time from the question in which a permit is handed out, and in which its request leaves, in milliseconds: the difference is for opening a connection. */
const handOutMs = 500;
export const permitLifeMs = 1000;
/** Time for which a busy host asks ahead, in milliseconds: less than that in which a permit is handed out, so that few lapse. */
const aheadMs = 200;
/** Time over which demand is averaged, in milliseconds. */
const averageMs = 1000;

/** Leave to send one request. */
export type Permit = {
	/** When the first byte has to have left, at the latest. */
	readonly leaveBy: number;
};

/** A permit where nothing limits the endpoint. */
export const unlimited: Permit = {leaveBy: Number.POSITIVE_INFINITY};

/** Permits in hand. */
export class RatePermits {
	#permits: Permit[] = [];
	#demand = 0;
	#demandAt = 0;

	/** Notes a request for the endpoint. */
	noteDemand(now: number): void {
		this.#demand = this.#averaged(now) + 1;
		this.#demandAt = now;
	}

	/** Hands out a permit, where one is left. */
	take(now: number): Permit | undefined {
		this.#permits = this.#permits.filter(({leaveBy}) => leaveBy - now > permitLifeMs - handOutMs);
		return this.#permits.shift();
	}

	/** Permits to ask for while so many requests wait. */
	wanted(waiting: number, now: number): number {
		return waiting + Math.floor(this.#averaged(now) * aheadMs / averageMs);
	}

	/** Takes the granter's answer to a question. */
	receive({granted}: RateGrant, askedAt: number): void {
		for (let index = 0; index < granted; index += 1) {
			this.#permits.push({leaveBy: askedAt + permitLifeMs});
		}
	}

	/** Takes a permit back that was not used. */
	giveBack(permit: Permit): void {
		this.#permits.unshift(permit);
	}

	/** Requests in the last second. */
	#averaged(now: number): number {
		return this.#demand * Math.exp((this.#demandAt - now) / averageMs);
	}
}
