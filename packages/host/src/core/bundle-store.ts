/**
 * Holds the bundle in force. Safety: it is replaced only by a bundle with a
 * valid signature and a higher version. Of two bundles with the same version,
 * the one with the greater manifest digest wins on every host, and the
 * conflict is logged.
 */
import {type Bundle} from '@gatehead/schema/bundle';
import {digestOf} from '@gatehead/schema/canonical-json';
import {toFailure} from '@gatehead/schema/failure';
import {
	openBundle, openManifest, readOperatorKey, type OperatorKey, type SignedBundle,
} from '@gatehead/schema/signed-bundle';
import {type Context} from './context.js';

/** An adopted bundle. */
export type AdoptedBundle = {
	readonly bundle: Bundle;
	readonly signed: SignedBundle;
	readonly manifestDigest: string;
	/** Time of adoption on the context's clock, in milliseconds. */
	readonly adoptedAt: number;
	/** Wall-clock time of adoption in milliseconds, for display only. */
	readonly adoptedAtWall: number;
};

/** Result of offering a bundle; `known` if it is already in force. */
export type OfferOutcome = 'adopted' | 'known' | 'refused';

/** Validates and adopts bundles, and notifies listeners of each adoption. */
export class BundleStore {
	readonly #context: Context;
	readonly #keys: readonly OperatorKey[];
	readonly #listeners: Array<(inForce: AdoptedBundle) => void> = [];
	#inForce: AdoptedBundle | undefined;

	constructor(context: Context) {
		this.#context = context;
		this.#keys = context.settings.keys.operators.map(({name, publicKey}) => readOperatorKey(name, publicKey));
	}

	get inForce(): AdoptedBundle | undefined {
		return this.#inForce;
	}

	/** Version in force; 0 if no bundle has been adopted. */
	get version(): number {
		return this.#inForce?.bundle.version ?? 0;
	}

	/** Adds a listener that is called after each adoption. */
	onAdopted(listener: (inForce: AdoptedBundle) => void): void {
		this.#listeners.push(listener);
	}

	/** Whether a manifest would supersede the bundle in force, so that its sections are worth fetching. Throws if its signature is not valid. */
	wouldAdopt(signed: Pick<SignedBundle, 'manifest' | 'key' | 'signature'>): boolean {
		const opened = openManifest(signed, this.#keys);
		return opened.version > this.version || (opened.version === this.version && digestOf(signed.manifest) > (this.#inForce?.manifestDigest ?? ''));
	}

	/** Adopts a signed bundle if it supersedes the one in force. An invalid bundle is logged and refused, not thrown. */
	offer(signed: SignedBundle): OfferOutcome {
		try {
			return this.#validateAndAdopt(signed);
		} catch (error) {
			const {code, detail} = toFailure(error, 'bundleInvalid');
			this.#context.log(code, {detail});
			this.#context.timeline.record({kind: 'bundleRefused', detail: code});
			return 'refused';
		}
	}

	#validateAndAdopt(signed: SignedBundle): OfferOutcome {
		const {settings} = this.#context;
		const manifestDigest = digestOf(signed.manifest);
		if (manifestDigest === this.#inForce?.manifestDigest) {
			return 'known';
		}

		const bundle = openBundle(signed, this.#keys);
		if (bundle.deployment !== settings.deployment) {
			this.#context.log('bundleInvalid', {detail: `bundle belongs to deployment ${bundle.deployment}`});
			return 'refused';
		}

		if (bundle.version < this.version) {
			return 'refused';
		}

		if (bundle.version === this.version) {
			this.#context.log('bundleConflict', {version: bundle.version});
			if (manifestDigest < (this.#inForce?.manifestDigest ?? '')) {
				return 'refused';
			}
		}

		this.#adopt({
			bundle, signed, manifestDigest, adoptedAt: this.#context.clock.now(), adoptedAtWall: this.#context.wall(),
		});
		return 'adopted';
	}

	#adopt(inForce: AdoptedBundle): void {
		this.#inForce = inForce;
		const {bundle: {version}} = inForce;
		this.#context.log('bundleAdopted', {version});
		this.#context.counters.count('bundles');
		this.#context.timeline.record({kind: 'bundleAdopted', bundleVersion: version});
		for (const listener of this.#listeners) {
			listener(inForce);
		}
	}
}
