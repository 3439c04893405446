/** State of one generation over all its rounds. */
import {ignore} from '@gatehead/policy/utils/ignore';
import {EventForwarder} from './event-forwarder.js';
import {type Via} from './generation-failure.js';
import {type Job} from './job.js';
import {type WorkParts} from './parts.js';
import {StreamForecast} from './stream-forecast.js';

/** Tokens reserved for the answer, as a multiple of the caller's estimate. A lower factor makes replicas evict streams, whose prompts must then be prefilled again; a higher one leaves memory unused. */
const answerFactor = 0.9;
/** Stands for the endpoint of an earlier request; no endpoint has an empty id. */
const earlierEndpoint = '';
/** Block size of the engines' decode memory, in tokens; reservations are rounded up to it. */
const blockTokens = 16;

export type StreamStateParts = Pick<WorkParts, 'context' | 'endpoints'>;

export class StreamState {
	readonly events: EventForwarder;
	readonly forecast: StreamForecast;
	/** Decode replicas tried for this request. */
	readonly triedReplicas = new Set<string>();
	/** When the memory of the latest run was reserved. */
	reservedAt = 0;
	/** Attempts to begin a run, whether or not one began. */
	rounds = 0;
	/** Whether this host has ended a silent run itself. Such a stream seeks another run until its deadline. */
	mustContinue = false;
	/** Endpoint that sent the latest events. */
	source: Via | undefined;
	/** Software version that the stream has to go on at; undefined until an event of it is forwarded. */
	softwareVersion: string | undefined;
	readonly #parts: StreamStateParts;
	readonly #job: Job;
	/** Versions of runs that delivered no event, by endpoint. Their output stays in the endpoint's cache, indistinguishable from that of the stream. */
	readonly #unseenRuns = new Map<string, string>();

	constructor(parts: StreamStateParts, job: Job) {
		this.#parts = parts;
		this.#job = job;
		this.softwareVersion = job.resumedVersion;
		// Endpoints that keep failing must not receive every retry of the caller
		if (job.earlierVersion !== undefined && parts.endpoints.hasUsableVersion(job.service.name, 'decode', job.earlierVersion)) {
			this.#unseenRuns.set(earlierEndpoint, job.earlierVersion);
		}

		this.forecast = new StreamForecast(parts, job);
		this.events = new EventForwarder(job.reply, parts.context.clock, parts.context.settings.limits.unreadBytes);
	}

	/** Software version for the next run: that of the stream, else that of a run that delivered no event; undefined: any. Cached prompt parts identify a stream's version after a restart of all hosts only if all its runs had the same one. */
	get nextVersion(): string | undefined {
		const [unseen] = this.#unseenRuns.values();
		return this.softwareVersion ?? unseen;
	}

	/** Whether no event was delivered and endpoints of another version can take the request. */
	get mayChangeVersion(): boolean {
		const {nextVersion} = this;
		return this.softwareVersion === undefined && nextVersion !== undefined && this.#parts.endpoints.hasOtherVersion(this.#job.service.name, 'decode', nextVersion);
	}

	/** Lets the next run be at any version. */
	changeVersion(): void {
		this.#unseenRuns.clear();
	}

	/** Notes that a run may begin at an endpoint; called before its request is written. The returned function takes it back. */
	noteRun({id, softwareVersion}: Via): () => void {
		if (this.softwareVersion !== undefined || softwareVersion === undefined || this.#unseenRuns.has(id)) {
			return ignore;
		}

		this.#unseenRuns.set(id, softwareVersion);
		return () => {
			this.#unseenRuns.delete(id);
		};
	}

	/** Versions of this request's runs, if no event of them was forwarded. */
	listUnseenVersions(): string[] {
		const own = [...this.#unseenRuns].filter(([endpoint]) => endpoint !== earlierEndpoint);
		return this.softwareVersion === undefined ? [...new Set(own.map(([, version]) => version))] : [];
	}

	/** Removes the runs at an endpoint that refuses connections, since a terminated process has lost its cache, and the preference of earlier requests. */
	forgetRun(id: string): void {
		this.#unseenRuns.delete(id);
		this.#unseenRuns.delete(earlierEndpoint);
	}

	/** Whether a run at this version is at another one than all earlier runs; undefined if there was none, or if the version is not known. */
	isOtherVersion(softwareVersion: string | undefined): boolean | undefined {
		return this.#unseenRuns.size === 0 || softwareVersion === undefined ? undefined : ![...this.#unseenRuns.values()].includes(softwareVersion);
	}

	/** Memory of one engine and lifetime of its reservations; 0 where the service states none. */
	get engine() {
		return this.#job.service.engine ?? {capacityTokens: 0, reservationMs: 0};
	}

	/** Memory that the rest of the stream needs, in tokens. */
	tokensToReserve(): number {
		const {facts: {promptTokens, answerTokens}, service} = this.#job;
		const {endpoints} = this.#parts;
		if (endpoints.isLoadManaged) {
			return endpoints.memoryForecast.reservationFor(service.name, {promptTokens, estimateTokens: answerTokens, doneTokens: this.forecast.doneTokens});
		}

		const tokens = promptTokens + (answerFactor * answerTokens);
		return Math.max(blockTokens, Math.ceil(tokens / blockTokens) * blockTokens);
	}
}
