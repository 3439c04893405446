/** Guards against a log that floods its reader, hides failures, or buffers without limit when its reader stops. */
import {Buffer} from 'node:buffer';
import {Writable} from 'node:stream';
import {describe, it} from 'node:test';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {expect} from 'earl';
import {Metrics} from './metrics.js';
import {RelayLog} from './relay-log.js';

/** Collects lines; a stopped reader never completes a write. */
class Reader extends Writable {
	readonly lines: string[] = [];
	readonly #isStopped: boolean;

	constructor(isStopped: boolean) {
		super();
		this.#isStopped = isStopped;
	}

	override _write(chunk: Uint8Array, _encoding: BufferEncoding, done: () => void): void {
		if (!this.#isStopped) {
			this.lines.push(Buffer.from(chunk).toString('utf8'));
			done();
		}
	}
}

function open(reader: Reader) {
	const clock = new ManualClock();
	const metrics = new Metrics(undefined, {});
	const log = new RelayLog({
		host: 'a', hall: 'h', level: 'info', clock, metrics, output: reader, rate: 10, maxBufferedBytes: 2000,
	});
	return {clock, metrics, log};
}

function linesOf({lines}: Reader, name: string): string[] {
	return lines.filter(line => line.includes(`"name":"${name}"`));
}

describe('relay log', () => {
	it('limits the rate of one code and reports the suppressed lines', () => {
		const reader = new Reader(false);
		const {clock, log} = open(reader);
		for (let line = 0; line < 1000; line += 1) {
			log.write('requestEnded', {request: `r${line}`});
			clock.advance(1);
		}

		clock.advance(6000);
		log.write('started');
		expect(linesOf(reader, 'requestEnded').length <= 41).toEqual(true);
		expect(linesOf(reader, 'linesLeftOut').length).toEqual(1);
	});

	it('a flood of one code suppresses no other code', () => {
		const reader = new Reader(false);
		const {log} = open(reader);
		for (let line = 0; line < 1000; line += 1) {
			log.write('requestEnded');
		}

		log.write('streamBroken', {request: 'lost'});
		expect(linesOf(reader, 'streamBroken').length).toEqual(1);
	});

	it('drops lines beyond the buffer limit when the reader stops, without blocking', async () => {
		const reader = new Reader(true);
		const {log, metrics, clock} = open(reader);
		for (let line = 0; line < 500; line += 1) {
			log.write('requestEnded', {request: `r${line}`});
			clock.advance(100);
		}

		expect(reader.writableLength < 4000).toEqual(true);
		const counted = /gatehead_log_lines_dropped_total\{reason="reader"\} (?<count>\d+)/v.exec(await metrics.toText());
		expect(Number(counted?.groups?.count) > 0).toEqual(true);
	});

	it('a line has its code, host, hall and fields', () => {
		const reader = new Reader(false);
		open(reader).log.write('endpointPaused', {endpoint: 'e', pauseMs: 1500});
		const line = JSON.parse(reader.lines[0] ?? '{}') as Record<string, unknown>; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a line that this test wrote
		expect([line.code, line.name, line.host, line.hall, line.endpoint, line.level]).toEqual([5026, 'endpointPaused', 'a', 'h', 'e', 'warn']);
	});
});
