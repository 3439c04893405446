/** What a host process has used so far: processor time and memory from the system, messages and bytes from its own counters. */
import {readFileSync} from 'node:fs';
import {request as httpRequest} from 'node:http';
import {splitAddress} from '@gatehead/schema/address';
import {adminToken, type HostProcess} from '../demo/deployment.js';

const ticksPerSecond = 100;
const millisecondsPerTick = 1000 / ticksPerSecond;
const bytesPerPage = 4096;
const utimeField = 11;
const residentField = 21;

/** Totals of one process. */
export type Sample = {
	readonly at: number;
	readonly cpuMs: number;
	readonly residentBytes: number;
	readonly messages: number;
	readonly bytes: number;
	readonly reads: number;
};

/** Reads an administration route. */
export async function readAdmin(address: string, path: string): Promise<unknown> {
	const {ip, port} = splitAddress(address);
	return new Promise((resolve, reject) => {
		const call = httpRequest({
			host: ip, port, path, headers: {authorization: `Bearer ${adminToken}`}, agent: false,
		}, response => {
			let text = '';
			response.setEncoding('utf8');
			response.on('data', chunk => {
				text += String(chunk);
			});
			response.once('end', () => {
				resolve(JSON.parse(text));
			});
		});
		call.once('error', reject);
		call.end();
	});
}

function readStat(pid: number): {readonly cpuMs: number; readonly residentBytes: number} {
	const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
	// Fields after the name in parentheses; `man 5 proc` numbers them from 3
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ').map(Number);
	return {
		cpuMs: ((fields[utimeField] ?? 0) + (fields[utimeField + 1] ?? 0)) * millisecondsPerTick, residentBytes: (fields[residentField] ?? 0) * bytesPerPage,
	};
}

/** Samples one process. */
export async function takeSample({child, adminAddress}: HostProcess): Promise<Sample> {
	const counters = await readAdmin(adminAddress, '/v1/counters') as Record<string, number>; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- our own answer
	return {
		at: performance.now(), ...readStat(child.pid ?? 0), messages: counters['peers.messages_sent'] ?? 0, bytes: counters['peers.bytes_sent'] ?? 0, reads: counters['platform.reads'] ?? 0,
	};
}

/** Use a second, averaged over the processes, with the busiest one's processor time. */
export type Rate = {
	readonly cpuMs: number;
	readonly mostCpuMs: number;
	readonly residentMb: number;
	readonly messages: number;
	readonly bytes: number;
	readonly reads: number;
};

/** Rates between two samples of each process. */
export function rateOf(before: readonly Sample[], after: readonly Sample[]): Rate {
	const rates = after.flatMap((late, index) => {
		const early = before[index];
		if (early === undefined) {
			return [];
		}

		const seconds = (late.at - early.at) / 1000;
		return [{
			cpuMs: (late.cpuMs - early.cpuMs) / seconds, messages: (late.messages - early.messages) / seconds, bytes: (late.bytes - early.bytes) / seconds, reads: (late.reads - early.reads) / seconds, residentMb: late.residentBytes / 1_000_000,
		}];
	});
	const mean = (pick: (rate: typeof rates[number]) => number) => rates.reduce((sum, each) => sum + pick(each), 0) / Math.max(1, rates.length);
	return {
		cpuMs: mean(each => each.cpuMs), mostCpuMs: Math.max(...rates.map(each => each.cpuMs)), residentMb: mean(each => each.residentMb), messages: mean(each => each.messages), bytes: mean(each => each.bytes), reads: mean(each => each.reads),
	};
}
