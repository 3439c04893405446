/** The stand-in plain service: counts its runs by request, answers with an echo, and can be late or silent. */
import {type Clock} from '@gatehead/policy/utils/clock';
import {readBody, sendJson, startServer} from '../utils/http.js';

/** Faults of one replica. */
export type ServiceFaults = {
	/** Time before each answer. */
	delayMs: number;
	/** Runs the call and then never answers. */
	isSilent: boolean;
	/** Runs the call and resets the connection in place of an answer. */
	resetsAfterRun: boolean;
	/** Runs the call, and resets the connection inside an answer that only the connection's end would end. */
	cutsUnframed: boolean;
	/** Refuses the call without running it. */
	refuses: boolean;
};

/** A running replica. */
export type StandinService = {
	readonly address: string;
	readonly faults: ServiceFaults;
	/** Runs by request: the count that tests judge by. */
	readonly runs: ReadonlyMap<string, number>;
	kill(): Promise<void>;
	revive(): Promise<void>;
};

/** Header in which gatehead names the request. */
export const requestHeader = 'gatehead-request';

/** Starts a replica of a plain service. */
export async function startService(clock: Clock, address: string): Promise<StandinService> {
	const runs = new Map<string, number>();
	const faults: ServiceFaults = {
		delayMs: 0, isSilent: false, resetsAfterRun: false, cutsUnframed: false, refuses: false,
	};
	const server = await startServer({}, address, async (request, response, url) => {
		const body = await readBody(request);
		const name = String(request.headers[requestHeader]);
		if (faults.refuses) {
			response.setHeader('gatehead-ran', 'no');
			sendJson(response, 503, {refused: true});
			return;
		}

		runs.set(name, (runs.get(name) ?? 0) + 1);
		if (faults.isSilent) {
			return;
		}

		if (faults.resetsAfterRun) {
			request.socket.resetAndDestroy();
			return;
		}

		if (faults.cutsUnframed) {
			request.socket.write('HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{"path":');
			request.socket.resetAndDestroy();
			return;
		}

		clock.after(faults.delayMs, () => {
			sendJson(response, 200, {path: url.pathname, echo: body, run: runs.get(name)});
		});
	});
	return {
		address: server.address, faults, runs, kill: server.kill, revive: server.revive,
	};
}
