/** Reads what callers have sent before their connections are closed: timers, which end a planned stop, run before that on a busy host. */
import {setImmediate as nextTurn} from 'node:timers/promises';

/** Turns of the event loop behind the last arrival: one accepts a connection, one reads its request, and one passes before a stopping host responds. */
const turnsBehindArrival = 3;

/**
 * Resolves once stopping servers have responded to the requests that have arrived, or `mayWait` says that no time is
 * left for more. A server accepts one connection a turn, so a host that stood still needs as many turns as connections
 * wait. `countArrivals`: connections and requests of these servers so far.
 */
export async function readUnreadRequests(countArrivals: () => number, mayWait: () => boolean): Promise<void> {
	let arrivals = countArrivals();
	let quietTurns = 0;
	for (let turn = 0; turn < turnsBehindArrival || (quietTurns < turnsBehindArrival && mayWait()); turn += 1) {
		await nextTurn();
		const earlier = arrivals;
		arrivals = countArrivals();
		quietTurns = arrivals === earlier ? quietTurns + 1 : 0;
	}
}
