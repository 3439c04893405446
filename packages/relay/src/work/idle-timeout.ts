/** Ends a response on which no data arrives for a while. */
import {type IncomingMessage} from 'node:http';
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';

/** Idle timeout of one response, running from its construction. */
export class IdleTimeout {
	readonly #response: IncomingMessage;
	readonly #clock: Clock;
	readonly #timeoutMs: number | undefined;
	#timer: Timer | undefined;
	#hasExpired = false;

	/** `timeoutMs`: in milliseconds; undefined: no timeout. */
	constructor(response: IncomingMessage, clock: Clock, timeoutMs: number | undefined) {
		this.#response = response;
		this.#clock = clock;
		this.#timeoutMs = timeoutMs;
		this.reset();
	}

	/** Whether the timeout ended the response. */
	get hasExpired(): boolean {
		return this.#hasExpired;
	}

	/** Restarts the timeout when data arrives. */
	reset(): void {
		this.#timer?.stop();
		if (this.#timeoutMs === undefined) {
			return;
		}

		this.#timer = this.#clock.after(this.#timeoutMs, () => {
			this.#hasExpired = true;
			this.#response.destroy(new Error('idle timeout'));
		});
	}

	stop(): void {
		this.#timer?.stop();
	}
}
