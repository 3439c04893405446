/**
 * Orders endpoints for one send: those with the least work of this host
 * first, near ones and those with an open connection before others that are
 * alike, failing ones last. Efficiency: what other hosts send is not known
 * here; an endpoint that has no room says so itself.
 */
import {type Endpoint} from '@gatehead/schema/routing';
import {type Random} from '../utils/random.js';

/** What a host knows of one endpoint. */
export type Standing = {
	/** Work of this host there, as a share of what the endpoint bears. */
	readonly load: number;
	readonly isUsable: boolean;
	/** Share of bad outcomes lately. */
	readonly badness: number;
	readonly hasConnection: boolean;
	/** It refused work of this size a moment ago. */
	readonly isFull: boolean;
	/** Other hosts than this one's peers send there, unheard. */
	readonly isOfOtherSubset: boolean;
	/** It takes few requests a second, and had one a moment ago. */
	readonly isLimited: boolean;
	/** It comes back from a backoff period, and this request is not for it yet. */
	readonly isRamping: boolean;
};

/** How endpoints are weighed, each in units of a whole endpoint's load. */
export type PlacementWeights = {
	/** Another hall than the wanted one. */
	readonly farHall: number;
	/** A connection would have to be opened. */
	readonly newConnection: number;
	readonly badness: number;
	/** An endpoint of another subset, in a large fleet. */
	readonly otherSubset: number;
	/** Chance, so that hosts that know the same do not all choose alike. */
	readonly noise: number;
};

/** What counts more than any load: an endpoint that fails, and one that has just said that it has no room. */
const unusable = 5;
/** The second of them, in units of a whole load. */
const full = 10;
/** A rate-limited endpoint: each request there needs a permit, so others go first until they are half loaded. */
const limited = 0.5;
/** An endpoint whose load would be the least for a moment, since it had none for a while. */
const ramping = 1;

/** Candidates in the order to try them; those set aside come last. */
export function orderEndpoints(candidates: readonly Endpoint[], standingOf: (endpoint: Endpoint) => Standing, hall: string, weights: PlacementWeights, random: Random): Endpoint[] {
	const weighed = candidates.map(endpoint => {
		const {load, isUsable, badness, hasConnection, isFull, isOfOtherSubset, isLimited, isRamping} = standingOf(endpoint);
		const cost = load
			+ (endpoint.hall === hall ? 0 : weights.farHall)
			+ (hasConnection ? 0 : weights.newConnection)
			+ (weights.badness * badness)
			+ (isOfOtherSubset ? weights.otherSubset : 0)
			+ (weights.noise * random.next())
			+ (isLimited ? limited : 0)
			+ (isRamping ? ramping : 0)
			+ (isFull ? full : 0)
			+ (isUsable ? 0 : unusable);
		return {endpoint, cost};
	});
	weighed.sort((left, right) => left.cost - right.cost);
	return weighed.map(each => each.endpoint);
}
