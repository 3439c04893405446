/** Files that operators hand over: bundles, settings, keys, the list of hosts. Safety: a private key is written for its owner alone. */
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

/** Only the signer may read a private key. */
const privateMode = 0o600;

/** Reads a text file. */
export function readText(path: string): string {
	try {
		return readFileSync(path, 'utf8');
	} catch (error) {
		return fail('fileUnreadable', {detail: path, cause: error});
	}
}

/** Reads and checks a bundle as operators write it. */
export function readBundle(path: string): Bundle {
	return checkJson(bundle, readText(path), 'bundleInvalid');
}

/** Reads settings. */
export function readSettings(path: string): Settings {
	return checkJson(settings, readText(path), 'settingsInvalid');
}

/** Reads a signed bundle, without looking at its signature. */
export function readSigned(path: string): SignedBundle {
	return checkJson(signedBundle, readText(path), 'bundleInvalid');
}

/** Reads a bundle in either form. */
export function readEither(path: string): Bundle {
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

/** Reads a private key for signing. */
export function readSigningKey(path: string): KeyObject {
	const pem = readText(path);
	try {
		const key = createPrivateKey(pem);
		if (key.asymmetricKeyType === 'ed25519') {
			return key;
		}
	} catch (error) {
		fail('keyInvalid', {detail: `${path}: Ed25519 private key in PEM form`, cause: error});
	}

	return fail('keyInvalid', {detail: `${path}: Ed25519 private key in PEM form`});
}

/** Reads a public key in PEM form. */
export function readPublicPem(path: string): string {
	const pem = readText(path);
	try {
		return createPublicKey(pem).export({type: 'spki', format: 'pem'}).toString();
	} catch (error) {
		return fail('keyInvalid', {detail: `${path}: public key in PEM form`, cause: error});
	}
}

/** Makes a key pair: `PATH` for the signer alone, `PATH.pub` for the hosts' settings. Never overwrites. */
export function writeKeyPair(path: string): void {
	const {privateKey, publicKey} = generateKeyPairSync('ed25519');
	try {
		writeFileSync(path, privateKey.export({type: 'pkcs8', format: 'pem'}), {mode: privateMode, flag: 'wx'});
		writeFileSync(`${path}.pub`, publicKey.export({type: 'spki', format: 'pem'}), {flag: 'wx'});
	} catch (error) {
		fail('fileUnreadable', {detail: `${path}: it exists or cannot be written`, cause: error});
	}
}

const fleetFile = z.strictObject({
	/** Environment variable that holds the operator's token. */
	tokenVariable: z.string().default('GATEHEAD_TOKEN'),
	tls: z.strictObject({ca: z.string(), certificate: z.string(), key: z.string()}).optional(),
	/** Own hosts by their administration address, relays by the address of their figures. */
	hosts: z.array(z.union([
		z.strictObject({host: z.string(), adminAddress: address}),
		z.strictObject({host: z.string(), metricsAddress: address}),
	])).min(1),
});

/** Hosts that a command asks. */
export type FleetFile = z.infer<typeof fleetFile>;

/** Reads the list of hosts. */
export function readFleet(path: string): FleetFile {
	return checkJson(fleetFile, readText(path), 'argumentInvalid');
}
