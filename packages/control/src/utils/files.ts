/** Reads and writes the files of operators: bundles, settings, keys and fleet files. Safety: a private key is written with owner-only permissions. */
import {
	createPrivateKey, createPublicKey, generateKeyPairSync, type KeyObject,
} from 'node:crypto';
import {readFileSync, writeFileSync} from 'node:fs';
import {z} from 'zod';
import {address} from '@gatehead/schema/address';
import {bundle, type Bundle} from '@gatehead/schema/bundle';
import {checkJson} from '@gatehead/schema/check';
import {fail} from '@gatehead/schema/failure';
import {settings, type Settings} from '@gatehead/schema/settings';
import {
	manifest, sectionNames, signedBundle, type SignedBundle,
} from '@gatehead/schema/signed-bundle';

/** Read and write for the owner only. */
const privateKeyMode = 0o600;

/** Reads a text file. Throws `fileUnreadable`. */
export function readText(path: string): string {
	try {
		return readFileSync(path, 'utf8');
	} catch (error) {
		return fail('fileUnreadable', {detail: path, cause: error});
	}
}

/** Reads and validates an unsigned bundle. */
export function readBundle(path: string): Bundle {
	return checkJson(bundle, readText(path), 'bundleInvalid');
}

/** Reads and validates the settings of a host. */
export function readSettings(path: string): Settings {
	return checkJson(settings, readText(path), 'settingsInvalid');
}

/** Reads a signed bundle without verifying its signature. */
export function readSignedBundle(path: string): SignedBundle {
	return checkJson(signedBundle, readText(path), 'bundleInvalid');
}

/** Reads a signed or unsigned bundle without verifying a signature. */
export function readAnyBundle(path: string): Bundle {
	const text = readText(path);
	if (!text.includes('"manifest"')) {
		return checkJson(bundle, text, 'bundleInvalid');
	}

	const signed = checkJson(signedBundle, text, 'bundleInvalid');
	const {deployment, version, sections} = checkJson(manifest, signed.manifest, 'bundleInvalid');
	const parts: Record<string, unknown> = {deployment, version};
	for (const name of sectionNames) {
		parts[name] = JSON.parse(signed.sections[sections[name]] ?? 'null');
	}

	return checkJson(bundle, JSON.stringify(parts), 'bundleInvalid');
}

/** Reads an Ed25519 private key in PEM format. Throws `keyInvalid`. */
export function readSigningKey(path: string): KeyObject {
	const pem = readText(path);
	try {
		const key = createPrivateKey(pem);
		if (key.asymmetricKeyType === 'ed25519') {
			return key;
		}
	} catch (error) {
		fail('keyInvalid', {detail: `${path}: expected an Ed25519 private key in PEM format`, cause: error});
	}

	return fail('keyInvalid', {detail: `${path}: expected an Ed25519 private key in PEM format`});
}

/** Reads a public key and returns it in SPKI PEM format. Throws `keyInvalid`. */
export function readPublicPem(path: string): string {
	const pem = readText(path);
	try {
		return createPublicKey(pem).export({type: 'spki', format: 'pem'}).toString();
	} catch (error) {
		return fail('keyInvalid', {detail: `${path}: expected a public key in PEM format`, cause: error});
	}
}

/** Generates an Ed25519 key pair: private key in `PATH`, public key in `PATH.pub`. Existing files are not overwritten. */
export function writeKeyPair(path: string): void {
	const {privateKey, publicKey} = generateKeyPairSync('ed25519');
	try {
		writeFileSync(path, privateKey.export({type: 'pkcs8', format: 'pem'}), {mode: privateKeyMode, flag: 'wx'});
		writeFileSync(`${path}.pub`, publicKey.export({type: 'spki', format: 'pem'}), {flag: 'wx'});
	} catch (error) {
		fail('fileUnreadable', {detail: `${path}: file exists or cannot be written`, cause: error});
	}
}

const fleetFile = z.strictObject({
	/** Environment variable that holds the operator's token. */
	tokenVariable: z.string().default('GATEHEAD_TOKEN'),
	tls: z.strictObject({ca: z.string(), certificate: z.string(), key: z.string()}).optional(),
	/** Relays are listed with the address that serves their metrics and status, other hosts with that of their administration interface. */
	hosts: z.array(z.union([
		z.strictObject({host: z.string(), adminAddress: address}),
		z.strictObject({host: z.string(), metricsAddress: address}),
	])).min(1),
});

/** Hosts to query, and how to authenticate. */
export type FleetFile = z.infer<typeof fleetFile>;

/** Reads and validates a fleet file. */
export function readFleet(path: string): FleetFile {
	return checkJson(fleetFile, readText(path), 'argumentInvalid');
}
