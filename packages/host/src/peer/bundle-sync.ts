/**
 * Replicates bundles between hosts: a host that learns of a newer manifest
 * requests it with the sections that it lacks. Efficiency: a received bundle
 * is only offered to the bundle store, which checks signature and version.
 */
import {rank} from '@gatehead/policy/core/rendezvous';
import {type MemberRecord, type PeerMessage, type PeerMessageOf} from '@gatehead/schema/peer-message';
import {type BundleStore} from '../core/bundle-store.js';
import {type Context} from '../core/context.js';

/** Number of hosts of a hall that watch the configuration service. */
const watchersPerHall = 2;

/** Dependencies of `BundleSync`. */
export type BundleSyncParts = {
	readonly context: Context;
	readonly bundles: BundleStore;
	readonly send: (host: string, message: PeerMessage) => void;
	readonly candidates: () => readonly MemberRecord[];
};

/** Replication of bundles to and from this host's peers. */
export class BundleSync {
	readonly #parts: BundleSyncParts;
	/** Sections of the bundle in force by digest; peers send only the others. */
	#sections: Readonly<Record<string, string>> = {};

	constructor(parts: BundleSyncParts) {
		this.#parts = parts;
		parts.bundles.onAdopted(({signed}) => {
			this.#sections = signed.sections;
		});
	}

	/** Whether this host watches the configuration service: `watchersPerHall` hosts of each hall do, chosen by rendezvous hashing. */
	isWatcher(): boolean {
		const {context: {settings: {host, hall}}, candidates} = this.#parts;
		const hallHosts = candidates().filter(each => each.hall === hall).map(each => each.host);
		return rank(`watch ${hall}`, hallHosts.includes(host) ? hallHosts : [...hallHosts, host]).slice(0, watchersPerHall).includes(host);
	}

	/** Requests a peer's bundle if its version is newer than the local one's or, for equal versions, its manifest digest is greater. */
	handleHeartbeat(from: string, {bundleVersion, manifestDigest}: PeerMessageOf<'heartbeat'>): void {
		const {bundles} = this.#parts;
		const isOther = bundleVersion === bundles.version && manifestDigest > (bundles.inForce?.manifestDigest ?? '');
		if (bundleVersion > bundles.version || (isOther && bundleVersion > 0)) {
			this.requestBundle(from);
		}
	}

	/** Requests a host's bundle. */
	requestBundle(host: string): void {
		this.#parts.send(host, {kind: 'bundleWanted', have: Object.keys(this.#sections)});
	}

	/** Sends the bundle in force, without the sections that the peer has. */
	sendBundle(to: string, {have}: PeerMessageOf<'bundleWanted'>): void {
		const {inForce} = this.#parts.bundles;
		if (inForce === undefined) {
			return;
		}

		const {sections, ...signed} = inForce.signed;
		const missing = Object.fromEntries(Object.entries(sections).filter(([digest]) => !have.includes(digest)));
		this.#parts.send(to, {kind: 'bundle', signed, sections: missing});
	}

	/** Offers a peer's bundle to the bundle store. */
	handleBundle({signed, sections}: PeerMessageOf<'bundle'>): void {
		this.#parts.bundles.offer({...signed, sections: {...this.#sections, ...sections}});
	}
}
