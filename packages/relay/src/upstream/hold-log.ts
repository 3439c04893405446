/** Logs which contents and prompt parts are newly held back, and which no longer are. */
import {type CrashReport} from '@gatehead/schema/relay-message';
import {type RelayContext} from '../core/context.js';

/** Log of one host's holds. */
export class HoldLog {
	readonly #context: Pick<RelayContext, 'log' | 'metrics'>;
	/** Digests last logged as held. */
	readonly #logged = new Set<string>();

	constructor(context: Pick<RelayContext, 'log' | 'metrics'>) {
		this.#context = context;
	}

	/** Logs what has changed; `held`: reports of all that is held now. */
	update(held: readonly CrashReport[]): void {
		const {log, metrics} = this.#context;
		for (const {content, suspect, bytes, ends, refuted} of held) {
			if (this.#logged.has(content)) {
				continue;
			}

			this.#logged.add(content);
			const unrefuted = ends.filter(({end}) => !refuted.includes(end));
			log('contentHeldSince', {
				content, suspect, bytes, ends: unrefuted.map(({end, ageMs}) => `${end} ${Math.round(ageMs)} ms ago`).join(', '),
			});
		}

		const digests = new Set(held.map(({content}) => content));
		for (const digest of this.#logged) {
			if (!digests.has(digest)) {
				this.#logged.delete(digest);
				log('contentCleared', {content: digest});
			}
		}

		metrics.set('heldContents', this.#logged.size);
	}
}
