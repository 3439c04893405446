/** Counts the refusals of one host by service and cause, for operators. */
import {type Code} from '@gatehead/schema/codes';
import {type RefusalState} from '@gatehead/schema/relay-status';

/** Causes that a refusal's detail may state, before a colon; others are counted by their code, as details may hold any text. */
const causeDetails: ReadonlySet<string> = new Set(['share', 'late', 'callQueue']);

/** Refusals since the start of the process. */
export class RefusalCounts {
	readonly #counts = new Map<string, Map<string, number>>();

	/** Counts a refusal. */
	note(service: string, code: Code, detail: string | undefined): void {
		const stated = detail?.split(':', 1)[0] ?? '';
		const cause = causeDetails.has(stated) ? stated : code;
		const counts = this.#counts.get(service) ?? new Map<string, number>();
		counts.set(cause, (counts.get(cause) ?? 0) + 1);
		this.#counts.set(service, counts);
	}

	/** Refusals of a service, most frequent first. */
	list(service: string): RefusalState[] {
		const counts = [...this.#counts.get(service) ?? []];
		return counts.map(([cause, count]) => ({cause, count})).toSorted((left, right) => right.count - left.count);
	}
}
