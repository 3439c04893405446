/**
 * Keeps the forecast of decode memory informed of one stream: its progress,
 * its end, and the length of its output. Does nothing where load is not
 * managed, as the reservation then has no forecast.
 */
import {type Endpoints} from '../upstream/endpoints.js';
import {type RelayContext} from '../core/context.js';
import {type Job} from './job.js';
import {type Reservation} from './replica-search.js';

/** Dependencies of a stream's forecast. */
export type StreamForecastParts = {
	readonly context: Pick<RelayContext, 'clock' | 'metrics'>;
	readonly endpoints: Pick<Endpoints, 'memoryForecast'>;
};

/** Forecast of one request, over all its rounds. */
export class StreamForecast {
	readonly #parts: StreamForecastParts;
	readonly #job: Pick<Job, 'facts' | 'service'>;
	#reservation: Reservation | undefined;
	#doneTokens = 0;
	/** When the first event of this round came, and how many events there were then. */
	#start: {readonly at: number; readonly events: number} | undefined;

	constructor({context, endpoints}: StreamForecastParts, job: Pick<Job, 'facts' | 'service'>) {
		this.#parts = {context, endpoints};
		this.#job = job;
	}

	/** Output received so far over all rounds, in tokens. */
	get doneTokens(): number {
		return this.#doneTokens;
	}

	/** Starts a round at a replica, which ends the one before. */
	begin(reservation: Reservation): void {
		this.end();
		this.#reservation = reservation;
		this.#start = undefined;
	}

	/** Records the number of events received so far, over all rounds. */
	progress(events: number): void {
		const {clock} = this.#parts.context;
		this.#start ??= {at: clock.now(), events};
		this.#doneTokens = events * this.#eventTokens;
		this.#reservation?.stream?.progress(this.#doneTokens, clock.now());
	}

	/** Ends a complete stream. Returns the memory that it held at its end, in tokens; undefined without a forecast. */
	finish(events: number): number | undefined {
		const reservation = this.#reservation;
		this.end();
		if (reservation?.stream === undefined) {
			return undefined;
		}

		const {promptTokens} = this.#job.facts;
		const outputTokens = events * this.#eventTokens;
		this.#recordOutput(outputTokens, promptTokens + outputTokens <= reservation.tokens);
		this.#recordPace(events);
		return promptTokens + outputTokens;
	}

	/** Ends the round, however it went; further calls do nothing. */
	end(): void {
		this.#reservation?.stream?.end();
		this.#reservation = undefined;
	}

	/** Ends a round at a replica, unless another one has begun since. */
	release(reservation: Reservation): void {
		reservation.stream?.end();
		if (this.#reservation === reservation) {
			this.#reservation = undefined;
		}
	}

	get #eventTokens(): number {
		return this.#job.service.engine?.eventTokens ?? 1;
	}

	#recordOutput(outputTokens: number, isBelow: boolean): void {
		const {context: {clock, metrics}, endpoints: {memoryForecast}} = this.#parts;
		const {facts: {answerTokens, lastEventId}, service} = this.#job;
		// A caller that resumes a stream receives only the rest of its output; a response without events is an error, and events of unknown size say nothing
		if (lastEventId !== undefined || outputTokens === 0 || service.engine?.eventTokens === undefined) {
			return;
		}

		const outputs = memoryForecast.outputsOf(service.name);
		const error = outputTokens - outputs.quantile(0.5, answerTokens);
		metrics.add('outputForecasts', {outcome: isBelow ? 'below' : 'above'});
		metrics.add('outputForecastError', {output: error > 0 ? 'longer' : 'shorter'}, Math.abs(error));
		outputs.record(outputTokens, answerTokens, clock.now());
	}

	#recordPace(events: number): void {
		const {context: {clock}, endpoints: {memoryForecast}} = this.#parts;
		if (this.#start !== undefined && this.#job.service.engine?.eventTokens !== undefined) {
			memoryForecast.recordPace((events - this.#start.events) * this.#eventTokens, clock.now() - this.#start.at);
		}
	}
}
