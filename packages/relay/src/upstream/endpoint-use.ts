/** Requests and memory that this host has in use at one endpoint, and the endpoint's last refusal for lack of capacity. */
import {ConnectionPool} from './connection-pool.js';

/** Time for which an endpoint that refused for lack of capacity is skipped for requests of that size, in milliseconds: about the time in which one of its responses completes. */
const fullRetryMs = 90;
/** Connection limit of an endpoint whose service sets none: as many requests as an engine batches. */
const connectionLimit = 64;

/** This host's use of one endpoint. */
export class EndpointUse {
	readonly connections: ConnectionPool;
	/** When the last send started, on this process's clock. */
	lastSentAt = Number.NEGATIVE_INFINITY;
	/** When the last connection with a request in flight was lost, on this process's clock. */
	lastLostAt = Number.NEGATIVE_INFINITY;
	#inFlight = 0;
	#tokens = 0;
	#refusedAt = Number.NEGATIVE_INFINITY;
	#refusedTokens = 0;

	/** `onConnection` is called for each new connection. */
	constructor(onConnection: () => void) {
		this.connections = new ConnectionPool(connectionLimit, onConnection);
	}

	/** Number of sends in flight. */
	get inFlight(): number {
		return this.#inFlight;
	}

	/** Memory that this host's sends use at the endpoint, in tokens. */
	get tokens(): number {
		return this.#tokens;
	}

	/** Starts tracking a send. The returned function ends it and calls `onRoom` if that frees memory; further calls do nothing. */
	begin(tokens: number, now: number, onRoom: () => void): () => void {
		this.lastSentAt = now;
		this.#inFlight += 1;
		this.#tokens += tokens;
		let isOpen = true;
		return () => {
			if (!isOpen) {
				return;
			}

			isOpen = false;
			this.#inFlight -= 1;
			this.#tokens -= tokens;
			if (tokens > 0) {
				this.#refusedAt = Number.NEGATIVE_INFINITY;
				onRoom();
			}
		};
	}

	/** Whether the endpoint recently refused a request of at most this size for lack of capacity. */
	isFull(tokens: number, now: number): boolean {
		return now - this.#refusedAt < fullRetryMs && tokens >= this.#refusedTokens;
	}

	/** Records that the endpoint refused a request of this size for lack of capacity. */
	noteFull(tokens: number, now: number): void {
		this.#refusedAt = now;
		this.#refusedTokens = tokens;
	}
}
