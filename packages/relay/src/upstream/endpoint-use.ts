/** What one host has in work at one endpoint, and what the endpoint said last of its room. Efficiency only. */
import {Connections} from './connections.js';

/** Time for which an endpoint that had no room is passed over for requests of that size, in milliseconds: about the time in which one of its answers ends. */
const fullMs = 90;
/** Connections to one endpoint where its service names no bound: as many as an engine batches. */
const mostConnections = 64;

/** The use of one endpoint. */
export class EndpointUse {
	readonly connections: Connections;
	/** When the last work began, on this process's clock. */
	beganAt = Number.NEGATIVE_INFINITY;
	#open = 0;
	#tokens = 0;
	#fullAt = Number.NEGATIVE_INFINITY;
	#fullTokens = 0;

	/** `onConnection` is called for each new connection. */
	constructor(onConnection: () => void) {
		this.connections = new Connections(mostConnections, onConnection);
	}

	/** Sends in work. */
	get open(): number {
		return this.#open;
	}

	/** Tokens of memory that this host has taken there. */
	get tokens(): number {
		return this.#tokens;
	}

	/** Notes work; the returned function ends it, once, and says by `onRoom` that memory came free. */
	begin(tokens: number, now: number, onRoom: () => void): () => void {
		this.beganAt = now;
		this.#open += 1;
		this.#tokens += tokens;
		let isOpen = true;
		return () => {
			if (!isOpen) {
				return;
			}

			isOpen = false;
			this.#open -= 1;
			this.#tokens -= tokens;
			if (tokens > 0) {
				this.#fullAt = Number.NEGATIVE_INFINITY;
				onRoom();
			}
		};
	}

	/** Whether the endpoint said a moment ago that it had no room for as much. */
	isFull(tokens: number, now: number): boolean {
		return now - this.#fullAt < fullMs && tokens >= this.#fullTokens;
	}

	/** Notes that it has no room for so many tokens. */
	noteFull(tokens: number, now: number): void {
		this.#fullAt = now;
		this.#fullTokens = tokens;
	}
}
