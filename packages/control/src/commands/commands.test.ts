/** Catalogue: what the two binaries say of good and bad files, and what operators see where hosts disagree. */
import {spawnSync} from 'node:child_process';
import {
	mkdtempSync, readdirSync, statSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {expect} from 'earl';
import {type HostStatus} from '@gatehead/schema/admin-protocol';
import {type RelayStatus} from '@gatehead/schema/relay-status';
import {type Event} from '@gatehead/schema/event';
import {findRelayDisagreements, listSignals} from './relay-status.js';
import {findDisagreements, addUsage} from './status.js';
import {drawTimeline} from './timeline-page.js';
import {mergeEvents} from './timeline.js';

const root = fileURLToPath(new URL('../../../../', import.meta.url));
const control = join(root, 'packages/control/bin/gateheadctl.js');
const host = join(root, 'packages/host/bin/gatehead.js');

function run(binary: string, ...words: string[]): {readonly status: number; readonly out: string; readonly error: string} {
	const {status, stdout, stderr} = spawnSync(process.execPath, [binary, ...words], {cwd: root, encoding: 'utf8'});
	return {status: status ?? -1, out: stdout, error: stderr};
}

type Refused = {
	readonly file: string;
	/** Paths that must all be named. */
	readonly named: readonly string[];
};

const refusedBundles: readonly Refused[] = [
	{file: 'bundle-names.json', named: ['engines.1.address']},
	{file: 'bundle-values.json', named: ['version', 'rules.objective', 'callers.0.tokenDigest', 'extra']},
	{file: 'bundle-roles.json', named: ['engines', 'models.0']},
	{file: 'bundle-text.json', named: ['not JSON']},
];

const refusedSettings: readonly Refused[] = [
	{file: 'settings-values.json', named: ['listen.caller', 'hall', 'timing.tickMs']},
	{file: 'settings-missing.json', named: ['platform', 'surplus']},
];

describe('files', () => {
	for (const name of ['tour', 'buoy']) {
		it(`accepts the example ${name}`, () => {
			expect(run(control, 'bundle', 'check', `examples/${name}/bundle.json`).status).toEqual(0);
			expect(run(host, '--settings', `examples/${name}/settings.json`, '--check').status).toEqual(0);
		});
	}

	for (const {file, named} of refusedBundles) {
		it(`refuses ${file} and names ${named.join(', ')}`, () => {
			const {status, error} = run(control, 'bundle', 'check', `examples/invalid/${file}`);
			expect(status).toEqual(2);
			expect(error.startsWith('5004 bundleInvalid')).toEqual(true);
			expect(named.filter(each => !error.includes(each))).toEqual([]);
		});
	}

	for (const {file, named} of refusedSettings) {
		it(`refuses ${file} and names ${named.join(', ')}`, () => {
			const {status, error} = run(host, '--settings', `examples/invalid/${file}`, '--check');
			expect(status).toEqual(2);
			expect(named.filter(each => !error.includes(each))).toEqual([]);
			expect(run(control, 'settings', `examples/invalid/${file}`).status).toEqual(2);
		});
	}

	it('stands linked under its name for npx', () => {
		for (const name of ['gatehead', 'gateheadctl']) {
			const {status, stdout} = spawnSync(join(root, 'node_modules/.bin', name), ['--version'], {cwd: root, encoding: 'utf8'});
			expect(status).toEqual(0);
			expect(stdout.trim()).toEqual('0.1.0');
		}
	});

	it('has a case for every invalid example', () => {
		const covered = [...refusedBundles, ...refusedSettings].map(each => each.file);
		expect(readdirSync(join(root, 'examples/invalid')).toSorted()).toEqual(covered.toSorted());
	});

	it('makes keys for the signer alone, signs, checks, and finds a forged signature', () => {
		const folder = mkdtempSync(join(tmpdir(), 'gatehead-keys-'));
		const [mine, other, signed] = ['mine', 'other', 'signed.json'].map(each => join(folder, each));
		expect(run(control, 'keys', mine ?? '').status).toEqual(0);
		expect(run(control, 'keys', other ?? '').status).toEqual(0);
		expect(run(control, 'keys', mine ?? '').status).toEqual(2);
		expect(statSync(mine ?? '').mode % 0o1000).toEqual(0o600);
		expect(run(control, 'bundle', 'sign', 'examples/tour/bundle.json', '--key', mine ?? '', '--out', signed ?? '').status).toEqual(0);
		expect(run(control, 'bundle', 'check', signed ?? '', '--public-key', `${mine}.pub`).status).toEqual(0);
		expect(run(control, 'bundle', 'check', signed ?? '', '--public-key', `${other}.pub`).error.startsWith('5001')).toEqual(true);
		expect(run(control, 'bundle', 'diff', 'examples/tour/bundle.json', signed ?? '').status).toEqual(0);
		expect(run(control, 'bundle', 'diff', 'examples/tour/bundle.json', 'examples/buoy/bundle.json').status).toEqual(1);
	});

	it('names each host that lacks a version, and why', () => {
		const fleet = join(mkdtempSync(join(tmpdir(), 'gatehead-fleet-')), 'fleet.json');
		writeFileSync(fleet, JSON.stringify({hosts: [{host: 'silent-entry-1', adminAddress: '127.0.0.1:9'}]}));
		const {status, out} = run(control, 'bundle', 'in-force', '3', '--fleet', fleet, '--wait-ms', '1');
		expect(status).toEqual(1);
		expect(['0 of 1 hosts have version 3', 'silent-entry-1', '6005'].filter(each => !out.includes(each))).toEqual([]);
		expect(run(control, 'status', '--fleet', fleet).status).toEqual(1);
		expect(run(control, 'usage', '--fleet', fleet).error.includes('silent-entry-1')).toEqual(true);
		expect(run(control, 'status', '--fleet', 'examples/tour/bundle.json').error.startsWith('6006')).toEqual(true);
	});

	it('refuses a missing file, a wrong command and an unknown code with a number', () => {
		expect(run(control, 'bundle', 'check', 'no-such-file').error.startsWith('6002')).toEqual(true);
		expect(run(control, 'steer').status).toEqual(1);
		expect(run(control, 'explain', '42').error.startsWith('6006')).toEqual(true);
		expect(run(control, 'explain', '3001').out.includes('ownerUnreachable')).toEqual(true);
	});
});

function statusOf(name: string, change: Partial<HostStatus> = {}): HostStatus {
	return {
		host: name, incarnation: 1, hall: 'a', isReady: true, state: 'alive', bundle: {
			version: 3, digest: 'd', since: null, forMs: 0,
		}, isConfigurationDown: false, open: 0, members: [], cells: [], ...change,
	};
}

const cell = {
	cell: 'm/0', waiting: 0, leases: 0, slots: 8, free: 8,
};

const disagreements: ReadonlyArray<{readonly name: string; readonly hosts: readonly HostStatus[]; readonly found: number}> = [
	{name: 'nothing where all agree', hosts: [statusOf('a', {cells: [cell]}), statusOf('b')], found: 0},
	{
		name: 'two bundles in force', hosts: [statusOf('a'), statusOf('b', {
			bundle: {
				version: 2, digest: 'e', since: null, forMs: 0,
			},
		})], found: 1,
	},
	{name: 'a cell kept twice', hosts: [statusOf('a', {cells: [cell]}), statusOf('b', {cells: [cell]})], found: 1},
	{name: 'a host that is not ready and cannot read the service', hosts: [statusOf('a', {isReady: false, isConfigurationDown: true})], found: 2},
	{
		name: 'a host held to be dead that answers', hosts: [statusOf('a', {
			members: [{
				host: 'b', state: 'dead', hall: 'a', incarnation: 1, load: 0,
			}],
		}), statusOf('b')], found: 1,
	},
];

describe('status', () => {
	for (const {name, hosts, found} of disagreements) {
		it(`finds ${name}`, () => {
			expect(findDisagreements(hosts.map(answer => ({host: answer.host, ok: true, answer}))).length).toEqual(found);
		});
	}

	it('names a host that does not answer', () => {
		expect(findDisagreements([{
			host: 'a', ok: false, code: 6005, reason: 'timed out',
		}])[0]?.startsWith('a does not answer')).toEqual(true);
	});

	it('adds up use over hosts', () => {
		const row = {
			caller: 'c', member: 'm', priority: 0, share: 1, counts: {x: 2},
		};
		expect(addUsage([[row], [row]])[0]?.counts).toEqual({x: 4});
	});
});

function relayOf(name: string, change: Partial<RelayStatus> = {}): RelayStatus {
	return {
		host: name, incarnation: 1, hall: 'a', isReady: true, routingVersion: 7, directoryRevision: 40, isDirectoryDown: false, open: 0, waiting: 0, retryLeft: 3, subset: {own: 0, count: 1}, members: [], services: [{service: 'm', ready: 2, paused: 0}], signals: [], ...change,
	};
}

const relayDisagreements: ReadonlyArray<{readonly name: string; readonly relays: readonly RelayStatus[]; readonly found: readonly string[]}> = [
	{name: 'nothing where all agree', relays: [relayOf('a'), relayOf('b')], found: []},
	{name: 'two configurations in force', relays: [relayOf('a'), relayOf('b', {routingVersion: 8})], found: ['configurations in force differ: 7, 8']},
	{name: 'a relay that is not ready and cannot read the directory', relays: [relayOf('a', {isReady: false, isDirectoryDown: true})], found: ['a is not ready', 'a cannot read the directory']},
	{name: 'a service without an endpoint', relays: [relayOf('a', {services: [{service: 'm', ready: 2, paused: 2}]})], found: ['a has no endpoint for m: 2 of 2 set aside']},
	{name: 'a relay held to be dead that answers', relays: [relayOf('a', {members: [{host: 'b', state: 'dead'}]}), relayOf('b')], found: ['a holds b to be dead, and it answers']},
];

describe('status of relays', () => {
	it('lists the signals of endpoints with their sources', () => {
		const signals = [
			{
				endpoint: 'e2', signal: 'backoff', leftMs: 1250, source: 'own',
			},
			{
				endpoint: 'e1', signal: 'limit', value: 5.4, source: 'b',
			},
		] as const;
		expect(listSignals([{host: 'a', ok: true, answer: relayOf('a', {signals: [...signals]})}])).toEqual([
			['e1', 'limit', '5.4/s', '', 'b', 'a'],
			['e2', 'backoff', '', '1.3 s', 'own', 'a'],
		]);
	});

	for (const {name, relays, found} of relayDisagreements) {
		it(`finds ${name}`, () => {
			expect(findRelayDisagreements(relays.map(answer => ({host: answer.host, ok: true, answer})))).toEqual([...found]);
		});
	}

	it('a relay that does not answer is named, with exit code 1', () => {
		const fleet = join(mkdtempSync(join(tmpdir(), 'gatehead-fleet-')), 'fleet.json');
		writeFileSync(fleet, JSON.stringify({hosts: [{host: 'silent-relay-1', metricsAddress: '127.0.0.1:9'}]}));
		const {status, out} = run(control, 'status', '--fleet', fleet);
		expect(status).toEqual(1);
		expect(out.includes('silent-relay-1 does not answer: 6005')).toEqual(true);
		expect(run(control, 'usage', '--fleet', fleet).error.startsWith('6006')).toEqual(true);
		expect(run(control, 'timeline', '--fleet', fleet).error.startsWith('6006')).toEqual(true);
	});
});

const events: readonly Event[] = [
	{
		clock: '00000000001000.000000.b', host: 'b', kind: 'firstToken', request: 'r<1>', endpoint: 'd',
	},
	{
		clock: '00000000000999.000002.a', host: 'a', kind: 'asked', request: 'r<1>', caller: 'c',
	},
];

describe('time line', () => {
	it('orders events of all hosts by their stamps and filters', () => {
		const answers = events.map(each => ({host: each.host, ok: true as const, answer: {host: each.host, dropped: 0, events: [each]}}));
		expect(mergeEvents(answers, {form: 'text', follow: false}).map(each => each.host)).toEqual(['a', 'b']);
		expect(mergeEvents(answers, {form: 'text', follow: false, caller: 'c'}).map(each => each.host)).toEqual(['a']);
	});

	it('draws a lane for each host and endpoint, and escapes what it shows', () => {
		const page = drawTimeline(events, ['gone']);
		expect(['>a<', '>b<', '>d<', 'No answer from gone', 'r&lt;1&gt;'].filter(each => !page.includes(each))).toEqual([]);
		expect(page.includes('r<1>')).toEqual(false);
	});
});
