/** Guards against requests that end with a reload of settings that cannot be read, are half written, or need a restart. */
import {
	mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {waitUntilServing} from '../soak/bed.js';
import {HostProcess} from '../soak/host-process.js';
import {findPorts, ownAddress} from '../utils/ports.js';
import {sendRequest} from './client.js';
import {makeReplicaLog, startReplica, type StandinReplica} from './replica-server.js';
import {startStore, type StandinStore} from './store-server.js';
import {
	makeConfig, makeEntry, patientTimes, until,
} from './world.js';

const okStatus = 200;
/** Callers, readiness, peers, lookups, forwarded requests. */
const portsPerHost = 5;
/** Time that a call takes at an endpoint, and between two events of a stream, in milliseconds. */
const workMs = 400;
const stages = [undefined, undefined, 'prefill', 'decode', 'decode'] as const;
const paths = ['/once/1', '/repeatable/1', '/stream/1', '/resumable/1'];

type Case = {
	readonly name: string;
	/** Replaces the settings file. */
	readonly write: (path: string, text: string) => void;
	/** Line that the reload leaves. */
	readonly line: 'settingsReloaded' | 'settingsInvalid';
};

/** The settings file with other values of some fields. */
function change(fields: Readonly<Record<string, unknown>>): Case['write'] {
	return (path, text) => {
		const settings: unknown = JSON.parse(text);
		writeFileSync(path, JSON.stringify({...(typeof settings === 'object' ? settings : {}), ...fields}));
	};
}

const elsewhere = `${ownAddress}:1`;

const cases: readonly Case[] = [
	{
		name: 'are as before', write: change({}), line: 'settingsReloaded',
	},
	{
		name: 'are not there', write(path) {
			rmSync(path);
		}, line: 'settingsInvalid',
	},
	{
		name: 'are a folder', write(path) {
			rmSync(path);
			mkdirSync(path);
		}, line: 'settingsInvalid',
	},
	{
		name: 'are empty', write(path) {
			writeFileSync(path, '');
		}, line: 'settingsInvalid',
	},
	{
		name: 'are half written', write(path, text) {
			writeFileSync(path, text.slice(0, text.length / 2));
		}, line: 'settingsInvalid',
	},
	{
		name: 'lack a field', write: change({bounds: undefined}), line: 'settingsInvalid',
	},
	{
		name: 'have a field of another kind', write: change({seeds: {}}), line: 'settingsInvalid',
	},
	{
		name: 'name other addresses to listen at', write: change({
			listen: {
				front: elsewhere, ready: elsewhere, control: elsewhere, directory: elsewhere,
			},
		}), line: 'settingsReloaded',
	},
	{
		name: 'name another store and another host', write: change({platform: {address: elsewhere}, nodeName: 'host-1', zone: 'b'}), line: 'settingsReloaded',
	},
	{
		name: 'have lower limits', write: change({limits: {maxFds: 210}}), line: 'settingsReloaded',
	},
	{
		name: 'name no seeds', write: change({seeds: []}), line: 'settingsReloaded',
	},
	{
		name: 'name seeds that are not there', write: change({seeds: [elsewhere]}), line: 'settingsReloaded',
	},
];

describe('a reload while requests are in progress', () => {
	const log = makeReplicaLog();
	const replicas: StandinReplica[] = [];
	let folder = '';
	let settingsFile = '';
	let store: StandinStore;
	let host: HostProcess;
	let sent = 0;

	before(async () => {
		store = await startStore('127.0.0.1:0');
		store.put('op/config', makeConfig(1, undefined, [], patientTimes));
		for (const [index, stage] of stages.entries()) {
			const replica = await startReplica({
				id: `${stage ?? 'plain'}-${index}`, stage, slots: 16, log, eventGapMs: workMs, softwareVersion: undefined,
			}, '127.0.0.1:0');
			replicas.push(replica);
			store.put(`servers/${replica.id}`, makeEntry(replica, 'ready'));
		}

		const ports = await findPorts(portsPerHost);
		folder = mkdtempSync(join(tmpdir(), 'gatehead-reload-'));
		const parts = {
			name: 'host-0', ip: ownAddress, ports, seeds: [`${ownAddress}:${ports[2]}`], store: store.address, folder,
		};
		settingsFile = join(folder, 'host-0.json');
		host = new HostProcess(parts);
		host.start();
		await waitUntilServing({hosts: [host], folder});
		for (const replica of replicas) {
			replica.workMs = workMs;
		}
	});

	after(async () => {
		host.signal('SIGKILL');
		await host.ended();
		await Promise.all(replicas.map(async replica => replica.kill()));
		await store.kill();
		rmSync(folder, {recursive: true});
	});

	const countLines = (line: string) => host.readLog().split(`"${line}"`).length - 1;

	async function send(path: string): Promise<unknown> {
		sent += 1;
		const {status, isWhole} = await sendRequest({
			address: host.caller, id: `request-${sent}`, path, headers: {'Deadline-Ms': patientTimes.timeoutMs},
		});
		return {path, status, isWhole};
	}

	async function check({write, line}: Case): Promise<void> {
		const text = readFileSync(settingsFile, 'utf8');
		const lines = countLines(line);
		const runs = log.runs.length;
		const inProgress = Promise.all(paths.map(async path => send(path)));
		await until(() => log.runs.length >= runs + paths.length);
		write(settingsFile, text);
		try {
			host.signal('SIGHUP');
			await until(() => !host.isRunning || countLines(line) > lines);
			const answers = [...await inProgress, ...await Promise.all(paths.map(async path => send(path)))];
			expect({isRunning: host.isRunning, answers}).toEqual({isRunning: true, answers: [...paths, ...paths].map(path => ({path, status: okStatus, isWhole: true}))});
		} finally {
			rmSync(settingsFile, {recursive: true, force: true});
			writeFileSync(settingsFile, text);
		}
	}

	for (const each of cases) {
		it(`settings that ${each.name}: each request is answered`, {timeout: 60_000}, async () => check(each));
	}
});
