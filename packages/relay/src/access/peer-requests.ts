/** Correlates requests to peers with their replies by id. */
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';
import {startTimeout} from '../utils/start-timeout.js';

export type PeerRequestOptions = {
	/** Whether a timeout is extended once if this process was late itself: replies that arrived meanwhile have not been read. */
	readonly extendsLateTimeouts?: boolean;
};

function startFixedTimeout(clock: Clock, ms: number, onTimeout: () => void): Timer {
	return clock.after(ms, onTimeout);
}

/** Pending requests of one kind. */
export class PeerRequests<Answer> {
	readonly #clock: Clock;
	readonly #startTimeout: typeof startFixedTimeout;
	readonly #open = new Map<number, (answer: Answer) => void>();
	#lastId = 0;

	constructor(clock: Clock, {extendsLateTimeouts = false}: PeerRequestOptions = {}) {
		this.#clock = clock;
		this.#startTimeout = extendsLateTimeouts ? startTimeout : startFixedTimeout;
	}

	/** Sends a request under a new id; resolves with the reply, or with undefined after `timeoutMs`. */
	async send(timeoutMs: number, transmit: (id: number) => void): Promise<Answer | undefined> {
		this.#lastId += 1;
		const id = this.#lastId;
		return new Promise(resolve => {
			const timer = this.#startTimeout(this.#clock, timeoutMs, () => {
				this.#open.delete(id);
				resolve(undefined);
			});
			this.#open.set(id, answer => {
				timer.stop();
				this.#open.delete(id);
				resolve(answer);
			});
			transmit(id);
		});
	}

	/** Settles a pending request; a reply after the timeout is ignored. */
	settle(id: number, answer: Answer): void {
		this.#open.get(id)?.(answer);
	}
}
