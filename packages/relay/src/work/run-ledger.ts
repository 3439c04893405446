/**
 * Runs of one request that may have happened. Safety: each send or forward
 * owns its entry, so that a rejection takes back the runs of the attempt that
 * was rejected, whatever other attempts do meanwhile, and takes them back once.
 */

/** Counts the runs of one request. */
export class RunLedger {
	#count = 0;

	/** Runs that may have happened. */
	get count(): number {
		return this.#count;
	}

	/** Whether any run may have happened. */
	get mayHaveRun(): boolean {
		return this.#count > 0;
	}

	/** Enters the runs that an attempt may cause from now on. The returned function takes them back after a rejection; further calls do nothing. */
	enter(runs = 1): () => void {
		this.#count += runs;
		let isEntered = true;
		return () => {
			if (isEntered) {
				isEntered = false;
				this.#count -= runs;
			}
		};
	}
}
