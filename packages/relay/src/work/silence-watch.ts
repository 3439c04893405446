/** Ends a stream on which nothing comes any more. Safety does not rest here: whether it may continue elsewhere is asked by who hears that it ended. */
import {type IncomingMessage} from 'node:http';
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';

/** Watches one answer from its head on. */
export class SilenceWatch {
	readonly #response: IncomingMessage;
	readonly #clock: Clock;
	readonly #silentMs: number | undefined;
	#timer: Timer | undefined;
	#isSilent = false;

	/** `silentMs` undefined: the answer may be silent for as long as it likes. */
	constructor(response: IncomingMessage, clock: Clock, silentMs: number | undefined) {
		this.#response = response;
		this.#clock = clock;
		this.#silentMs = silentMs;
		this.touch();
	}

	/** Whether the answer was ended for its silence. */
	get isSilent(): boolean {
		return this.#isSilent;
	}

	/** Something came. */
	touch(): void {
		this.#timer?.stop();
		if (this.#silentMs === undefined) {
			return;
		}

		this.#timer = this.#clock.after(this.#silentMs, () => {
			this.#isSilent = true;
			this.#response.destroy(new Error('silent'));
		});
	}

	/** Watches no longer. */
	stop(): void {
		this.#timer?.stop();
	}
}
