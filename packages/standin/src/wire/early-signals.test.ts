/** Guards against processes that a signal ends before they have started: a reload must not, and a stop must be a planned one. */
import {Buffer} from 'node:buffer';
import {execFileSync, spawn, type ChildProcess} from 'node:child_process';
import {generateKeyPairSync} from 'node:crypto';
import {once} from 'node:events';
import {
	closeSync, constants, copyFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {open, type FileHandle} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {
	after, before, describe, it,
} from 'node:test';
import {fileURLToPath} from 'node:url';
import {ignore} from '@gatehead/policy/utils/ignore';
import {digestOf} from '@gatehead/schema/canonical-json';
import {type SettingsDraft} from '@gatehead/schema/settings';
import {expect} from 'earl';
import {findAddresses, findPorts, ownAddress} from '../utils/ports.js';
import {makeBoot, until} from './world.js';

const root = fileURLToPath(new URL('../../../../', import.meta.url));
/** A test that waits for a line or an end fails, in milliseconds. */
const hangMs = 60_000;
/** Callers, readiness, peers, lookups, forwarded requests. */
const portsPerHost = 5;

async function makeRelaySettings(): Promise<unknown> {
	const ports = await findPorts(portsPerHost);
	const [store = ''] = await findAddresses(1);
	return makeBoot({
		name: 'host-0', ip: ownAddress, ports, seeds: [`${ownAddress}:${ports[2]}`], store,
	});
}

async function makeHostSettings(): Promise<unknown> {
	const [caller = '', peer = '', admin = '', platform = ''] = await findAddresses(4);
	const {publicKey} = generateKeyPairSync('ed25519');
	const draft: SettingsDraft = {
		host: 'host-0',
		hall: 'a',
		deployment: 'signals',
		listen: {caller, peer, admin},
		platform: {configuration: platform, hosts: platform},
		keys: {tickets: ['0'.repeat(64)], operators: [{name: 'operator', publicKey: publicKey.export({type: 'spki', format: 'pem'}).toString()}], adminTokenDigest: digestOf('token')},
	};
	return draft;
}

/** A program whose start is held while it reads a file. */
type Program = {
	readonly makeSettings: () => Promise<unknown>;
	/** Arguments of Node; `folder` holds the bundle. */
	readonly listArguments: (folder: string, settingsFile: string) => string[];
	/** File of the folder in which the start is held. */
	readonly heldFile: string;
	/** Line that a reload leaves; undefined: none. */
	readonly reloadLine: string | undefined;
};

const settingsName = 'settings.json';
const bundleName = 'gatehead.cjs';
const reloaded = 'settingsReloaded';

const programs: Readonly<Record<string, Program>> = {
	'a relay that reads its settings': {
		makeSettings: makeRelaySettings, listArguments: () => [join(root, 'platform/dist/main.js')], heldFile: settingsName, reloadLine: reloaded,
	},
	'a bundled relay that reads its settings': {
		makeSettings: makeRelaySettings, listArguments: folder => [join(folder, 'launch.cjs')], heldFile: settingsName, reloadLine: reloaded,
	},
	'a bundled relay that reads its code': {
		makeSettings: makeRelaySettings, listArguments: folder => [join(folder, 'launch.cjs')], heldFile: bundleName, reloadLine: reloaded,
	},
	'a host that reads its settings': {
		makeSettings: makeHostSettings,
		listArguments: (_folder, settingsFile) => [join(root, 'packages/host/bin/gatehead.js'), '--settings', settingsFile],
		heldFile: settingsName,
		reloadLine: undefined,
	},
};

/** `isStopped`: whether the process ends, as planned. */
const cases: ReadonlyArray<{readonly signals: readonly NodeJS.Signals[]; readonly isStopped: boolean}> = [
	{signals: ['SIGHUP'], isStopped: false},
	{signals: ['SIGHUP', 'SIGHUP'], isStopped: false},
	{signals: ['SIGTERM'], isStopped: true},
	{signals: ['SIGINT'], isStopped: true},
	{signals: ['SIGHUP', 'SIGTERM'], isStopped: true},
	{signals: ['SIGTERM', 'SIGHUP'], isStopped: true},
];

/** A file that a process waits for when it reads it. */
class HeldFile {
	readonly #path: string;
	readonly #content: Uint8Array;
	#pipe: FileHandle | undefined;

	constructor(path: string) {
		this.#path = path;
		this.#content = readFileSync(path);
		rmSync(path);
		execFileSync('mkfifo', [path]);
	}

	/** Resolves once the process reads the file, or has ended; later reads are not held. */
	async opened(child: ChildProcess): Promise<void> {
		child.once('exit', () => {
			// Without a reader, the pipe would never open
			if (this.#pipe === undefined) {
				closeSync(openSync(this.#path, constants.O_RDONLY | constants.O_NONBLOCK));
			}
		});
		this.#pipe = await open(this.#path, 'w');
		rmSync(this.#path);
		writeFileSync(this.#path, this.#content);
	}

	/** Lets the process read the file. */
	async release(): Promise<void> {
		// The process may have ended
		await this.#pipe?.writeFile(this.#content).catch(ignore);
		await this.#pipe?.close();
	}
}

describe('signals before a process has started', () => {
	const folders: string[] = [];
	let bundleFolder = '';

	function makeFolder(): string {
		const folder = mkdtempSync(join(tmpdir(), 'gatehead-signals-'));
		folders.push(folder);
		return folder;
	}

	before(() => {
		bundleFolder = makeFolder();
		execFileSync(process.execPath, ['scripts/bundle.mjs', bundleFolder], {cwd: root});
	});

	after(() => {
		for (const folder of folders) {
			rmSync(folder, {recursive: true});
		}
	});

	async function play({makeSettings, listArguments, heldFile, reloadLine}: Program, signals: readonly NodeJS.Signals[], isStopped: boolean): Promise<void> {
		const folder = makeFolder();
		for (const name of [bundleName, 'launch.cjs', 'gatehead.cache']) {
			copyFileSync(join(bundleFolder, name), join(folder, name));
		}

		const settingsFile = join(folder, settingsName);
		writeFileSync(settingsFile, JSON.stringify(await makeSettings()));
		const held = new HeldFile(join(folder, heldFile));
		const child = spawn(process.execPath, listArguments(folder, settingsFile), {
			stdio: ['ignore', 'pipe', 'pipe'], env: {...process.env, GATEHEAD_BOOT: settingsFile},
		});
		const exited = once(child, 'exit');
		const chunks: Uint8Array[] = [];
		for (const output of [child.stdout, child.stderr]) {
			output.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
			});
		}

		const hasLogged = (line: string) => Buffer.concat(chunks).includes(`"${line}"`);
		const hasEnded = () => child.exitCode !== null || child.signalCode !== null;
		const endsAt = performance.now() + hangMs;
		try {
			await held.opened(child);
			for (const signal of signals) {
				child.kill(signal);
			}

			await held.release();
			const hasGoneOn = () => !isStopped && hasLogged('started') && (reloadLine === undefined || hasLogged(reloadLine));
			await until(() => hasEnded() || hasGoneOn() || performance.now() > endsAt);
			expect({code: child.exitCode, signal: child.signalCode, isStarted: hasLogged('started')}).toEqual({code: isStopped ? 0 : null, signal: null, isStarted: !isStopped});
		} finally {
			if (!hasEnded()) {
				child.kill('SIGKILL');
				await exited;
			}
		}
	}

	for (const [name, program] of Object.entries(programs)) {
		for (const {signals, isStopped} of cases) {
			it(`${name} ${isStopped ? 'ends as planned' : 'goes on'} after ${signals.join(', ')}`, {timeout: hangMs}, async () => play(program, signals, isStopped));
		}
	}
});
