/** Decides whether a stream may continue in another run, and prepares it for that. */
import {isOff} from '../core/experiment.js';
import {failJob, type Via} from './generation-failure.js';
import {type Job} from './job.js';
import {type ContinuationBlock, type JobEnd} from './job-end.js';
import {type WorkParts} from './parts.js';
import {type RoundResult} from './round.js';
import {type StreamState} from './stream-state.js';

/** Maximum runs per request that may have happened; bounds the replicas that one request can crash. */
const maxRuns = 4;

/** Finds which bound on the runs of a request is reached. Attempts that found no room and runs that were rejected do not count. */
export function findSpentBound({route, runs}: Pick<Job, 'route' | 'runs'>): 'attempts' | 'runs' | undefined {
	if (runs.count >= route.maxAttempts) {
		return 'attempts';
	}

	return runs.count >= maxRuns ? 'runs' : undefined;
}

export class Continuation {
	readonly #parts: Pick<WorkParts, 'budgets' | 'context' | 'guard' | 'streams'>;
	readonly #job: Job;
	readonly #state: StreamState;

	constructor(parts: Pick<WorkParts, 'budgets' | 'context' | 'guard' | 'streams'>, job: Job, state: StreamState) {
		this.#parts = parts;
		this.#job = job;
		this.#state = state;
	}

	/** Continues at another replica if possible; otherwise ends the job. A stream that must continue waits for retry budget. */
	async continueOrFail(endpoint: Via, reason: string): Promise<RoundResult> {
		const blockedBy = await this.findBlock();
		const refuse = (): JobEnd => ({...failJob(this.#job, endpoint, reason), blockedBy});
		const isWaiting = blockedBy === 'budget' && this.#state.mustContinue;
		if (blockedBy !== undefined && !isWaiting) {
			await this.recordUnseenRuns();
			return {kind: 'ended', end: refuse()};
		}

		this.continueAfter(endpoint, reason);
		return isWaiting ? {kind: 'notBegun', refuse} : {kind: 'retry'};
	}

	/** Replicates the versions of runs that delivered no event; resolves before the error response, as the caller may retry at another host. */
	async recordUnseenRuns(): Promise<void> {
		for (const version of this.#state.listUnseenVersions()) {
			await this.#parts.streams.recordUnseen(this.#job, version);
		}
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
		if (isOff(this.#parts.context, 'continuing') || !this.#job.route.isResumable) {
			return 'route';
		}

		return findSpentBound(this.#job);
	}
}
