/** Real host processes with the options of the deploy file, before scripted endpoints; measures the peak of their resident memory. */
import {execFileSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {HostProcess} from '../soak/host-process.js';
import {waitUntilServing} from '../soak/bed.js';
import {findPorts, ownNetwork} from '../utils/ports.js';
import {
	startScriptedEndpoint, writeResponse, type ScriptedCall, type ScriptedEndpoint,
} from './scripted-endpoint.js';
import {bodyOf, streamOf} from './scripted-world.js';
import {startStore, type StandinStore} from './store-server.js';
import {makeConfig, makeEntry, type RouteTimes} from './world.js';

const root = fileURLToPath(new URL('../../../../', import.meta.url));
const anyPort = '127.0.0.1:0';
/** Callers, readiness, peers, lookups, forwarded requests. */
const portsPerHost = 5;
/** Each host has an address of its own, since all serve their metrics at one port. */
const firstIp = 11;

/** Node's options in the deploy file, as the platform fills them in for a machine. */
export function readNodeOptions(memoryMb: number): string[] {
	const deploy = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
	const [, options = ''] = /^run = "node (?<options>.*) target\//mv.exec(deploy) ?? [];
	return options.replaceAll('{{limits.memoryMb}}', String(memoryMb)).split(' ').filter(each => each !== '');
}

/** The program as the deploy file builds it. */
export type BuiltProgram = {
	readonly program: string;
	readonly remove: () => void;
};

/** Builds the program in a folder of its own. */
export function buildProgram(): BuiltProgram {
	const folder = mkdtempSync(join(tmpdir(), 'gatehead-memory-'));
	execFileSync(process.execPath, ['scripts/bundle.mjs', folder], {cwd: root});
	return {
		program: join(folder, 'launch.cjs'), remove() {
			rmSync(folder, {recursive: true});
		},
	};
}

/** Stage of an endpoint; undefined: one of a plain service. */
export type Stage = 'prefill' | 'decode' | undefined;

export type MemoryBedParts = {
	readonly program: string;
	readonly memoryMb: number;
	readonly hosts: number;
	readonly stages: readonly Stage[];
	readonly routeTimes: RouteTimes;
	/** Answers a call in place of the sound endpoint; returns whether it did. */
	readonly intercept: (call: ScriptedCall, endpoint: number) => boolean;
};

/** A running deployment. */
export type MemoryBed = {
	readonly hosts: readonly HostProcess[];
	readonly store: StandinStore;
	readonly endpoints: readonly ScriptedEndpoint[];
	stop(): Promise<void>;
};

function answerSoundly({id, target, headers, socket}: ScriptedCall, stage: Stage, number: number): void {
	if (target === '/api/hold-take') {
		socket.write(writeResponse(200, {}, JSON.stringify({hold: `hold${number}`})));
	} else if (target.startsWith('/api/')) {
		socket.write(writeResponse(200, {}, '{}'));
	} else if (headers.get('stage') === 'prefill') {
		socket.write(writeResponse(200, {'Request-Id': id}, JSON.stringify({prefillHandle: `result${number}`, tokens: 1, version: 1})));
	} else {
		const isStream = stage === 'decode';
		socket.write(writeResponse(200, {'Request-Id': id, 'Server-Seal': 'seal', ...(isStream ? {'Content-Type': 'text/event-stream'} : {})}, isStream ? streamOf(id, Number(headers.get('last-event-id') ?? 0)) : bodyOf(id)));
	}
}

/** Starts hosts and endpoints, and waits until the hosts serve. */
export async function startMemoryBed({program, memoryMb, hosts: hostCount, stages, routeTimes, intercept}: MemoryBedParts): Promise<MemoryBed> {
	const folder = mkdtempSync(join(tmpdir(), 'gatehead-memory-hosts-'));
	const store = await startStore(anyPort);
	let calls = 0;
	let isServing = false;
	const endpoints = await Promise.all(stages.map(async (stage, index) => startScriptedEndpoint(call => {
		calls += 1;
		if (!isServing || !intercept(call, index)) {
			answerSoundly(call, stage, calls);
		}
	})));
	store.put('op/config', makeConfig(1, undefined, [], routeTimes));
	for (const [index, {address}] of endpoints.entries()) {
		store.put(`servers/${stages[index] ?? 'plain'}-${index}`, makeEntry({
			address, stage: stages[index], slots: 64, born: 1, softwareVersion: undefined,
		}, 'ready'));
	}

	const ports = await findPorts(portsPerHost * hostCount);
	const seeds = [`${ownNetwork}.${firstIp}:${ports[2]}`];
	const hosts = Array.from({length: hostCount}, (_, index) => new HostProcess({
		name: `host-${index}`, ip: `${ownNetwork}.${firstIp + index}`, ports: ports.slice(portsPerHost * index, portsPerHost * (index + 1)), seeds, store: store.address, folder, program, nodeOptions: readNodeOptions(memoryMb), memoryMb,
	}));
	for (const host of hosts) {
		host.start();
	}

	await waitUntilServing({hosts, folder});
	isServing = true;
	return {
		hosts, store, endpoints, async stop() {
			for (const host of hosts) {
				host.signal('SIGKILL');
				await host.ended();
			}

			for (const endpoint of endpoints) {
				endpoint.stop();
			}

			await store.kill();
			rmSync(folder, {recursive: true});
		},
	};
}
