/**
 * The relay's own calls to endpoints: reserve memory, give it back, free a
 * prefill's result. Efficiency: none of them runs a request.
 */
import {type Endpoint} from '@gatehead/schema/routing';
import {type EndpointCall} from '../core/dialect.js';
import {type BaseContext, type RelayContext} from '../core/context.js';
import {noteRest, spoil} from './connections.js';
import {type Endpoints} from './endpoints.js';
import {exchange, ExchangeError, readBody} from './exchange.js';

/** Longest body of an answer to such a call: some hundred times the usual one. */
const mostBytes = 65_536;
/** Time for an answer, in milliseconds: these calls need no slot; a replica that takes longer is not well. */
const answerMs = 250;
/** Time for giving something back, in milliseconds: nobody waits for it. */
const tidyMs = 2000;
const okStatus = 200;

/** A signal that never fires: one for each call, since all calls at one moment would listen to a shared one. */
function never(): AbortSignal {
	return new AbortController().signal;
}

/** What came of a reservation. */
export type ReservationAnswer
	= | {readonly kind: 'granted'; readonly reservation: string}
		| {readonly kind: 'full'}
		| {readonly kind: 'failed'; readonly reason: string};

type OwnCallContext = BaseContext & Pick<RelayContext, 'dialect' | 'settings'>;

/** Makes the relay's own calls. */
export class OwnCalls {
	readonly #context: OwnCallContext;
	readonly #endpoints: Endpoints;

	constructor(context: OwnCallContext, endpoints: Endpoints) {
		this.#context = context;
		this.#endpoints = endpoints;
	}

	/** Asks an endpoint for room. */
	async reserve(endpoint: Endpoint, tokens: number, lifeMs: number, signal: AbortSignal): Promise<ReservationAnswer> {
		const {dialect, clock, metrics} = this.#context;
		try {
			const {status, body} = await this.#call(endpoint, dialect.reserve(tokens, lifeMs), answerMs, signal);
			const reservation = status === okStatus ? dialect.readReservation(body) : undefined;
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
					step: 'reserve', endpoint: endpoint.id, outcome: 'failed', reason, detail: String(error), at: Math.round(clock.now()),
				});
			}

			return {kind: 'failed', reason};
		}
	}

	/** Gives a reservation back that nobody uses. */
	cancelReservation(endpoint: Endpoint, reservation: string): void {
		void this.#tidy(endpoint, this.#context.dialect.cancelReservation(reservation), 'reservation');
	}

	/** Frees a prefill's result that nobody uses. */
	freeResult(endpoint: Endpoint, result: string): void {
		void this.#tidy(endpoint, this.#context.dialect.freeResult(result), 'result');
	}

	/** Orders an engine to change its part; returns the status of its answer, or why there is none. */
	async orderStage(endpoint: Endpoint, stage: 'prefill' | 'decode', holder: string, fence: number): Promise<string> {
		try {
			const {status} = await this.#call(endpoint, this.#context.dialect.orderStage(endpoint, stage, holder, fence), tidyMs, never());
			return String(status);
		} catch (error) {
			// The order may have been taken: what the directory says of the engine decides
			return String(error);
		}
	}

	async #tidy(endpoint: Endpoint, call: EndpointCall, what: string): Promise<void> {
		let outcome = 'freed';
		try {
			const {status} = await this.#call(endpoint, call, tidyMs, never());
			outcome = String(status);
		} catch (error) {
			// What is not given back lapses by itself soon; the line says so
			outcome = String(error);
		}

		this.#context.log('resultFreed', {endpoint: endpoint.id, what, outcome});
	}

	async #call(endpoint: Endpoint, {method, path, headers, body}: EndpointCall, headMs: number, signal: AbortSignal): Promise<{readonly status: number; readonly body: string}> {
		const {clock, dialect, settings} = this.#context;
		const bytes = body === undefined ? undefined : new TextEncoder().encode(body);
		const fields = ['Host', endpoint.address, ...Object.entries(headers).flat(), ...(bytes === undefined ? [] : ['Content-Length', String(bytes.length)])];
		const response = await exchange({
			address: endpoint.address, method, target: path, headers: fields, body: bytes,
		}, this.#endpoints.connectionsOf(endpoint), {
			clock, connectMs: settings.timing.connectMs, headMs, signal,
		});
		const status = response.statusCode ?? 0;
		const facts = dialect.readResponse(status, response.headers);
		noteRest(response.socket, facts.keepAliveMs);
		if (facts.id !== undefined) {
			// An answer to somebody's request: late, or twice
			spoil(response.socket);
			response.destroy();
			throw new ExchangeError('reset', true, new Error('an answer to another request'));
		}

		if (!facts.isAddressReassigned) {
			this.#endpoints.noteSignals(endpoint, {signals: facts.signals, sentAt: clock.now(), isComplete: false});
		}

		return {status, body: new TextDecoder().decode(await readBody(response, mostBytes))};
	}
}
