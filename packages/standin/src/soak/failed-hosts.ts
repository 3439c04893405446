/** What the soak finds out about its host processes: ends that nobody asked for, and peaks of memory. */
import {describeExit, type ExitCause} from './host-exit.js';
import {type HostProcess} from './host-process.js';

const bytesPerMegabyte = 1024 * 1024;
/** Share of a machine's memory that a host may use. */
const memoryShare = 0.9;

type PlayedHost = Pick<HostProcess, 'name' | 'exits' | 'peakBytes'>;

/** Number of ends by cause. */
export type ExitCounts = Readonly<Record<ExitCause, number>>;

/** Ends of processes that nobody asked for, stops that did not end in time or without their last lines, and peaks too close to a machine's memory. */
export function findFailedHosts(hosts: readonly PlayedHost[], memoryMb: number): string[] {
	return hosts.flatMap(({name, exits, peakBytes}) => [
		...exits.filter(({cause}) => cause === 'overdue').map(exit => `${name} was there at the end of its grace period, ${describeExit(exit)}`),
		...exits.filter(({signal, missing = []}) => signal !== 'SIGKILL' && missing.length > 0).map(exit => `${name} left no line ${exit.missing?.join(' and ')}, ${describeExit(exit)}`),
		...exits.filter(({cause}) => cause === 'unasked').map(exit => `${name} ended by itself, ${describeExit(exit)}`),
		...(toMegabytes(peakBytes) > memoryShare * memoryMb ? [`${name} had a peak of ${toMegabytes(peakBytes)} MB, of ${memoryMb} MB of its machine`] : []),
	]);
}

/** Bytes in whole megabytes, rounded up. */
export function toMegabytes(bytes: number): number {
	return Math.ceil(bytes / bytesPerMegabyte);
}

/** Counts the ends of hosts. */
export function countExits(hosts: readonly PlayedHost[]): ExitCounts {
	const causes = hosts.flatMap(({exits}) => exits.map(({cause}) => cause));
	const count = (cause: ExitCause) => causes.filter(each => each === cause).length;
	return {
		expected: count('expected'), overdue: count('overdue'), beforeHandlers: count('beforeHandlers'), unasked: count('unasked'),
	};
}
