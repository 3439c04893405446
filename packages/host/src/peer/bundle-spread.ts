/**
 * Spreads bundles between hosts: whoever hears of a newer manifest asks for
 * it and for the sections that it lacks. Efficiency: what comes is only
 * offered; the bundle store decides by signature and version.
 */
import {rank} from '@gatehead/policy/core/rendezvous';
import {type MemberRecord, type PeerMessage, type PeerMessageOf} from '@gatehead/schema/peer-message';
import {type BundleStore} from '../core/bundle-store.js';
import {type Context} from '../core/context.js';

/** Hosts of a hall that watch the configuration service. */
const watchersPerHall = 2;

/** What spreading works with. */
export type BundleSpreadParts = {
	readonly context: Context;
	readonly bundles: BundleStore;
	readonly send: (host: string, message: PeerMessage) => void;
	readonly candidates: () => readonly MemberRecord[];
};

/** The spreading of bundles at one host. */
export class BundleSpread {
	readonly #parts: BundleSpreadParts;
	/** Sections known from any bundle seen, so that a small change moves few bytes. */
	#sections: Readonly<Record<string, string>> = {};

	constructor(parts: BundleSpreadParts) {
		this.#parts = parts;
		parts.bundles.onAdopted(({signed}) => {
			this.#sections = signed.sections;
		});
	}

	/** Whether it falls to this host to watch the service: to a few in each hall, by rank. */
	isWatcher(): boolean {
		const {context: {settings: {host, hall}}, candidates} = this.#parts;
		const near = candidates().filter(each => each.hall === hall).map(each => each.host);
		return rank(`watch ${hall}`, near.includes(host) ? near : [...near, host]).slice(0, watchersPerHall).includes(host);
	}

	/** Compares a peer's bundle with the own one and asks for a newer one. */
	heartbeat(from: string, {bundleVersion, manifestDigest}: PeerMessageOf<'heartbeat'>): void {
		const {bundles} = this.#parts;
		const isOther = bundleVersion === bundles.version && manifestDigest > (bundles.inForce?.manifestDigest ?? '');
		if (bundleVersion > bundles.version || (isOther && bundleVersion > 0)) {
			this.ask(from);
		}
	}

	/** Asks a host for its bundle. */
	ask(host: string): void {
		this.#parts.send(host, {kind: 'bundleWanted', have: Object.keys(this.#sections)});
	}

	/** Gives the own bundle, without the sections that the asker has. */
	give(to: string, {have}: PeerMessageOf<'bundleWanted'>): void {
		const {inForce} = this.#parts.bundles;
		if (inForce === undefined) {
			return;
		}

		const {sections, ...signed} = inForce.signed;
		const missing = Object.fromEntries(Object.entries(sections).filter(([digest]) => !have.includes(digest)));
		this.#parts.send(to, {kind: 'bundle', signed, sections: missing});
	}

	/** Offers a bundle that a peer gave. */
	take({signed, sections}: PeerMessageOf<'bundle'>): void {
		this.#parts.bundles.offer({...signed, sections: {...this.#sections, ...sections}});
	}
}
