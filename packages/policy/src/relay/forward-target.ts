/**
 * Chooses the host to which a host without links forwards a request. Takes the
 * best of a few random hosts, so that hosts which choose at the same time do
 * not all choose the same one. Efficiency: a wrong choice costs a hop.
 */
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {shuffle, type Random} from '../utils/random.js';

/** Hosts compared for one request. */
const sampleSize = 3;
/** Cost of another hall, as a load. */
const otherHallCost = 0.25;
/** Forwarded requests in flight to one host that cost as much as full load. */
const fullLoadRequests = 64;

export type ForwardRequest = {
	readonly self: Pick<MemberRecord, 'host' | 'hall'>;
	readonly service: string;
	/** Hosts that did not take a request lately. */
	readonly excluded: ReadonlySet<string>;
	/** Number of requests that are being forwarded to a host. */
	readonly inFlight: (host: string) => number;
};

/** Hosts that may be able to serve a request of a service. */
export function listForwardTargets(members: readonly MemberRecord[], {self, service, excluded}: Pick<ForwardRequest, 'self' | 'service' | 'excluded'>): MemberRecord[] {
	return members.filter(({host, state, forwardAddress, unreachable}) => state === 'alive' && host !== self.host && forwardAddress !== undefined && !excluded.has(host) && !unreachable?.includes(service));
}

/** The host to forward to; undefined if there is none. */
export function chooseForwardTarget(members: readonly MemberRecord[], request: ForwardRequest, random: Random): MemberRecord | undefined {
	const {self, inFlight} = request;
	const costOf = ({host, hall, load}: MemberRecord) => load + (inFlight(host) / fullLoadRequests) + (hall === self.hall ? 0 : otherHallCost);
	const sample = shuffle(random, listForwardTargets(members, request)).slice(0, sampleSize);
	return sample.toSorted((left, right) => costOf(left) - costOf(right))[0];
}
