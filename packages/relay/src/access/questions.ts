/** Questions to peers that wait for their answers. Neither safety nor efficiency rests here: an answer that never comes ends with its time limit. */
import {type Clock} from '@gatehead/policy/utils/clock';

/** Questions of one kind. */
export class Questions<Answer> {
	readonly #clock: Clock;
	readonly #open = new Map<number, (answer: Answer) => void>();
	#made = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Asks, and resolves with the answer, or with undefined where none comes in time. */
	async ask(limitMs: number, send: (ask: number) => void): Promise<Answer | undefined> {
		this.#made += 1;
		const ask = this.#made;
		return new Promise(resolve => {
			const timer = this.#clock.after(limitMs, () => {
				this.#open.delete(ask);
				resolve(undefined);
			});
			this.#open.set(ask, answer => {
				timer.stop();
				this.#open.delete(ask);
				resolve(answer);
			});
			send(ask);
		});
	}

	/** Takes an answer; one that comes late is nobody's any more. */
	answer(ask: number, answer: Answer): void {
		this.#open.get(ask)?.(answer);
	}
}
