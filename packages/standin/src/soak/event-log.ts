/** What a soak does to its deployment and what its callers see, beside the logs of the hosts: a broken promise is traced with both. */
import {closeSync, openSync, writeSync} from 'node:fs';
import {join} from 'node:path';
import {type StreamCaller} from '../wire/stream-caller.js';

/** One line; a stream's has the times at which its attempts were sent. */
type SoakEvent
	= | {readonly event: 'faultBegun' | 'faultEnded'; readonly fault: string; readonly number: number; readonly lastsMs: number}
		| {readonly event: 'hostKilled' | 'hostStarted'; readonly host: string}
		| {readonly event: 'published'; readonly endpoint: string; readonly state: string; readonly address: string; readonly softwareVersion: string | undefined}
		| {readonly event: 'expired'; readonly key: string}
		| {readonly event: 'answered'; readonly request: string; readonly path: string; readonly sentAt: string; readonly status: number; readonly isWhole: boolean; readonly tookMs: number}
		| {readonly event: 'stream'; readonly name: string; readonly attempts: ReadonlyArray<{readonly sentAt: string; readonly status: number; readonly tookMs: number}>; readonly received: readonly string[]; readonly firstAttempt: string | undefined};

/** The file of one seed. */
export class EventLog {
	readonly #file: number;

	constructor(folder: string) {
		this.#file = openSync(join(folder, 'soak.log'), 'a');
	}

	add(event: SoakEvent): void {
		writeSync(this.#file, `${JSON.stringify({time: new Date().toISOString(), ...event})}\n`);
	}

	/** Adds a stream with all its attempts; events are written as id and software version. */
	addStream({name, ends, sentAt, events, firstAttempt}: StreamCaller): void {
		this.add({
			event: 'stream', name, received: events.map(({id, version}) => `${id} ${version}`), firstAttempt, attempts: ends.map(({status, tookMs}, index) => ({sentAt: toTime(sentAt[index] ?? 0), status, tookMs: Math.round(tookMs)})),
		});
	}

	close(): void {
		closeSync(this.#file);
	}
}

/** Time of day of an instant on the process's steady clock. */
export function toTime(at: number): string {
	return new Date(performance.timeOrigin + at).toISOString();
}
