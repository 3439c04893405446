/** Reads what callers have sent before their connections are closed: timers, which end a planned stop, run before that on a busy host. */
import {setImmediate as nextTurn} from 'node:timers/promises';

/** Turns of the event loop in which what has arrived is read and rejected: one accepts a connection, one reads its request, and one passes before a stopping host responds. */
const turns = 3;

/** Resolves once stopping servers have responded to the requests that have arrived. */
export async function readUnreadRequests(): Promise<void> {
	for (let turn = 0; turn < turns; turn += 1) {
		await nextTurn();
	}
}
