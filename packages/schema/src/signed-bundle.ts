/**
 * Signed bundles: a small signed manifest with the digest of each section, and
 * the sections. Safety: a bundle becomes active only by `openBundle`, which
 * verifies the signature and all digests.
 */
import {Buffer} from 'node:buffer';
import {
	createPublicKey, sign, verify, type KeyObject,
} from 'node:crypto';
import {z} from 'zod';
import {bundle, type Bundle} from './bundle.js';
import {digestOf, toCanonicalJson} from './canonical-json.js';
import {check, checkJson} from './check.js';
import {fail} from './failure.js';

/** Sections of a bundle, transferred separately so that unchanged ones are not sent again. */
export const sectionNames = ['models', 'engines', 'services', 'callers', 'rules'] as const;

const digest = z.string().regex(/^[0-9a-f]{64}$/v, '64 hexadecimal digits');

export const manifest = z.strictObject({
	deployment: z.string(),
	version: z.number().int().positive(),
	sections: z.strictObject({
		models: digest, engines: digest, services: digest, callers: digest, rules: digest,
	}),
});

/** A manifest's canonical text with its Ed25519 signature (base64) and the signer's key name. */
export const signedManifest = z.strictObject({
	manifest: z.string().max(10_000),
	key: z.string().max(100),
	signature: z.string().max(200),
});

/** A signed manifest and the canonical text of each section by digest, as published. */
export const signedBundle = signedManifest.extend({
	sections: z.record(digest, z.string()),
});

export type Manifest = z.infer<typeof manifest>;
export type SignedManifest = z.infer<typeof signedManifest>;
export type SignedBundle = z.infer<typeof signedBundle>;

/** An operator's key for verification. */
export type OperatorKey = {
	readonly name: string;
	readonly publicKey: KeyObject;
};

/** Splits a validated bundle into sections and signs its manifest. */
export function signBundle(value: Bundle, key: string, privateKey: KeyObject): SignedBundle {
	const sections: Record<string, string> = {};
	const digests: Record<string, string> = {};
	for (const section of sectionNames) {
		const text = toCanonicalJson(value[section]);
		digests[section] = digestOf(text);
		sections[digestOf(text)] = text;
	}

	const text = toCanonicalJson({deployment: value.deployment, version: value.version, sections: digests});
	return {
		manifest: text, key, signature: sign(null, Buffer.from(text), privateKey).toString('base64'), sections,
	};
}

/** Verifies a manifest's signature against the known keys and returns the manifest. Throws `bundleSignature` or `bundleInvalid`. */
export function openManifest(signed: SignedManifest, keys: readonly OperatorKey[]): Manifest {
	const key = keys.find(each => each.name === signed.key);
	if (key === undefined || !verify(null, Buffer.from(signed.manifest), key.publicKey, Buffer.from(signed.signature, 'base64'))) {
		fail('bundleSignature', {detail: `key ${signed.key}`});
	}

	return checkJson(manifest, signed.manifest, 'bundleInvalid');
}

/** Digests of the sections that are in the manifest but not in `sections`. */
export function missingSections(opened: Manifest, sections: Readonly<Record<string, string>>): string[] {
	return Object.values(opened.sections).filter(each => sections[each] === undefined);
}

/** Verifies signature and section digests and returns the bundle. Throws `bundleSignature` or `bundleInvalid`. */
export function openBundle(signed: SignedBundle, keys: readonly OperatorKey[]): Bundle {
	const opened = openManifest(signed, keys);
	const parts: Record<string, unknown> = {deployment: opened.deployment, version: opened.version};
	for (const section of sectionNames) {
		const expected = opened.sections[section];
		const text = signed.sections[expected];
		if (text === undefined || digestOf(text) !== expected) {
			fail('bundleInvalid', {detail: `section ${section} is missing or does not match its digest`});
		}

		parts[section] = JSON.parse(text);
	}

	return check(bundle, parts, 'bundleInvalid');
}

/** Reads an Ed25519 public key in PEM format. Throws `keyInvalid`. */
export function readOperatorKey(name: string, pem: string): OperatorKey {
	try {
		const publicKey = createPublicKey(pem);
		if (publicKey.asymmetricKeyType === 'ed25519') {
			return {name, publicKey};
		}
	} catch (error) {
		fail('keyInvalid', {detail: `operator key ${name}`, cause: error});
	}

	return fail('keyInvalid', {detail: `operator key ${name}: not an Ed25519 public key in PEM format`});
}
