/**
 * The bundle in force in this process. Safety: it changes only to a validly
 * signed bundle of a higher version; at one version with two contents the
 * greater manifest digest wins on every host alike, with an alarm.
 */
import {type Bundle} from '@gatehead/schema/bundle';
import {digestOf} from '@gatehead/schema/canonical-json';
import {toFailure} from '@gatehead/schema/failure';
import {
	openBundle, openManifest, readOperatorKey, type OperatorKey, type SignedBundle,
} from '@gatehead/schema/signed-bundle';
import {type Context} from './context.js';

/** A bundle in force. */
export type InForce = {
	readonly bundle: Bundle;
	readonly signed: SignedBundle;
	readonly manifestDigest: string;
	/** Own clock's instant of adoption. */
	readonly since: number;
	/** Wall time of adoption, for people. */
	readonly sinceWall: number;
};

/** What became of an offer. */
export type OfferOutcome = 'adopted' | 'known' | 'refused';

/** Holds the bundle in force and tells who asked to be told. */
export class BundleStore {
	readonly #context: Context;
	readonly #keys: readonly OperatorKey[];
	readonly #listeners: Array<(inForce: InForce) => void> = [];
	#inForce: InForce | undefined;

	constructor(context: Context) {
		this.#context = context;
		this.#keys = context.settings.keys.operators.map(({name, publicKey}) => readOperatorKey(name, publicKey));
	}

	get inForce(): InForce | undefined {
		return this.#inForce;
	}

	/** Version in force, 0 where there is none. */
	get version(): number {
		return this.#inForce?.bundle.version ?? 0;
	}

	/** Calls `listener` at each adoption. */
	onAdopted(listener: (inForce: InForce) => void): void {
		this.#listeners.push(listener);
	}

	/** Whether a manifest would be adopted, by signature and version, before its sections are fetched. */
	isWanted(signed: Pick<SignedBundle, 'manifest' | 'key' | 'signature'>): boolean {
		const opened = openManifest(signed, this.#keys);
		return opened.version > this.version || (opened.version === this.version && digestOf(signed.manifest) > (this.#inForce?.manifestDigest ?? ''));
	}

	/** Adopts a signed bundle if it goes before the one in force. */
	offer(signed: SignedBundle): OfferOutcome {
		try {
			return this.#weigh(signed);
		} catch (error) {
			const {code, detail} = toFailure(error, 'bundleInvalid');
			this.#context.log(code, {detail});
			this.#context.timeline.note({kind: 'bundleRefused', detail: code});
			return 'refused';
		}
	}

	#weigh(signed: SignedBundle): OfferOutcome {
		const {settings} = this.#context;
		const manifestDigest = digestOf(signed.manifest);
		if (manifestDigest === this.#inForce?.manifestDigest) {
			return 'known';
		}

		const bundle = openBundle(signed, this.#keys);
		if (bundle.deployment !== settings.deployment) {
			this.#context.log('bundleInvalid', {detail: `bundle of deployment ${bundle.deployment}`});
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
			bundle, signed, manifestDigest, since: this.#context.clock.now(), sinceWall: this.#context.wall(),
		});
		return 'adopted';
	}

	#adopt(inForce: InForce): void {
		this.#inForce = inForce;
		const {bundle: {version}} = inForce;
		this.#context.log('bundleAdopted', {version});
		this.#context.counters.count('bundles');
		this.#context.timeline.note({kind: 'bundleAdopted', bundleVersion: version});
		for (const listener of this.#listeners) {
			listener(inForce);
		}
	}
}
