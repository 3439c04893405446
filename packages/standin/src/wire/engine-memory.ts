/** What an engine has in memory as a stand-in: runs in progress, and prompt parts with what was generated behind them. Written from the platform's pages. */

/** Parts that an engine keeps; the least recently used ones give way. */
const mostParts = 10_000;
const totalTokens = 100_000_000;
const model = 'm';
const priority = 5;

type PromptPart = {
	readonly id: string;
	readonly tokens: number;
};

/** A run in progress. */
export type EngineRun = {
	readonly request: string;
	readonly parts: readonly PromptPart[];
	/** Events of its stream up to now, with those that another attempt brought; one token each. */
	events: number;
};

/** Parts of a `Prompt-Prefix` header. */
function readParts(text: string): PromptPart[] {
	return text.split(',').filter(pair => pair.includes(':')).map(pair => {
		const [id = '', tokens] = pair.trim().split(':');
		return {id, tokens: Number(tokens)};
	});
}

function countTokens({parts, events}: Pick<EngineRun, 'parts' | 'events'>): number {
	return events + parts.reduce((sum, {tokens}) => sum + tokens, 0);
}

/** Memory of one engine. */
export class EngineMemory {
	readonly #runs = new Set<EngineRun>();
	/** Tokens by part, the least recently used first. */
	readonly #kept = new Map<string, number>();
	#epoch = 1;
	#changes = 0;

	begin(request: string, prompt: string, events: number): EngineRun {
		const run = {request, parts: readParts(prompt), events};
		this.#runs.add(run);
		return run;
	}

	/** Whether a run is in progress: memory that was lost ends it. */
	has(run: EngineRun): boolean {
		return this.#runs.has(run);
	}

	/** Ends a run; its parts stay. */
	end(run: EngineRun): void {
		if (this.#runs.delete(run)) {
			this.#keep(run);
		}
	}

	/** Keeps the parts of a prompt that was prefilled here. */
	keepPrompt(prompt: string): void {
		this.#keep({parts: readParts(prompt), events: 0});
	}

	/** Loses all, as a process that ends. */
	lose(): void {
		this.#runs.clear();
		this.#kept.clear();
		this.#epoch += 1;
	}

	report(stage: string | undefined): unknown {
		const runs = [...this.#runs];
		return {
			stage, models: [{name: model, version: 1, adapters: []}], busy: false, callSeq: 0, queued: 0, running: runs.length, kvUsed: runs.reduce((sum, run) => sum + countTokens(run), 0), kvTotal: totalTokens, handles: 0,
			runs: runs.map(run => [run.request, countTokens(run), run.events, priority]),
		};
	}

	list(): unknown {
		return {epoch: this.#epoch, nextPageToken: this.#changes, held: [...this.#kept].map(([id, tokens]) => ['', id, tokens, model])};
	}

	#keep({parts, events}: Pick<EngineRun, 'parts' | 'events'>): void {
		for (const [index, {id, tokens}] of parts.entries()) {
			const generated = index === parts.length - 1 ? events : 0;
			const kept = Math.max(tokens + generated, this.#kept.get(id) ?? 0);
			// Moves the part to the end, among those used last
			this.#kept.delete(id);
			this.#kept.set(id, kept);
			this.#changes += 1;
		}

		for (const id of this.#kept.keys()) {
			if (this.#kept.size <= mostParts) {
				break;
			}

			this.#kept.delete(id);
		}
	}
}
