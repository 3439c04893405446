/**
 * Selects the hosts that a caller should connect to: those in its own hall if
 * at least two are alive there, otherwise all live hosts. A stale answer costs
 * the caller a failed connection.
 */
import {type MemberRecord} from '@gatehead/schema/peer-message';

/** Minimum number of live hosts in a hall to keep its callers local, so that one can fail. */
const minLocalHosts = 2;

/** Returns up to `most` host addresses for callers in `hall`. Falls back to suspected hosts if none is alive. */
export function answerLookup(members: readonly MemberRecord[], hall: string | undefined, most: number): string[] {
	const alive = members.filter(({state, callerAddress}) => state === 'alive' && callerAddress !== '');
	const usable = alive.length > 0 ? alive : members.filter(({state, callerAddress}) => state === 'suspect' && callerAddress !== '');
	const local = usable.filter(each => each.hall === hall);
	const chosen = local.length >= minLocalHosts ? local : usable;
	return chosen.slice(0, most).map(each => each.callerAddress);
}
