/** Decides whether a stream may continue in another run, and prepares it for that. */
import {isOff} from '../core/experiment.js';
import {failJob, type Via} from './generation-failure.js';
import {type Job} from './job.js';
import {type ContinuationBlock} from './job-end.js';
import {type WorkParts} from './parts.js';
import {type RoundResult} from './round.js';
import {type StreamState} from './stream-state.js';

/** Maximum rounds of reservation and decode per request, whatever ended the previous one; bounds the replicas that one request can crash. */
export const maxRounds = 4;

export class Continuation {
	readonly #parts: Pick<WorkParts, 'budgets' | 'context' | 'guard'>;
	readonly #job: Job;
	readonly #state: StreamState;

	constructor(parts: Pick<WorkParts, 'budgets' | 'context' | 'guard'>, job: Job, state: StreamState) {
		this.#parts = parts;
		this.#job = job;
		this.#state = state;
	}

	/** Continues at another replica if possible; otherwise ends the job. */
	async continueOrFail(endpoint: Via, reason: string): Promise<RoundResult> {
		const blockedBy = await this.findBlock();
		if (blockedBy !== undefined) {
			return {kind: 'ended', end: {...failJob(this.#job, endpoint, reason), blockedBy}};
		}

		this.continueAfter(endpoint, reason);
		return {kind: 'retry'};
	}

	/** Prepares the stream for another run. */
	continueAfter({id, softwareVersion}: Via, reason: string): void {
		this.#state.triedReplicas.add(id);
		this.#state.events.restart();
		this.#parts.context.log('continued', {
			request: this.#job.id, endpoint: id, softwareVersion, reason, lastEventId: this.#state.events.lastId ?? '', begun: this.#job.reply.headersSent,
		});
	}

	/** Finds what speaks against another run, or acquires its permit. */
	async findBlock(): Promise<ContinuationBlock | undefined> {
		const {budgets, guard} = this.#parts;
		const fixed = this.findFixedBlock();
		if (fixed !== undefined) {
			return fixed;
		}

		if (!(await guard.mayRetry(this.#job)) || this.#job.signal.aborted) {
			return 'content';
		}

		return await budgets.ensure(this.#job, 'continue') ? undefined : 'budget';
	}

	/** Finds what speaks against another run for as long as the current one lasts. */
	findFixedBlock(): ContinuationBlock | undefined {
		const {route, runs} = this.#job;
		if (isOff(this.#parts.context, 'continuing') || !route.isResumable) {
			return 'route';
		}

		if (runs.count >= route.maxAttempts) {
			return 'attempts';
		}

		return this.#state.rounds >= maxRounds ? 'rounds' : undefined;
	}
}
