/** Endpoints of this host's subset, dealt anew only when they or the fleet change. Efficiency only. */
import {listSubset, type Subset} from '@gatehead/policy/relay/subsets';
import {type Endpoint} from '@gatehead/schema/routing';

type Dealt = {
	readonly key: string;
	readonly near: ReadonlySet<string> | undefined;
};

/** What was dealt last, by service and stage. */
export class NearEndpoints {
	readonly #dealt = new Map<string, Dealt>();

	/** Those of the subset among endpoints of one service and stage; undefined: all of them. */
	list(endpoints: readonly Endpoint[], subset: Subset): ReadonlySet<string> | undefined {
		const [first] = endpoints;
		// Endpoints of plain services are few and their requests short: all hosts share them
		if (subset.count < 2 || first?.stage === undefined) {
			return undefined;
		}

		const kind = `${first.service} ${first.stage}`;
		const ids = endpoints.map(({id}) => id);
		const key = `${subset.count} ${subset.own} ${ids.join(' ')}`;
		const known = this.#dealt.get(kind);
		if (known?.key === key) {
			return known.near;
		}

		const near = listSubset(ids, subset);
		this.#dealt.set(kind, {key, near});
		return near;
	}
}
