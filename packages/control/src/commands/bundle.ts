/** The `gateheadctl bundle` commands. None of them writes to the platform. Safety: a bundle passes the same validation as on hosts before it is signed. */
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
	readBundle, readAnyBundle, readPublicPem, readSignedBundle, readSigningKey, type FleetFile,
} from '../utils/files.js';
import {queryFleet, type HostResult} from '../utils/fleet.js';
import {
	exitCodes, print, printJson, printTable,
} from '../utils/output.js';

const pollMs = 500;

/** Validates a bundle file, and its signature if `publicKey` is given. */
export function checkBundle(path: string, publicKey: string | undefined): number {
	if (publicKey === undefined) {
		const {deployment, version} = readAnyBundle(path);
		print(`${path}: bundle ${version} of ${deployment} is valid`);
		return exitCodes.ok;
	}

	const signed = readSignedBundle(path);
	const {deployment, version} = openBundle(signed, [readOperatorKey(signed.key, readPublicPem(publicKey))]);
	print(`${path}: bundle ${version} of ${deployment} is valid and signed by ${signed.key}`);
	return exitCodes.ok;
}

/** Validates and signs a bundle. Operators publish the result under the key `bundle`. */
export function signBundleFile(path: string, keyPath: string, name: string, out: string | undefined): number {
	const text = JSON.stringify(signBundle(readBundle(path), name, readSigningKey(keyPath)));
	if (out === undefined) {
		print(text);
		return exitCodes.ok;
	}

	try {
		writeFileSync(out, `${text}\n`);
	} catch (error) {
		fail('fileUnreadable', {detail: `${out}: file cannot be written`, cause: error});
	}

	return exitCodes.ok;
}

/** Values that differ at a path, as JSON; empty if missing. */
export type Difference = {
	readonly path: string;
	readonly left: string;
	readonly right: string;
};

function keyOfElement(value: unknown, index: number): string {
	const name: unknown = typeof value === 'object' && value !== null ? Reflect.get(value, 'name') : undefined;
	return typeof name === 'string' ? name : String(index);
}

/** Flattens a value to a map from path to JSON. Named list elements are keyed by name, so their order does not matter. */
function flatten(value: unknown, path: string, entries: Map<string, string>): void {
	if (Array.isArray(value)) {
		for (const [index, each] of value.entries()) {
			flatten(each, `${path}[${keyOfElement(each, index)}]`, entries);
		}

		return;
	}

	if (typeof value === 'object' && value !== null) {
		for (const [key, each] of Object.entries(value)) {
			flatten(each, path === '' ? key : `${path}.${key}`, entries);
		}

		return;
	}

	entries.set(path, JSON.stringify(value) ?? '');
}

/** Compares two bundles by path. */
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

/** Prints the differences of two bundles; exit code 1 if there are any. */
export function diffBundles(leftPath: string, rightPath: string, isJson: boolean): number {
	const differences = compareBundles(readAnyBundle(leftPath), readAnyBundle(rightPath));
	if (isJson) {
		printJson(differences);
	} else {
		printTable(['path', leftPath, rightPath], differences.map(({path, left, right}) => [path, left, right]));
	}

	return differences.length === 0 ? exitCodes.ok : exitCodes.negative;
}

/** Prints a summary of a bundle. */
export function showBundle(path: string, isJson: boolean): number {
	const bundle = readAnyBundle(path);
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

function lacksVersion(result: HostResult<BundleStatus>, version: number): boolean {
	return !result.ok || result.answer.version < version;
}

function reasonOf(result: HostResult<BundleStatus>): string {
	return result.ok ? `has ${result.answer.version}` : `${result.code} ${result.reason}`;
}

/** Waits until all hosts have a version or a newer one; after `waitMs`, prints the hosts without it and returns exit code 1. */
export async function waitForVersion(fleet: FleetFile, version: number, waitMs: number, isJson: boolean): Promise<number> {
	const start = performance.now();
	let lastMissing = -1;
	for (;;) {
		const results = await queryFleet(fleet, '/v1/bundle', data => bundleStatus.parse(data));
		const missing = results.filter(each => lacksVersion(each, version));
		const elapsedMs = Math.round(performance.now() - start);
		if (!isJson && missing.length !== lastMissing) {
			lastMissing = missing.length;
			print(`${elapsedMs} ms: ${results.length - missing.length} of ${results.length} hosts have version ${version}`);
		}

		if (missing.length === 0 || elapsedMs > waitMs) {
			return printMissingHosts(missing, version, elapsedMs, isJson);
		}

		await pause(pollMs);
	}
}

function printMissingHosts(missing: ReadonlyArray<HostResult<BundleStatus>>, version: number, elapsedMs: number, isJson: boolean): number {
	if (isJson) {
		printJson({
			version, inForce: missing.length === 0, elapsedMs, missing: missing.map(each => ({host: each.host, reason: reasonOf(each)})),
		});
	} else if (missing.length > 0) {
		printTable(['missing at', 'reason'], missing.map(each => [each.host, reasonOf(each)]));
	}

	return missing.length === 0 ? exitCodes.ok : exitCodes.negative;
}
