/** Caches which endpoints are in this host's subset; recomputed only when the endpoints or the subsets change. */
import {listSubset, type Subset} from '@gatehead/policy/relay/subsets';
import {type Endpoint} from '@gatehead/schema/routing';

type Entry = {
	readonly key: string;
	readonly members: ReadonlySet<string> | undefined;
};

/** The last subset of each service and stage. */
export class SubsetCache {
	readonly #entries = new Map<string, Entry>();

	/** Ids of those endpoints of one service and stage that are in the subset; undefined: all are. */
	list(endpoints: readonly Endpoint[], subset: Subset): ReadonlySet<string> | undefined {
		const [first] = endpoints;
		// Services without stages have few endpoints and short requests, so all hosts share them
		if (subset.count < 2 || first?.stage === undefined) {
			return undefined;
		}

		const kind = `${first.service} ${first.stage}`;
		const ids = endpoints.map(({id}) => id);
		const key = `${subset.count} ${subset.own} ${ids.join(' ')}`;
		const cached = this.#entries.get(kind);
		if (cached?.key === key) {
			return cached.members;
		}

		const members = listSubset(ids, subset);
		this.#entries.set(kind, {key, members});
		return members;
	}
}
