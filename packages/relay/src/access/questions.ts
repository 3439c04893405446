/** Correlates requests to peers with their replies by id. */
import {type Clock} from '@gatehead/policy/utils/clock';

/** Pending requests of one kind. */
export class Questions<Answer> {
	readonly #clock: Clock;
	readonly #pending = new Map<number, (answer: Answer) => void>();
	#lastId = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Sends a request under a new id; resolves with the reply, or with undefined after `timeoutMs`. */
	async ask(timeoutMs: number, send: (id: number) => void): Promise<Answer | undefined> {
		this.#lastId += 1;
		const id = this.#lastId;
		return new Promise(resolve => {
			const timer = this.#clock.after(timeoutMs, () => {
				this.#pending.delete(id);
				resolve(undefined);
			});
			this.#pending.set(id, answer => {
				timer.stop();
				this.#pending.delete(id);
				resolve(answer);
			});
			send(id);
		});
	}

	/** Settles a pending request; a reply after the timeout is ignored. */
	answer(id: number, answer: Answer): void {
		this.#pending.get(id)?.(answer);
	}
}
