/** The programs as real processes, with settings of their own. */
import {Buffer} from 'node:buffer';
import {spawn, type ChildProcess} from 'node:child_process';
import {generateKeyPairSync} from 'node:crypto';
import {once} from 'node:events';
import {join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {digestOf} from '@gatehead/schema/canonical-json';
import {type SettingsDraft} from '@gatehead/schema/settings';
import {findAddresses, findPorts, ownAddress} from '../utils/ports.js';
import {makeBoot} from './world.js';

/** Folder of the repository. */
export const root = fileURLToPath(new URL('../../../../', import.meta.url));
/** Callers, readiness, peers, lookups, forwarded requests. */
const portsPerHost = 5;

export const relayMain = join(root, 'platform/dist/main.js');
export const hostMain = join(root, 'packages/host/bin/gatehead.js');

/** Settings of a relay beside which nothing runs. */
export async function makeRelaySettings(): Promise<unknown> {
	const ports = await findPorts(portsPerHost);
	const [store = ''] = await findAddresses(1);
	return makeBoot({
		name: 'host-0', ip: ownAddress, ports, seeds: [`${ownAddress}:${ports[2]}`], store,
	});
}

/** Settings of a host beside which nothing runs. */
export async function makeHostSettings(): Promise<unknown> {
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

/** A process of a program and what it has written. */
export class StartedProgram {
	readonly child: ChildProcess;
	readonly #exited: Promise<unknown>;
	readonly #chunks: Uint8Array[] = [];

	/** `programArguments` are those of Node. `ownOutput`: descriptor that it writes to, which its starter reads; absent: its output is read here. */
	constructor(programArguments: readonly string[], settingsFile: string, ownOutput?: number) {
		const child = spawn(process.execPath, programArguments, {
			stdio: ['ignore', ownOutput ?? 'pipe', ownOutput ?? 'pipe'], env: {...process.env, GATEHEAD_BOOT: settingsFile},
		});
		this.child = child;
		this.#exited = once(child, 'close');
		for (const output of [child.stdout, child.stderr]) {
			output?.on('data', (chunk: Uint8Array) => {
				this.#chunks.push(chunk);
			});
		}
	}

	/** What it has written to standard output and standard error. */
	get output(): string {
		return Buffer.concat(this.#chunks).toString();
	}

	get hasEnded(): boolean {
		return this.child.exitCode !== null || this.child.signalCode !== null;
	}

	/** Whether it has written a line with a code. */
	hasLogged(code: string): boolean {
		return this.output.includes(`"${code}"`);
	}

	/** Resolves once it has ended and all that it wrote is known. */
	async ended(): Promise<void> {
		await this.#exited;
	}

	/** Ends it at once. */
	async kill(): Promise<void> {
		if (!this.hasEnded) {
			this.child.kill('SIGKILL');
		}

		await this.ended();
	}
}
