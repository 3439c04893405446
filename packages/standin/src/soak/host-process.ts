/** One real host process on the platform's stand-ins: started, paused, stopped and killed by its own id. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {
	fstatSync, openSync, readFileSync, writeFileSync,
} from 'node:fs';
import {constants} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {makeBoot} from '../wire/world.js';
import {
	findExitCause, findMissingLines, findStop, listStandstills, type HostExit, type SentSignal,
} from './host-exit.js';
import {graceMs} from './stop-traffic.js';

const lastLineCount = 5;
const bytesPerKibibyte = 1024;
const ownProgram = fileURLToPath(new URL('../../../../platform/dist/main.js', import.meta.url));

/** Where a process listens and keeps its files. */
export type HostParts = {
	readonly name: string;
	/** An address of its own in the loopback range. */
	readonly ip: string;
	/** Ports for callers, readiness, peers, lookups and forwarded requests. */
	readonly ports: readonly number[];
	readonly seeds: readonly string[];
	readonly store: string;
	readonly folder: string;
	/** Hall of the host; absent: the hall of all other hosts. */
	readonly hall?: string;
	/** Path of the program; absent: the one built here. */
	readonly program?: string | undefined;
	/** Options of Node, such as its memory limits; absent: none. */
	readonly nodeOptions?: readonly string[];
	/** Memory of its machine, in megabytes; absent: the settings state none. */
	readonly memoryMb?: number;
};

/** One end of a process, or what is to end it; times are on the process's steady clock, in milliseconds. */
export type HostEnd = {
	readonly signal: 'SIGKILL' | 'SIGTERM';
	readonly at: number;
	/** Undefined: it has not ended yet. */
	endedAt: number | undefined;
};

/** A host process that comes and goes. */
export class HostProcess {
	readonly name: string;
	readonly caller: string;
	/** Signals that were to end it, in order. */
	readonly ends: HostEnd[] = [];
	/** All its ends, in order. */
	readonly exits: HostExit[] = [];
	/** Highest peak of the resident memory of its processes, in bytes, as of the last sample. */
	peakBytes = 0;
	readonly #parts: HostParts;
	readonly #settingsFile: string;
	readonly #logFile: number;
	#child: ChildProcess | undefined;
	/** Signals that the process that runs was sent. */
	#sent: SentSignal[] = [];
	/** Kills the process that runs at the end of its stop's grace period. */
	#killing: NodeJS.Timeout | undefined;

	constructor(parts: HostParts) {
		this.#parts = parts;
		this.name = parts.name;
		this.caller = `${parts.ip}:${parts.ports[0]}`;
		this.#settingsFile = join(parts.folder, `${parts.name}.json`);
		this.#logFile = openSync(join(parts.folder, `${parts.name}.log`), 'a');
	}

	/** Where it listens, but for its callers. */
	get ownAddresses(): string[] {
		return this.#parts.ports.slice(1).map(port => `${this.#parts.ip}:${port}`);
	}

	/** Whether the process is there. */
	get isRunning(): boolean {
		return this.#child?.pid !== undefined && this.#child.exitCode === null && this.#child.signalCode === null;
	}

	/** Starts the process, unless another fault that overlaps has done so. Only a share of its settings file may be there. */
	start(settingsShare = 1): void {
		if (this.isRunning) {
			return;
		}

		this.writeSettings(settingsShare);
		this.#child = spawn(process.execPath, [...this.#parts.nodeOptions ?? [], this.#parts.program ?? ownProgram], {stdio: ['ignore', this.#logFile, this.#logFile], env: {...process.env, GATEHEAD_BOOT: this.#settingsFile}});
		this.#watch(this.#child);
	}

	/** Writes the settings file, or the first share of it. */
	writeSettings(share = 1): void {
		const text = JSON.stringify(makeBoot({...this.#parts, isFirstStart: this.#child === undefined}));
		writeFileSync(this.#settingsFile, text.slice(0, Math.round(share * text.length)));
	}

	/** The lines that the process has written so far. */
	readLog(): string {
		return readFileSync(join(this.#parts.folder, `${this.name}.log`), 'utf8');
	}

	/** Peak of the resident memory of the process that runs, in bytes; 0 if none does. */
	readPeakBytes(): number {
		return this.#readMemory('VmHWM');
	}

	/** Resident memory of the process that runs, in bytes; 0 if none does. */
	readResidentBytes(): number {
		return this.#readMemory('VmRSS');
	}

	/** Keeps the peak so far: that of a process that has ended can no longer be read. */
	samplePeak(): void {
		this.peakBytes = Math.max(this.peakBytes, this.readPeakBytes());
	}

	/** Sends a signal to this process alone. Behind SIGTERM, SIGKILL follows at the end of the grace period, as on the platform. */
	signal(signal: NodeJS.Signals): void {
		if (this.isRunning) {
			if (signal === 'SIGKILL' || signal === 'SIGTERM') {
				this.ends.push({signal, at: performance.now(), endedAt: undefined});
			}

			this.samplePeak();
			this.#send(signal);
			if (signal === 'SIGTERM') {
				this.#killing ??= setTimeout(() => {
					this.#send('SIGKILL', true);
				}, graceMs);
			}
		}
	}

	/** Resolves when the process has ended. */
	async ended(): Promise<void> {
		if (this.isRunning && this.#child !== undefined) {
			await once(this.#child, 'exit');
		}
	}

	#send(signal: NodeJS.Signals, isGraceOver = false): void {
		this.#sent.push({
			signal, isHandled: this.#handlesReloads(), at: performance.now(), isGraceOver,
		});
		this.#child?.kill(signal);
	}

	/** Notes the end of a process. */
	#watch(child: ChildProcess): void {
		const sent: SentSignal[] = [];
		this.#sent = sent;
		const startedAt = performance.now();
		const endsBefore = this.ends.length;
		const logBefore = fstatSync(this.#logFile).size;
		this.#killing = undefined;
		const note = (code: number | undefined, signal: NodeJS.Signals | undefined, detail: readonly string[]) => {
			clearTimeout(this.#killing);
			const endedAt = performance.now();
			const stoppedAt = findStop(sent);
			const log = this.#readLog(logBefore);
			const lines = log.split('\n').filter(line => line !== '');
			this.exits.push({
				cause: findExitCause(sent, {code, signal}),
				code,
				signal,
				uptimeMs: endedAt - startedAt,
				stoppedAt,
				standstills: listStandstills(sent, stoppedAt ?? endedAt, endedAt),
				missing: findMissingLines(log, stoppedAt),
				lastLines: [...lines.slice(-lastLineCount), ...detail],
			});
			for (const end of this.ends.slice(endsBefore)) {
				end.endedAt ??= endedAt;
			}
		};

		child.once('exit', (code, signal) => {
			note(code ?? undefined, signal ?? undefined, []);
		});
		child.once('error', error => {
			if (child.pid === undefined) {
				note(undefined, undefined, [String(error)]);
			}
		});
	}

	/** The log behind a number of bytes. */
	#readLog(from: number): string {
		return readFileSync(join(this.#parts.folder, `${this.name}.log`)).subarray(from).toString('utf8');
	}

	/** Whether the process that runs has its handlers. */
	#handlesReloads(): boolean {
		const caught = BigInt(`0x${/[\da-f]+$/v.exec(this.#readStatus('SigCgt'))?.[0] ?? '0'}`);
		return (caught >> BigInt(constants.signals.SIGHUP - 1)) % 2n === 1n;
	}

	#readMemory(field: 'VmHWM' | 'VmRSS'): number {
		return bytesPerKibibyte * Number(/\d+/v.exec(this.#readStatus(field))?.[0] ?? 0);
	}

	/** A line of what the kernel states of the process; empty if none runs. */
	#readStatus(field: string): string {
		if (!this.isRunning) {
			return '';
		}

		const lines = readFileSync(`/proc/${this.#child?.pid}/status`, 'utf8').split('\n');
		return lines.find(line => line.startsWith(`${field}:`)) ?? '';
	}
}
