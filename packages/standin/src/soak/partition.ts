/** How a test names the peers whose messages a `partitionable-host` drops: in a file beside its settings, which it reads at a signal. */
import {readFileSync, writeFileSync} from 'node:fs';

export const partitionSignal = 'SIGUSR2';

function fileOf(settingsFile: string): string {
	return `${settingsFile}.partition`;
}

/** Writes the names of the peers; none: all messages pass. */
export function writePartition(settingsFile: string, peers: readonly string[]): void {
	writeFileSync(fileOf(settingsFile), peers.join('\n'));
}

/** Reads the names of the peers. */
export function readPartition(settingsFile: string): string[] {
	return readFileSync(fileOf(settingsFile), 'utf8').split('\n').filter(peer => peer !== '');
}
