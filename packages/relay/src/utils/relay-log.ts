/**
 * The relay's log: JSON lines by winston on standard output, one for each
 * decision that touches a request or changes what the process believes.
 * Each code has a rate; lines beyond it are left out and counted in a line
 * of their own, codes of failures with a rate of their own, so that a storm
 * of good news never hides bad news. Neither safety nor efficiency rests here.
 */
import {type Writable} from 'node:stream';
import {type Clock} from '@gatehead/policy/utils/clock';
import {codes, type Code} from '@gatehead/schema/codes';
import {getLogLevel, type Log, type LogFields} from '@gatehead/host/utils/log';
import {createLogger, format, transports} from 'winston';
import {BoundedOutput} from './bounded-output.js';
import {type Metrics} from './metrics.js';

/** Seconds of a rate that may come at once: a fault shows in its first lines. */
const burstSeconds = 3;
/** Interval of the line that counts what was left out, in milliseconds: one line is no load. */
const reportMs = 5000;
const millisecondsPerSecond = 1000;

type Bucket = {
	tokens: number;
	at: number;
	left: number;
};

/** What a log is made from. */
export type LogParts = {
	readonly host: string;
	readonly hall: string;
	readonly level: string;
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly output: Writable;
	/** Lines a second of one code. */
	readonly rate: number;
	readonly mostBytes: number;
};

/** The log of one process. */
export class RelayLog {
	readonly #parts: LogParts;
	readonly #output: BoundedOutput;
	readonly #logger: ReturnType<typeof createLogger>;
	readonly #buckets = new Map<string, Bucket>();
	#reportedAt = 0;
	#droppedBefore = 0;

	constructor(parts: LogParts) {
		this.#parts = parts;
		this.#output = new BoundedOutput(parts.output, parts.mostBytes);
		this.#logger = createLogger({
			level: parts.level,
			defaultMeta: {host: parts.host, hall: parts.hall},
			format: format.json(),
			transports: [new transports.Stream({stream: this.#output})],
		});
	}

	/** Writes a line, unless its code has used up its rate. */
	readonly write: Log = (code, facts = {}) => {
		const now = this.#parts.clock.now();
		this.#report(now);
		if (this.#mayWrite(code, now)) {
			this.#print(code, facts, now);
		}
	};

	#print(code: Code, facts: LogFields, now: number): void {
		this.#logger.log({
			level: getLogLevel(code), message: codes[code].advice, code: codes[code].number, name: code, time: new Date().toISOString(), at: Math.round(now), ...facts,
		});
	}

	#mayWrite(code: Code, now: number): boolean {
		const {rate} = this.#parts;
		let bucket = this.#buckets.get(code);
		if (bucket === undefined) {
			bucket = {tokens: rate * burstSeconds, at: now, left: 0};
			this.#buckets.set(code, bucket);
		}

		bucket.tokens = Math.min(rate * burstSeconds, bucket.tokens + ((now - bucket.at) * rate / millisecondsPerSecond));
		bucket.at = now;
		if (bucket.tokens < 1) {
			bucket.left += 1;
			this.#parts.metrics.add('logDropped', {reason: 'rate'});
			return false;
		}

		bucket.tokens -= 1;
		return true;
	}

	/** Says now and then how many lines of which code were left out. */
	#report(now: number): void {
		if (now - this.#reportedAt < reportMs) {
			return;
		}

		this.#reportedAt = now;
		for (const [code, bucket] of this.#buckets) {
			if (bucket.left > 0) {
				this.#print('linesLeftOut', {of: code, lines: bucket.left}, now);
				bucket.left = 0;
			}
		}

		const {dropped} = this.#output;
		if (dropped > this.#droppedBefore) {
			this.#parts.metrics.add('logDropped', {reason: 'reader'}, dropped - this.#droppedBefore);
			this.#print('linesLeftOut', {of: 'all', lines: dropped - this.#droppedBefore}, now);
			this.#droppedBefore = dropped;
		}
	}
}
