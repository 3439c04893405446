/**
 * The software versions of each service's endpoints that this host has seen,
 * with the time at which the last endpoint of a version left. Shows whether
 * all streams since some time began at one version.
 */
import {type Start} from '@gatehead/schema/relay-settings';
import {versionOf, type Endpoint} from '@gatehead/schema/routing';
import {type StreamOrigin} from './stream-records.js';

/** Time for which a version that has left is remembered, in milliseconds. */
const rememberedMs = 900_000;

/** The versions that one host has seen of a service. */
export type VersionView = {
	readonly versions: readonly string[];
	/** Time over which the host has seen all changes, in milliseconds; all of the window if there was no fleet before that. */
	readonly coverageMs: number;
};

/** An endpoint and its version. */
type SeenEndpoint = {
	readonly service: string;
	readonly softwareVersion: string;
};

/** History of one host. */
export class VersionHistory {
	readonly #current = new Map<string, SeenEndpoint>();
	/** When the last endpoint of a version left, by service and version. */
	readonly #leftAt = new Map<string, Map<string, number>>();
	/** Whether this host is of the first start of the fleet and has missed no change since. */
	#isWhole: boolean;
	#since: number | undefined;

	constructor(start: Start = 'unknown') {
		this.#isWhole = start === 'first';
	}

	/** Records an endpoint that is listed, also one that is leaving. */
	see(endpoint: Pick<Endpoint, 'id' | 'service' | 'softwareVersion'>, now: number): void {
		this.#since ??= now;
		const {id, service} = endpoint;
		const known = this.#current.get(id);
		const softwareVersion = versionOf(endpoint);
		if (known !== undefined && known.softwareVersion !== softwareVersion) {
			this.#recordLeft(known, now);
		}

		this.#current.set(id, {service, softwareVersion});
	}

	/** Records that an endpoint is gone. */
	forget(id: string, now: number): void {
		const known = this.#current.get(id);
		if (known !== undefined) {
			this.#current.delete(id);
			this.#recordLeft(known, now);
		}
	}

	/** Records an endpoint that left before this host's first list; the time is not known. */
	recall(endpoint: Pick<Endpoint, 'service' | 'softwareVersion'>, now: number): void {
		this.#recordLeft({service: endpoint.service, softwareVersion: versionOf(endpoint)}, now);
	}

	/** Records that changes may have been missed before `now`. */
	restart(now: number): void {
		this.#isWhole &&= this.#since === undefined;
		this.#since = now;
	}

	/** Lists the versions of a service now and in the last `windowMs` milliseconds. */
	view(service: string, windowMs: number, now: number): VersionView {
		const versions = new Set<string>();
		for (const seen of this.#current.values()) {
			if (seen.service === service) {
				versions.add(seen.softwareVersion);
			}
		}

		for (const [version, at] of this.#leftAt.get(service) ?? []) {
			if (now - at <= windowMs) {
				versions.add(version);
			}
		}

		const seenMs = now - (this.#since ?? now);
		return {versions: [...versions], coverageMs: this.#isWhole && this.#since !== undefined ? Math.max(windowMs, seenMs) : seenMs};
	}

	#recordLeft({service, softwareVersion}: SeenEndpoint, now: number): void {
		const left = this.#leftAt.get(service) ?? new Map<string, number>();
		for (const [version, at] of left) {
			if (now - at > rememberedMs) {
				left.delete(version);
			}
		}

		left.set(softwareVersion, now);
		this.#leftAt.set(service, left);
	}
}

/** The only service and version in all views, of which each is of one service; undefined if there are several, or none. */
export function findOnlyOrigin(views: ReadonlyArray<Pick<VersionView, 'versions'> & {readonly service: string}>): StreamOrigin | undefined {
	const [origin, ...others] = views.flatMap(({service, versions}) => versions.map(softwareVersion => ({service, softwareVersion})));
	const isOnly = others.every(({service, softwareVersion}) => service === origin?.service && softwareVersion === origin.softwareVersion);
	return isOnly ? origin : undefined;
}
