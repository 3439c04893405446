/** Planned stops, and standstills in them. */
import {setTimeout as pause} from 'node:timers/promises';
import {type Standstill} from './host-exit.js';
import {type HostProcess} from './host-process.js';

/** How a planned stop ended. */
export type StopEnd = {
	/** On this process's steady clock, in milliseconds. */
	readonly stoppedAt: number;
	readonly tookMs: number;
	/** Whether the process ended by itself, and with which code. */
	readonly exitCode: number | undefined;
	/** Names of the last lines that are due and did not arrive. */
	readonly missing: readonly string[];
};

/** Holds a process, which must not outlast its grace period, unless it has ended before. */
async function hold(host: HostProcess, {atMs, lastsMs}: Standstill, ended: Promise<void>): Promise<void> {
	const exitsBefore = host.exits.length;
	await Promise.race([pause(atMs), ended]);
	if (host.exits.length === exitsBefore) {
		host.signal('SIGSTOP');
		await Promise.race([pause(lastsMs), ended]);
		host.signal('SIGCONT');
	}
}

/** Stops a host and waits for its end. */
export async function stopAsPlanned(host: HostProcess, standstill?: Standstill): Promise<StopEnd> {
	const exitsBefore = host.exits.length;
	const stoppedAt = performance.now();
	host.signal('SIGTERM');
	const ended = host.ended();
	const holding = standstill === undefined ? undefined : hold(host, standstill, ended);
	await ended;
	const tookMs = performance.now() - stoppedAt;
	await holding;
	const {code: exitCode, missing = []} = host.exits[exitsBefore] ?? {};
	return {
		stoppedAt, tookMs, exitCode, missing,
	};
}
