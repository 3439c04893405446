/**
 * A bundle as it travels: a small signed manifest that names each section by
 * its digest, and the sections. Safety: `openBundle` is the only way from
 * bytes to a bundle in force, and it rests on the signature alone.
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

/** Sections in which a bundle travels; an unchanged one is not sent again. */
export const sectionNames = ['models', 'engines', 'services', 'callers', 'rules'] as const;

const digest = z.string().regex(/^[0-9a-f]{64}$/v, '64 hexadecimal digits');

/** Deployment, version and the digest of each section. */
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

/** The published file: a signed manifest and each section's canonical text by digest. */
export const signedBundle = signedManifest.extend({
	sections: z.record(digest, z.string()),
});

/** A manifest. */
export type Manifest = z.infer<typeof manifest>;
/** A signed manifest. */
export type SignedManifest = z.infer<typeof signedManifest>;
/** A signed bundle. */
export type SignedBundle = z.infer<typeof signedBundle>;

/** An operator's key as hosts know it. */
export type OperatorKey = {
	readonly name: string;
	readonly publicKey: KeyObject;
};

/** Splits a checked bundle into sections and signs its manifest. */
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

/** Checks a manifest's signature against the known keys and returns it, or raises `bundleSignature`. */
export function openManifest(signed: SignedManifest, keys: readonly OperatorKey[]): Manifest {
	const key = keys.find(each => each.name === signed.key);
	if (key === undefined || !verify(null, Buffer.from(signed.manifest), key.publicKey, Buffer.from(signed.signature, 'base64'))) {
		fail('bundleSignature', {detail: `key ${signed.key}`});
	}

	return checkJson(manifest, signed.manifest, 'bundleInvalid');
}

/** Digests that a manifest names and `sections` lacks. */
export function missingSections(opened: Manifest, sections: Readonly<Record<string, string>>): string[] {
	return Object.values(opened.sections).filter(each => sections[each] === undefined);
}

/** Checks signature and sections and returns the bundle. */
export function openBundle(signed: SignedBundle, keys: readonly OperatorKey[]): Bundle {
	const opened = openManifest(signed, keys);
	const parts: Record<string, unknown> = {deployment: opened.deployment, version: opened.version};
	for (const section of sectionNames) {
		const expected = opened.sections[section];
		const text = signed.sections[expected];
		if (text === undefined || digestOf(text) !== expected) {
			fail('bundleInvalid', {detail: `section ${section} is missing or has another digest`});
		}

		parts[section] = JSON.parse(text);
	}

	return check(bundle, parts, 'bundleInvalid');
}

/** Reads an Ed25519 public key from PEM text. */
export function readOperatorKey(name: string, pem: string): OperatorKey {
	try {
		const publicKey = createPublicKey(pem);
		if (publicKey.asymmetricKeyType === 'ed25519') {
			return {name, publicKey};
		}
	} catch (error) {
		fail('keyInvalid', {detail: `operator key ${name}`, cause: error});
	}

	return fail('keyInvalid', {detail: `operator key ${name}: Ed25519 public key in PEM form`});
}
