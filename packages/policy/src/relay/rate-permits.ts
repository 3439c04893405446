/**
 * One host's permits for one rate-limited endpoint.
 * Safety: the rate bound (rate-granter.ts) relies on a permit being used
 * within a second of its request by this host's monotonic clock, however late
 * the answer arrives.
 */
import {AverageRate} from '../utils/average-rate.js';
import {type RateGrant} from './rate-granter.js';

/** Time after the request in which a permit may be taken, in milliseconds; the rest of its lifetime is for opening a connection. */
const takeWithinMs = 500;
/** Time after the request in which a permit must be used, in milliseconds. */
export const permitLifetimeMs = 1000;
/** Expected demand that a request for permits covers, in milliseconds: less than the time in which a permit may be taken, so that few expire. */
const prefetchMs = 200;
/** Time constant of the average demand, in milliseconds. */
const averagingMs = 1000;

/** Permission to send one request. */
export type Permit = {
	/** Deadline for sending the first byte, in milliseconds. */
	readonly sendBy: number;
};

/** Permit for an endpoint without a rate limit. */
export const unlimitedPermit: Permit = {sendBy: Number.POSITIVE_INFINITY};

/** Unused permits and the average demand; times are in milliseconds. */
export class RatePermits {
	#permits: Permit[] = [];
	readonly #demand = new AverageRate(averagingMs);

	/** Records a request for the endpoint. */
	recordDemand(now: number): void {
		this.#demand.record(now);
	}

	/** Takes a permit, or returns undefined if none is left. */
	take(now: number): Permit | undefined {
		this.#permits = this.#permits.filter(({sendBy}) => sendBy - now > permitLifetimeMs - takeWithinMs);
		return this.#permits.shift();
	}

	/** Returns the number of permits to request for `waiting` requests and the expected demand. */
	wanted(waiting: number, now: number): number {
		return waiting + Math.floor(this.#demand.at(now) * prefetchMs);
	}

	/** Adds the permits of an answer to a request made at `askedAt`. */
	add({granted}: RateGrant, askedAt: number): void {
		for (let index = 0; index < granted; index += 1) {
			this.#permits.push({sendBy: askedAt + permitLifetimeMs});
		}
	}

	/** Returns an unused permit. */
	putBack(permit: Permit): void {
		this.#permits.unshift(permit);
	}
}
