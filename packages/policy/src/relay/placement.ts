/**
 * Orders the candidate endpoints of one send by cost: least loaded first,
 * preferring the same hall and open connections, failing endpoints last. The
 * load covers only this host's requests; an endpoint that is full rejects.
 */
import {type Endpoint} from '@gatehead/schema/routing';
import {type Random} from '../utils/random.js';

/** What this host knows about an endpoint. */
export type EndpointStatus = {
	/** This host's load on the endpoint, as a fraction of the endpoint's capacity. */
	readonly load: number;
	readonly isUsable: boolean;
	/** Recent failure rate, from 0 to 1. */
	readonly failureRate: number;
	readonly hasConnection: boolean;
	/** The endpoint recently rejected a request of this size for lack of room. */
	readonly isFull: boolean;
	/** The endpoint belongs to another subset, so its load from other hosts is unknown. */
	readonly isInOtherSubset: boolean;
	/** The endpoint is rate-limited and recently received a request. */
	readonly isLimited: boolean;
	/** The endpoint is ramping up after a backoff period, and this request is not among those it gets. */
	readonly isRamping: boolean;
	/** The endpoint runs another software version than the one that its result is for. */
	readonly isOtherVersion: boolean;
};

/** Cost terms, each in units of one endpoint's full load. */
export type PlacementWeights = {
	/** Added for an endpoint in another hall. */
	readonly otherHall: number;
	/** Added if a connection must be opened. */
	readonly newConnection: number;
	/** Multiplied by the failure rate. */
	readonly failureRate: number;
	/** Added for an endpoint in another subset. */
	readonly otherSubset: number;
	/** Upper bound of random noise, so that hosts with the same information do not all choose the same endpoint. */
	readonly noise: number;
};

/** Cost of an unusable endpoint: above that of any load. */
const unusableCost = 5;
/** Cost of an endpoint that recently reported that it is full. */
const fullCost = 10;
/** Cost of a prefill replica of another software version than the decode replica's: two of one version are preferred up to half load. */
const otherVersionCost = 0.5;
/** Cost of a rate-limited endpoint: each request needs a permit, so others are preferred up to half load. */
const limitedCost = 0.5;
/** Cost of an endpoint that is ramping up: its load is briefly the lowest because it received nothing during its backoff. */
const rampingCost = 1;

/** Returns the candidates in the order in which to try them; unusable and full ones come last. */
export function orderEndpoints(candidates: readonly Endpoint[], statusOf: (endpoint: Endpoint) => EndpointStatus, hall: string, weights: PlacementWeights, random: Random): Endpoint[] {
	const scored = candidates.map(endpoint => {
		const {load, isUsable, failureRate, hasConnection, isFull, isInOtherSubset, isLimited, isRamping, isOtherVersion} = statusOf(endpoint);
		const cost = load
			+ (endpoint.hall === hall ? 0 : weights.otherHall)
			+ (hasConnection ? 0 : weights.newConnection)
			+ (weights.failureRate * failureRate)
			+ (isInOtherSubset ? weights.otherSubset : 0)
			+ (weights.noise * random.next())
			+ (isLimited ? limitedCost : 0)
			+ (isRamping ? rampingCost : 0)
			+ (isOtherVersion ? otherVersionCost : 0)
			+ (isFull ? fullCost : 0)
			+ (isUsable ? 0 : unusableCost);
		return {endpoint, cost};
	});
	scored.sort((left, right) => left.cost - right.cost);
	return scored.map(each => each.endpoint);
}
