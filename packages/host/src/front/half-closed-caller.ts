/**
 * Tells a caller that has ended its side of a connection and reads on from one
 * that has closed the connection: both look alike until something is written,
 * which a closed connection answers with a reset.
 */
import {type ServerResponse} from 'node:http';

/** Times from the end of the caller's side to the probes after the first one, in milliseconds. A reset shows at the next write, so one of them has to follow the first probe by more than a round trip. */
const probeTimesMs = [50, 150, 450];

/** Whether a response can be preceded by interim ones, which are all that may be written before it: HTTP/1.0 has none (RFC 9110, section 15.2). */
export function canProbe({headersSent, req}: ServerResponse): boolean {
	return !headersSent && req.httpVersion === '1.1';
}

/** Writes interim responses, which callers ignore, until the response begins or the connection turns out to be closed. */
export function probeCaller(response: ServerResponse): void {
	const probe = () => {
		if (canProbe(response) && !response.destroyed) {
			response.writeContinue();
		}
	};

	probe();
	const timers = probeTimesMs.map(timeMs => setTimeout(probe, timeMs));
	response.once('close', () => {
		for (const timer of timers) {
			clearTimeout(timer);
		}
	});
}
