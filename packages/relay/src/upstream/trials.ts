/** Admits one trial request for a content whose hold has expired, to test whether it still crashes endpoints. Safety: only one host runs trials of a content, one at a time, which bounds the crashes after a hold. */
import {type Clock} from '@gatehead/policy/utils/clock';

/** Time after which another trial of a content may start, in milliseconds: a crash is reported much sooner. */
export const trialTimeoutMs = 5000;

/** Trials of one host. */
export class Trials {
	readonly #clock: Clock;
	readonly #isTrialHost: (content: string) => boolean;
	/** When each trial in progress times out, by content digest. */
	readonly #deadlines = new Map<string, number>();

	/** `isTrialHost` tells whether this host runs the trials of a content. */
	constructor(clock: Clock, isTrialHost: (content: string) => boolean) {
		this.#clock = clock;
		this.#isTrialHost = isTrialHost;
	}

	/** Whether a trial may start now. */
	mayBegin(content: string): boolean {
		const deadline = this.#deadlines.get(content) ?? Number.NEGATIVE_INFINITY;
		return deadline <= this.#clock.now() && this.#isTrialHost(content);
	}

	/** Starts a trial; returns false if none may start now. */
	begin(content: string): boolean {
		if (!this.mayBegin(content)) {
			return false;
		}

		this.#deadlines.set(content, this.#clock.now() + trialTimeoutMs);
		return true;
	}

	/** Ends a trial whose request succeeded. */
	end(content: string): void {
		this.#deadlines.delete(content);
	}

	/** Removes trials that have timed out. */
	sweep(): void {
		for (const [content, deadline] of this.#deadlines) {
			if (deadline <= this.#clock.now()) {
				this.#deadlines.delete(content);
			}
		}
	}
}
