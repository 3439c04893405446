/** Faults around starts: signals that overlap, a port that is taken, a settings file that is not whole yet. */
import {once} from 'node:events';
import {createServer, type Server} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {pick} from '@gatehead/policy/utils/random';
import {splitAddress} from '@gatehead/schema/address';
import {type Bed} from './bed.js';
import {type HostProcess} from './host-process.js';

/** Longest time between a start and the signals behind it, and time in which a process ends that cannot start, in milliseconds. */
const longestStartMs = 600;
const failedStartMs = 1000;
const reloadIntervalMs = 5;
const reloads = 20;

async function reload(host: HostProcess): Promise<void> {
	for (let sent = 0; sent < reloads; sent += 1) {
		host.signal('SIGHUP');
		await pause(reloadIntervalMs);
	}
}

async function restart(host: HostProcess): Promise<void> {
	host.signal('SIGKILL');
	await host.ended();
	host.start();
}

async function stop(host: HostProcess): Promise<void> {
	host.signal('SIGTERM');
	await host.ended();
}

/** Signals in series; the first start or the stop that they meet may be anywhere in its course. */
const signalSeries: ReadonlyArray<(host: HostProcess, afterMs: number) => Promise<void>> = [
	reload,
	async (host, afterMs) => {
		await restart(host);
		await pause(afterMs);
		await reload(host);
	},
	async (host, afterMs) => {
		await restart(host);
		await pause(afterMs);
		await stop(host);
	},
	async host => {
		host.signal('SIGHUP');
		await Promise.all([stop(host), reload(host)]);
	},
	async (host, afterMs) => {
		await restart(host);
		await pause(afterMs);
		await Promise.all([reload(host), stop(host)]);
	},
];

/** Listens at an address; undefined if a process has it. */
async function takeAddress(address: string): Promise<Server | undefined> {
	const {ip, port} = splitAddress(address);
	const server = createServer(socket => {
		socket.destroy();
	});
	try {
		server.listen(port, ip);
		await once(server, 'listening');
		return server;
	} catch {
		// Another fault has started the host again
		return undefined;
	}
}

/** Each fault, with what ends it. */
export const startFaults: Readonly<Record<string, (bed: Bed, lastsMs: number) => Promise<void>>> = {
	async overlapSignals({random, hosts}) {
		const host = pick(random, hosts);
		const play = pick(random, signalSeries);
		if (host !== undefined) {
			await play?.(host, random.next() * longestStartMs);
			await pause(failedStartMs);
			host.start();
		}
	},
	/** A port of a host is taken as it starts again; callers of its own port would be another program's. */
	async takePort({random, hosts}, lastsMs) {
		const host = pick(random, hosts);
		host?.signal('SIGKILL');
		await host?.ended();
		const server = await takeAddress(pick(random, host?.ownAddresses ?? []) ?? '');
		host?.start();
		await pause(lastsMs);
		server?.close();
		await pause(failedStartMs);
		host?.start();
	},
	/** The settings file is empty or torn as a host starts, and whole later. */
	async tearSettings({random, hosts}, lastsMs) {
		const host = pick(random, hosts);
		host?.signal('SIGKILL');
		await host?.ended();
		host?.start(random.next() < 0.5 ? 0 : random.next());
		await pause(lastsMs);
		host?.writeSettings();
		await pause(failedStartMs);
		host?.start();
	},
};
