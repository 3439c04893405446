/**
 * What the directory's history says of the time before a host's first list:
 * endpoints that have left, which may serve on for a while, and endpoints whose
 * software version has changed. The history has no times and may be short, so
 * that something is missing in it proves nothing.
 */
import {versionOf, type Endpoint} from '@gatehead/schema/routing';

export type PastEndpoints = {
	/** Endpoints that the directory listed and no longer lists, as they were last. */
	readonly departed: readonly Endpoint[];
	/** Ids of endpoints that had several versions. */
	readonly changed: ReadonlySet<string>;
};

/** `entries`: those that the directory remembers, in order; `listed`: what it lists now. */
export function readPast(entries: readonly Endpoint[], listed: readonly Endpoint[]): PastEndpoints {
	const latest = new Map<string, Endpoint>();
	const changed = new Set<string>();
	for (const endpoint of [...entries, ...listed]) {
		const earlier = latest.get(endpoint.id);
		if (earlier !== undefined && versionOf(earlier) !== versionOf(endpoint)) {
			changed.add(endpoint.id);
		}

		latest.set(endpoint.id, endpoint);
	}

	const listedIds = new Set(listed.map(({id}) => id));
	return {departed: [...latest.values()].filter(({id}) => !listedIds.has(id)), changed};
}
