/** Guards against last lines of a process that are lost because its reader does not read for a moment. */
import {Buffer} from 'node:buffer';
import {execFileSync} from 'node:child_process';
import {
	closeSync, constants, mkdtempSync, openSync, readSync, rmSync, writeFileSync, writeSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {errorCode} from '@gatehead/host/utils/error-code';
import {expect} from 'earl';
import {openCaller} from './raw-caller.js';
import {
	hostMain, makeHostSettings, makeRelaySettings, relayMain, StartedProgram,
} from './started-program.js';
import {until} from './world.js';

const hangMs = 90_000;
const pollMs = 10;
const chunkBytes = 4096;
/** What the reader has not read when the stop begins. */
const filling = `${'x'.repeat(chunkBytes - 1)}\n`;

/** A pipe that its reader fills and empties. */
class SlowPipe {
	/** End of the process; its spawn makes the descriptor blocking, with all copies of it. */
	readonly output: number;
	readonly #fd: number;
	#text = '';

	constructor(folder: string) {
		const path = join(folder, 'output');
		execFileSync('mkfifo', [path]);
		this.output = openSync(path, constants.O_RDWR);
		this.#fd = openSync(path, constants.O_RDWR | constants.O_NONBLOCK);
	}

	/** Everything read so far. */
	get text(): string {
		return this.#text;
	}

	/** Writes until the pipe takes no more. */
	fill(): void {
		this.#repeat(() => writeSync(this.#fd, filling));
	}

	/** Reads what is there. */
	read(): void {
		const chunk = Buffer.alloc(chunkBytes);
		this.#repeat(() => {
			this.#text += chunk.toString('utf8', 0, readSync(this.#fd, chunk));
		});
	}

	close(): void {
		closeSync(this.output);
		closeSync(this.#fd);
	}

	#repeat(step: () => unknown): void {
		try {
			for (;;) {
				step();
			}
		} catch (error) {
			if (errorCode(error) !== 'EAGAIN') {
				throw error;
			}
		}
	}
}

async function isListening(address: string): Promise<boolean> {
	try {
		const {socket} = await openCaller(address);
		socket.destroy();
		return true;
	} catch {
		return false;
	}
}

type Program = {
	readonly makeSettings: () => Promise<unknown>;
	readonly listArguments: (file: string) => string[];
	readonly callerOf: (settings: string) => string;
};

const programs: Readonly<Record<string, Program>> = {
	relay: {makeSettings: makeRelaySettings, listArguments: () => [relayMain], callerOf: settings => /"front":"(?<address>[^"]+)"/v.exec(settings)?.groups?.address ?? ''},
	host: {makeSettings: makeHostSettings, listArguments: file => [hostMain, '--settings', file], callerOf: settings => /"caller":"(?<address>[^"]+)"/v.exec(settings)?.groups?.address ?? ''},
};

describe('the last lines of a process whose output is full as its stop ends', () => {
	for (const [name, {makeSettings, listArguments, callerOf}] of Object.entries(programs)) {
		it(`${name}: arrive once they are read`, {timeout: hangMs}, async () => {
			const folder = mkdtempSync(join(tmpdir(), 'gatehead-slow-reader-'));
			const settings = JSON.stringify(await makeSettings());
			const settingsFile = join(folder, 'settings.json');
			writeFileSync(settingsFile, settings);
			const pipe = new SlowPipe(folder);
			const started = new StartedProgram(listArguments(settingsFile), settingsFile, pipe.output);
			try {
				await until(() => {
					pipe.read();
					return started.hasEnded || pipe.text.includes('"started"');
				});
				pipe.fill();
				started.child.kill('SIGTERM');
				while (await isListening(callerOf(settings))) {
					await pause(pollMs);
				}

				// The process is at its end by now, and its reader is back
				while (!started.hasEnded) {
					pipe.read();
					await pause(pollMs);
				}

				pipe.read();
				expect(started.child.exitCode).toEqual(0);
				expect(['"stopping"', '"stopped"', '"processEnded"'].filter(line => !pipe.text.includes(line))).toEqual([]);
			} finally {
				await started.kill();
				pipe.close();
				rmSync(folder, {recursive: true});
			}
		});
	}
});
