/**
 * Control calls from the relay to endpoints: reserve memory, cancel a
 * reservation, free a prefill result, change an engine's stage. None of them
 * runs a request. Safety: endpoints do not name these calls in their responses,
 * so a grant is used only if its reservation is new on its connection.
 */
import {type Duplex} from 'node:stream';
import {ignore} from '@gatehead/policy/utils/ignore';
import {type Endpoint} from '@gatehead/schema/routing';
import {type EndpointCall, type EngineRun, type PromptPart} from '../core/dialect.js';
import {type BaseContext, type RelayContext} from '../core/context.js';
import {
	recordReservation, setIdleTimeout, traceConnection, type ConnectionTrace,
} from './connection-pool.js';
import {type Endpoints} from './endpoints.js';
import {exchangeWith} from './endpoint-exchange.js';
import {ExchangeError, openShare, readBody} from './exchange.js';

/** Size limit of a control call's response, in bytes. */
const maxResponseBytes = 65_536;
/** Size limit of a list of runs or cached parts, in bytes; the memory of an engine holds some thousand parts. */
const maxListBytes = 1_048_576;
/** Timeout of a list, in milliseconds. No request waits for one, and what an engine holds cannot be learned elsewhere. */
const listTimeoutMs = 2000;
/** Timeout of a reservation, in milliseconds: it needs no slot, so a replica that takes longer is unhealthy. */
const reserveTimeoutMs = 250;
/** Timeout of calls that no request waits for, in milliseconds. */
const cleanupTimeoutMs = 2000;
const okStatus = 200;

/** Returns a signal that is not aborted; each call gets its own, since a shared one would gather the listeners of all calls. */
function createUnusedSignal(): AbortSignal {
	return new AbortController().signal;
}

/** Outcome of a reservation. */
export type ReservationAnswer
	= | {readonly kind: 'granted'; readonly reservation: string}
		| {readonly kind: 'full'}
		| {readonly kind: 'failed'; readonly reason: string};

/**
 * Reply of an engine that was asked for a list. `gone`: the process that the
 * entry names has ended, with all that it held. `rejected`: it replied without
 * a list. `unanswered`: nothing is known of it.
 */
export type EngineList<Item>
	= | {readonly kind: 'listed'; readonly items: Item[]}
		| {readonly kind: 'gone' | 'rejected' | 'unanswered'};

/** Response to a control call, and its connection. */
type CallResult = {
	readonly status: number;
	/** Whether the address now belongs to another endpoint. */
	readonly isAddressReassigned: boolean;
	readonly body: string;
	readonly socket: Duplex;
};

type CallOptions = {
	/** Called right before the call is written. */
	readonly onSent?: (connection: ConnectionTrace) => void;
	/** Size limit of the response. */
	readonly maxBytes?: number;
};

type ControlCallContext = BaseContext & Pick<RelayContext, 'dialect' | 'incoming' | 'settings'>;

/** Makes control calls. */
export class ControlCalls {
	readonly #context: ControlCallContext;
	readonly #endpoints: Endpoints;

	constructor(context: ControlCallContext, endpoints: Endpoints) {
		this.#context = context;
		this.#endpoints = endpoints;
	}

	/** Reserves memory for `tokens` tokens at an endpoint, for `lifeMs` milliseconds. */
	async reserve(endpoint: Endpoint, tokens: number, lifeMs: number, signal: AbortSignal): Promise<ReservationAnswer> {
		const {dialect, clock, metrics} = this.#context;
		let trace: ConnectionTrace | undefined;
		try {
			const {status, body, socket} = await this.#call(endpoint, dialect.reserve(tokens, lifeMs), reserveTimeoutMs, signal, {
				onSent(connection) {
					trace = connection;
				},
			});
			const reservation = status === okStatus ? dialect.readReservation(body) : undefined;
			if (reservation !== undefined && !recordReservation(socket, reservation)) {
				throw new ExchangeError('foreign', true, new Error('the reservation was granted before on this connection'));
			}

			metrics.add('reservations', {outcome: reservation === undefined ? 'full' : 'granted'});
			if (reservation === undefined) {
				this.#endpoints.noteFull(endpoint.id, tokens);
				return {kind: 'full'};
			}

			return {kind: 'granted', reservation};
		} catch (error) {
			metrics.add('reservations', {outcome: 'failed'});
			const reason = error instanceof ExchangeError ? error.fault : 'reset';
			if (reason !== 'aborted') {
				this.#endpoints.judge(endpoint, reason === 'silent' || reason === 'connect' ? 'silent' : 'broken');
				this.#context.log('sendFailed', {
					step: 'reserve', endpoint: endpoint.id, outcome: 'failed', reason, detail: String(error), ...trace, at: Math.round(clock.now()),
				});
			}

			return {kind: 'failed', reason};
		}
	}

	/** Cancels an unused reservation; failures are only logged. */
	cancelReservation(endpoint: Endpoint, reservation: string): void {
		void this.#cleanUp(endpoint, this.#context.dialect.cancelReservation(reservation), 'reservation');
	}

	/** Frees an unused prefill result; failures are only logged. */
	freeResult(endpoint: Endpoint, result: string): void {
		void this.#cleanUp(endpoint, this.#context.dialect.freeResult(result), 'result');
	}

	/** Orders an engine to change its stage; returns the response's status, or the error as text. */
	async orderStage(endpoint: Endpoint, stage: 'prefill' | 'decode', holder: string, fence: number): Promise<string> {
		try {
			const {status} = await this.#call(endpoint, this.#context.dialect.orderStage(endpoint, stage, holder, fence), cleanupTimeoutMs, createUnusedSignal());
			return String(status);
		} catch (error) {
			// The engine may have accepted the order; its directory entry shows the outcome
			return String(error);
		}
	}

	/** Lists the runs in progress at an engine. */
	async listRuns(endpoint: Endpoint): Promise<EngineList<EngineRun>> {
		const {dialect} = this.#context;
		return this.#list(endpoint, dialect.listRuns(endpoint), body => dialect.readRuns(body));
	}

	/** Lists the prompt parts in an engine's cache. */
	async listCachedParts(endpoint: Endpoint): Promise<EngineList<PromptPart>> {
		const {dialect} = this.#context;
		return this.#list(endpoint, dialect.listCachedParts(endpoint), body => dialect.readCachedParts(body));
	}

	/** Whether another process at the endpoint's address states that it is not this endpoint. */
	async isReplaced(endpoint: Endpoint): Promise<boolean> {
		try {
			const {isAddressReassigned} = await this.#callForList(endpoint, this.#context.dialect.listRuns(endpoint));
			return isAddressReassigned;
		} catch (error) {
			this.#logFailedList(endpoint, error);
			return false;
		}
	}

	async #list<Item>(endpoint: Endpoint, call: EndpointCall, read: (body: string) => Item[] | undefined): Promise<EngineList<Item>> {
		try {
			const {status, body, isAddressReassigned} = await this.#callForList(endpoint, call);
			if (isAddressReassigned) {
				return {kind: 'gone'};
			}

			const items = status === okStatus ? read(body) : undefined;
			return items === undefined ? {kind: 'rejected'} : {kind: 'listed', items};
		} catch (error) {
			this.#logFailedList(endpoint, error);
			return {kind: error instanceof ExchangeError && error.isRefused ? 'gone' : 'unanswered'};
		}
	}

	async #callForList(endpoint: Endpoint, call: EndpointCall): Promise<CallResult> {
		return this.#call(endpoint, call, listTimeoutMs, createUnusedSignal(), {maxBytes: maxListBytes});
	}

	#logFailedList({id}: Endpoint, error: unknown): void {
		this.#context.log('sendFailed', {
			step: 'list', endpoint: id, outcome: 'failed', reason: error instanceof ExchangeError ? error.fault : 'reset', detail: String(error),
		});
	}

	async #cleanUp(endpoint: Endpoint, call: EndpointCall, what: string): Promise<void> {
		let outcome = 'freed';
		try {
			const {status} = await this.#call(endpoint, call, cleanupTimeoutMs, createUnusedSignal());
			outcome = String(status);
		} catch (error) {
			// Reservations and results expire on their own
			outcome = String(error);
		}

		this.#context.log('resultFreed', {endpoint: endpoint.id, what, outcome});
	}

	/** `timeoutMs` holds for the head of the response, and again for its body. */
	async #call(endpoint: Endpoint, {method, path, headers, body}: EndpointCall, timeoutMs: number, signal: AbortSignal, {onSent = ignore, maxBytes = maxResponseBytes}: CallOptions = {}): Promise<CallResult> {
		const {clock, dialect, incoming, settings} = this.#context;
		const bytes = body === undefined ? undefined : new TextEncoder().encode(body);
		const fields = ['Host', endpoint.address, ...Object.entries(headers).flat(), ...(bytes === undefined ? [] : ['Content-Length', String(bytes.length)])];
		const {response, facts} = await exchangeWith(this.#endpoints, endpoint, {
			method, target: path, headers: fields, body: bytes,
		}, {
			clock,
			connectMs: settings.timing.connectMs,
			headMs: timeoutMs,
			signal,
			maySend(socket) {
				onSent(traceConnection(socket));
				return true;
			},
			verify(response) {
				const facts = dialect.readResponse(response.statusCode ?? 0, response.headers);
				// The response to a request of a caller, late or duplicated
				return facts.id === undefined ? facts : undefined;
			},
		});
		const status = response.statusCode ?? 0;
		setIdleTimeout(response.socket, facts.keepAliveMs);
		if (!facts.isAddressReassigned) {
			this.#endpoints.noteSignals(endpoint, {signals: facts.signals, sentAt: clock.now(), isComplete: false});
		}

		const {socket} = response;
		const content = await readBody(response, clock, {maxBytes, timeoutMs, share: openShare(incoming, 'control', response)});
		return {
			status, isAddressReassigned: facts.isAddressReassigned, socket, body: new TextDecoder().decode(content),
		};
	}
}
