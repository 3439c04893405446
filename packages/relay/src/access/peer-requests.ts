/** Correlates requests to peers with their replies by id. */
import {type Clock} from '@gatehead/policy/utils/clock';

/** Pending requests of one kind. */
export class PeerRequests<Answer> {
	readonly #clock: Clock;
	readonly #open = new Map<number, (answer: Answer) => void>();
	#lastId = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Sends a request under a new id; resolves with the reply, or with undefined after `timeoutMs`. */
	async send(timeoutMs: number, transmit: (id: number) => void): Promise<Answer | undefined> {
		this.#lastId += 1;
		const id = this.#lastId;
		return new Promise(resolve => {
			const timer = this.#clock.after(timeoutMs, () => {
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
