/** `gateheadctl bundle …`: check, sign, compare, show, and wait until a version is in force everywhere. Nothing here writes to the platform. Safety: a bundle is checked as hosts check it, before it is signed. */
import {setTimeout as pause} from 'node:timers/promises';
import {writeFileSync} from 'node:fs';
import {bundleStatus, type BundleStatus} from '@gatehead/schema/admin-protocol';
import {type Bundle} from '@gatehead/schema/bundle';
import {digestOf, toCanonicalJson} from '@gatehead/schema/canonical-json';
import {fail} from '@gatehead/schema/failure';
import {
	openBundle, readOperatorKey, sectionNames, signBundle,
} from '@gatehead/schema/signed-bundle';
import {
	readBundle, readEither, readPublicPem, readSigned, readSigningKey, type FleetFile,
} from '../utils/files.js';
import {askFleet, type Answered} from '../utils/fleet.js';
import {
	exitCodes, print, printJson, printTable,
} from '../utils/output.js';

const pollMs = 500;

/** Checks a bundle file, and with `publicKey` the signature of a signed one. */
export function checkBundle(path: string, publicKey: string | undefined): number {
	if (publicKey === undefined) {
		const {deployment, version} = readEither(path);
		print(`${path}: bundle ${version} of ${deployment} is valid`);
		return exitCodes.ok;
	}

	const signed = readSigned(path);
	const {deployment, version} = openBundle(signed, [readOperatorKey(signed.key, readPublicPem(publicKey))]);
	print(`${path}: bundle ${version} of ${deployment} is valid and signed by ${signed.key}`);
	return exitCodes.ok;
}

/** Signs a bundle; the result is what the operators publish under the key `bundle`. */
export function signFile(path: string, keyPath: string, name: string, out: string | undefined): number {
	const text = JSON.stringify(signBundle(readBundle(path), name, readSigningKey(keyPath)));
	if (out === undefined) {
		print(text);
		return exitCodes.ok;
	}

	try {
		writeFileSync(out, `${text}\n`);
	} catch (error) {
		fail('fileUnreadable', {detail: `${out}: it cannot be written`, cause: error});
	}

	return exitCodes.ok;
}

/** A difference at one path. */
export type Difference = {
	readonly path: string;
	readonly left: string;
	readonly right: string;
};

function keyOf(value: unknown, index: number): string {
	const name: unknown = typeof value === 'object' && value !== null ? Reflect.get(value, 'name') : undefined;
	return typeof name === 'string' ? name : String(index);
}

/** Flattens a value to text by path; members of lists go by their names, so that order does not matter. */
function flatten(value: unknown, path: string, into: Map<string, string>): void {
	if (Array.isArray(value)) {
		for (const [index, each] of value.entries()) {
			flatten(each, `${path}[${keyOf(each, index)}]`, into);
		}

		return;
	}

	if (typeof value === 'object' && value !== null) {
		for (const [key, each] of Object.entries(value)) {
			flatten(each, path === '' ? key : `${path}.${key}`, into);
		}

		return;
	}

	into.set(path, JSON.stringify(value) ?? '');
}

/** Differences of two bundles by path. */
export function compareBundles(left: Bundle, right: Bundle): Difference[] {
	const lefts = new Map<string, string>();
	const rights = new Map<string, string>();
	flatten(left, '', lefts);
	flatten(right, '', rights);
	const differences: Difference[] = [];
	for (const path of new Set([...lefts.keys(), ...rights.keys()])) {
		const before = lefts.get(path) ?? '';
		const after = rights.get(path) ?? '';
		if (before !== after) {
			differences.push({path, left: before, right: after});
		}
	}

	return differences;
}

/** Prints what differs; exit code 1 where anything does. */
export function diffBundles(leftPath: string, rightPath: string, isJson: boolean): number {
	const differences = compareBundles(readEither(leftPath), readEither(rightPath));
	if (isJson) {
		printJson(differences);
	} else {
		printTable(['path', leftPath, rightPath], differences.map(({path, left, right}) => [path, left, right]));
	}

	return differences.length === 0 ? exitCodes.ok : exitCodes.negative;
}

/** Prints a bundle in short. */
export function showBundle(path: string, isJson: boolean): number {
	const bundle = readEither(path);
	if (isJson) {
		printJson(bundle);
		return exitCodes.ok;
	}

	const {deployment, version, models, engines, services, callers, rules} = bundle;
	print(`bundle ${version} of ${deployment}, objective ${rules.objective}`);
	printTable(['section', 'entries', 'digest'], sectionNames.map(name => {
		const section = bundle[name];
		return [name, Array.isArray(section) ? String(section.length) : '1', digestOf(toCanonicalJson(section)).slice(0, 16)];
	}));
	print('');
	printTable(['engine', 'hall', 'role', 'model', 'slots', 'address'], engines.map(({name, hall, role, model, slots, address}) => [name, hall, role, model, String(slots), address]));
	print('');
	printTable(['service', 'repeatable', 'replicas'], services.map(({name, repeatable, replicas}) => [name, String(repeatable), String(replicas.length)]));
	print('');
	printTable(['caller', 'member', 'priority', 'share'], callers.map(({name, member, priority, share}) => [name, member, String(priority), String(share)]));
	print(`\n${models.length} models`);
	return exitCodes.ok;
}

function lacks(answered: Answered<BundleStatus>, version: number): boolean {
	return !answered.ok || answered.answer.version < version;
}

function reasonOf(answered: Answered<BundleStatus>): string {
	return answered.ok ? `has ${answered.answer.version}` : `${answered.code} ${answered.reason}`;
}

/** Waits until a version is in force at every host; names who lacks it. */
export async function waitInForce(fleet: FleetFile, version: number, waitMs: number, isJson: boolean): Promise<number> {
	const start = performance.now();
	let last = -1;
	for (;;) {
		const answers = await askFleet(fleet, '/v1/bundle', data => bundleStatus.parse(data));
		const missing = answers.filter(each => lacks(each, version));
		const elapsedMs = Math.round(performance.now() - start);
		if (!isJson && missing.length !== last) {
			last = missing.length;
			print(`${elapsedMs} ms: ${answers.length - missing.length} of ${answers.length} hosts have version ${version}`);
		}

		if (missing.length === 0 || elapsedMs > waitMs) {
			return report(missing, version, elapsedMs, isJson);
		}

		await pause(pollMs);
	}
}

function report(missing: ReadonlyArray<Answered<BundleStatus>>, version: number, elapsedMs: number, isJson: boolean): number {
	if (isJson) {
		printJson({
			version, inForce: missing.length === 0, elapsedMs, missing: missing.map(each => ({host: each.host, reason: reasonOf(each)})),
		});
	} else if (missing.length > 0) {
		printTable(['lacks it', 'why'], missing.map(each => [each.host, reasonOf(each)]));
	}

	return missing.length === 0 ? exitCodes.ok : exitCodes.negative;
}
