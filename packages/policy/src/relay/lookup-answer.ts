/**
 * Which hosts a caller should use: those of its own hall where two or more
 * are alive there, so that one can fail; otherwise all that are. Efficiency:
 * a stale answer costs a caller a failed connection.
 */
import {type MemberRecord} from '@gatehead/schema/peer-message';

/** Hosts of a hall from which on its callers are kept there: one alone may be lost. */
const leastNear = 2;

/** Addresses for callers of `hall`, at most `most`; a host that stands alone names itself while it takes work. */
export function answerLookup(members: readonly MemberRecord[], hall: string | undefined, most: number): string[] {
	const alive = members.filter(({state, callerAddress}) => state === 'alive' && callerAddress !== '');
	const usable = alive.length > 0 ? alive : members.filter(({state, callerAddress}) => state === 'suspect' && callerAddress !== '');
	const near = usable.filter(each => each.hall === hall);
	const chosen = near.length >= leastNear ? near : usable;
	return chosen.slice(0, most).map(each => each.callerAddress);
}
