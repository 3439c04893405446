/** The stand-in engine over HTTP: prefill and decode cores behind the engine's interface, with lagging reports and fenced orders. */
import {request as httpRequest, type ServerResponse} from 'node:http';
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';
import {
	cancelOrder, decodeOrder, engineOrder, enginePaths, prefillOrder, resumeOrder,
	type DecodeOrder, type EngineOrder, type EngineRefusal, type EngineReport, type OrderResult, type StreamLine,
} from '@gatehead/schema/engine-protocol';
import {splitAddress} from '@gatehead/schema/address';
import {
	readBody, sendJson, startServer, type Routes, type RunningServer,
} from '../utils/http.js';
import {DecodeCore} from './decode-core.js';
import {PrefillCore} from './prefill-core.js';
import {noFaults, type EngineFaults, type EngineTraits} from './traits.js';

const refusedStatus = 409;

/** A running stand-in engine, with what tests count and change. */
export type StandinEngine = {
	readonly traits: EngineTraits;
	readonly address: string;
	readonly faults: EngineFaults;
	readonly prefill: PrefillCore;
	readonly decode: DecodeCore;
	/** Orders obeyed, in the order of obeying. */
	readonly orders: readonly EngineOrder[];
	/** What the engine serves now. */
	serving(): Pick<EngineOrder, 'role' | 'model'>;
	kill(): Promise<void>;
	revive(): Promise<void>;
};

type EngineState = {
	readonly traits: EngineTraits;
	readonly faults: EngineFaults;
	readonly clock: Clock;
	readonly prefill: PrefillCore;
	readonly decode: DecodeCore;
	readonly orders: EngineOrder[];
	role: EngineOrder['role'];
	model: EngineOrder['model'];
	fence: number;
	snapshot: EngineReport;
	snapshots: Timer | undefined;
};

function takeReport(state: EngineState): EngineReport {
	const {traits, prefill, decode} = state;
	return {
		name: traits.name,
		role: state.role,
		fence: state.fence,
		models: [state.model],
		slots: traits.slots,
		streams: decode.listHeld(),
		results: prefill.listHeld(),
		queued: prefill.queued,
		tokenMs: decode.tokenMs,
		lagMs: traits.reportLagMs,
		cacheEvents: [],
	};
}

function keepSnapshots(state: EngineState): void {
	state.snapshot = takeReport(state);
	state.snapshots = state.clock.after(state.traits.reportLagMs, () => {
		keepSnapshots(state);
	});
}

/** Whether the engine serves what the order names. */
function isServed({model}: EngineState, order: {readonly model: string; readonly adapter?: string | undefined}): boolean {
	return model.name === order.model && (order.adapter === undefined || model.adapters.includes(order.adapter));
}

/** Fetches a result from its prefill engine; resolves with the refusal when it is gone. */
async function importResult(order: DecodeOrder): Promise<EngineRefusal | undefined> {
	const {ip, port} = splitAddress(order.source.address);
	return new Promise(resolve => {
		const call = httpRequest({
			host: ip, port, method: 'POST', path: enginePaths.export,
		}, response => {
			response.resume();
			response.once('end', () => {
				resolve(response.statusCode === 200 ? undefined : {refused: 'lapsed'});
			});
			response.once('error', () => {
				resolve({refused: 'lapsed'});
			});
		});
		call.once('error', () => {
			resolve({refused: 'lapsed'});
		});
		call.end(JSON.stringify({handle: order.source.handle}));
	});
}

function writeLine(state: EngineState, response: ServerResponse, line: StreamLine): void {
	response.write(`${JSON.stringify(line)}\n`);
	if (line.kind === 'end') {
		response.end();
	} else if (line.kind === 'token' && line.n + 1 >= state.faults.resetAfterTokens && state.faults.resetsLeft > 0) {
		state.faults.resetsLeft -= 1;
		response.socket?.resetAndDestroy();
	}
}

/** Writes a stream's lines to a response; the stream goes on when the response is cut. */
function openSink(state: EngineState, response: ServerResponse, request: string, attempt: number): (line: StreamLine) => void {
	const sink = (line: StreamLine) => {
		writeLine(state, response, line);
	};

	response.once('close', () => {
		state.decode.detach(request, attempt, sink);
	});
	return sink;
}

async function decodeStream(state: EngineState, order: DecodeOrder, response: ServerResponse): Promise<void> {
	const sink = openSink(state, response, order.request, order.attempt);
	const refusal = state.role === 'decode' && isServed(state, order) ? state.decode.reserve(order, sink) : {refused: 'notLoaded' as const};
	if (refusal !== undefined) {
		sendJson(response, refusedStatus, refusal);
		return;
	}

	const failed = await importResult(order);
	if (failed !== undefined) {
		state.decode.abandon(order.request, order.attempt);
		sendJson(response, refusedStatus, failed);
		return;
	}

	response.writeHead(200, {'content-type': 'application/x-ndjson'});
	response.flushHeaders();
	if (!state.decode.begin(order.request, order.attempt)) {
		response.end();
	}
}

/** An engine that checks its sender refuses an older fence; one that does not obeys whoever comes. */
function obey(state: EngineState, order: EngineOrder): OrderResult {
	if (state.traits.checksSender && order.fence < state.fence) {
		return {obeyed: false, fence: state.fence};
	}

	state.fence = Math.max(state.fence, order.fence);
	state.role = order.role;
	state.model = order.model;
	state.orders.push(order);
	return {obeyed: true, fence: state.fence};
}

function routesOf(state: EngineState): Routes {
	const {prefill, decode, faults, clock} = state;
	return {
		async [`POST ${enginePaths.prefill}`](request, response) {
			const order = prefillOrder.parse(JSON.parse(await readBody(request)));
			if (state.role !== 'prefill' || !isServed(state, order)) {
				sendJson(response, refusedStatus, {refused: 'notLoaded'});
				return;
			}

			prefill.prefill(order, outcome => {
				sendJson(response, 'refused' in outcome ? refusedStatus : 200, outcome);
			});
		},
		async [`POST ${enginePaths.export}`](request, response) {
			const {handle} = JSON.parse(await readBody(request)) as {handle: string}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- said between stand-ins only
			const outcome = prefill.startExport(handle);
			if ('refused' in outcome) {
				sendJson(response, refusedStatus, outcome);
				return;
			}

			clock.after(outcome.tookMs + faults.transferStallMs, () => {
				const whole = !response.destroyed;
				prefill.endExport(handle, whole);
				sendJson(response, 200, {});
			});
		},
		async [`POST ${enginePaths.decode}`](request, response) {
			await decodeStream(state, decodeOrder.parse(JSON.parse(await readBody(request))), response);
		},
		async [`POST ${enginePaths.resume}`](request, response) {
			const order = resumeOrder.parse(JSON.parse(await readBody(request)));
			response.statusCode = 200;
			const refusal = decode.resume(order.request, order.attempt, order.from, order.owner, openSink(state, response, order.request, order.attempt));
			if (refusal !== undefined) {
				sendJson(response, refusedStatus, refusal);
			}
		},
		async [`POST ${enginePaths.cancel}`](request, response) {
			const order = cancelOrder.parse(JSON.parse(await readBody(request)));
			if (faults.cancelsLost > 0) {
				faults.cancelsLost -= 1;
				response.socket?.resetAndDestroy();
				return;
			}

			prefill.cancel(order.request, order.attempt);
			decode.cancel(order.request, order.attempt);
			sendJson(response, 200, {held: prefill.holds(order.request, order.attempt) || decode.holds(order.request, order.attempt)});
		},
		[`GET ${enginePaths.report}`](_request, response) {
			if (faults.reportsStopped) {
				return;
			}

			const cacheEvents = prefill.cache.takeEvents().filter(({sequence}) => sequence % 100 >= faults.cacheEventLoss * 100);
			sendJson(response, 200, {...state.snapshot, cacheEvents});
		},
		async [`POST ${enginePaths.orders}`](request, response) {
			sendJson(response, 200, obey(state, engineOrder.parse(JSON.parse(await readBody(request)))));
		},
	};
}

function wrap(state: EngineState, server: RunningServer): StandinEngine {
	const {traits, faults, prefill, decode, orders} = state;
	return {
		traits,
		address: server.address,
		faults,
		prefill,
		decode,
		orders,
		serving: () => ({role: state.role, model: state.model}),
		async kill() {
			state.snapshots?.stop();
			await server.kill();
			for (const {request, attempt} of [...decode.listHeld(), ...prefill.listHeld()]) {
				decode.cancel(request, attempt);
				prefill.cancel(request, attempt);
			}
		},
		async revive() {
			await server.revive();
			keepSnapshots(state);
		},
	};
}

/** Starts a stand-in engine; port 0 lets the system choose. Killing it empties its memory. */
export async function startEngine(traits: EngineTraits, clock: Clock, address: string): Promise<StandinEngine> {
	const faults = noFaults();
	const prefill = new PrefillCore(traits, faults, clock);
	const decode = new DecodeCore(traits, faults, clock);
	const blank: Pick<EngineState, 'role' | 'model' | 'fence'> = {
		role: traits.role, model: {name: traits.model, version: traits.modelVersion, adapters: [...traits.adapters]}, fence: 0,
	};
	const parts = {
		traits, faults, clock, prefill, decode, orders: [], ...blank,
	};
	const state: EngineState = {
		...parts,
		snapshots: undefined,
		snapshot: {
			name: traits.name, role: blank.role, fence: 0, models: [blank.model], slots: traits.slots, streams: [], results: [], queued: 0, tokenMs: decode.tokenMs, lagMs: 0, cacheEvents: [],
		},
	};
	keepSnapshots(state);
	return wrap(state, await startServer(routesOf(state), address));
}
