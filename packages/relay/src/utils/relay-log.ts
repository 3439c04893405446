/**
 * The relay's log: JSON lines by winston. Each code has its own rate limit, so
 * that frequent lines never hide failures; suppressed lines are counted and
 * reported in a `linesLeftOut` line.
 */
import {type Writable} from 'node:stream';
import {type Clock} from '@gatehead/policy/utils/clock';
import {codes, type Code} from '@gatehead/schema/codes';
import {BoundedOutput} from '@gatehead/host/utils/bounded-output';
import {getLogLevel, type Log, type LogFields} from '@gatehead/host/utils/log';
import {createLogger, format, transports} from 'winston';
import {type Metrics} from './metrics.js';

/** Size of a burst, in seconds of the rate: the first lines of a fault are the most useful ones. */
const burstSeconds = 3;
/** Minimum interval between reports of suppressed lines, in milliseconds. */
const reportIntervalMs = 5000;
const millisecondsPerSecond = 1000;

type Bucket = {
	tokens: number;
	refilledAt: number;
	suppressed: number;
};

export type RelayLogOptions = {
	readonly host: string;
	readonly hall: string;
	readonly level: string;
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly output: Writable;
	/** Lines per second of one code. */
	readonly rate: number;
	readonly maxBufferedBytes: number;
};

export class RelayLog {
	readonly #parts: RelayLogOptions;
	readonly #output: BoundedOutput;
	readonly #logger: ReturnType<typeof createLogger>;
	readonly #buckets = new Map<string, Bucket>();
	#reportedAt = 0;
	#reportedDrops = 0;

	constructor(parts: RelayLogOptions) {
		this.#parts = parts;
		this.#output = new BoundedOutput(parts.output, parts.maxBufferedBytes);
		this.#logger = createLogger({
			level: parts.level,
			defaultMeta: {host: parts.host, hall: parts.hall},
			format: format.json(),
			transports: [new transports.Stream({stream: this.#output})],
		});
	}

	/** Writes a line, unless its code is over its rate limit. */
	readonly write: Log = (code, facts = {}) => {
		const now = this.#parts.clock.now();
		this.#reportSuppressed(now);
		if (this.#takeToken(code, now)) {
			this.#writeLine(code, facts, now);
		}
	};

	/** Reports what was left out so far, before the process ends. */
	finish(): void {
		this.#reportLeftOut(this.#parts.clock.now());
	}

	#writeLine(code: Code, facts: LogFields, now: number): void {
		this.#logger.log({
			level: getLogLevel(code), message: codes[code].advice, code: codes[code].number, name: code, time: new Date().toISOString(), at: Math.round(now), ...facts,
		});
	}

	#takeToken(code: Code, now: number): boolean {
		const {rate} = this.#parts;
		let bucket = this.#buckets.get(code);
		if (bucket === undefined) {
			bucket = {tokens: rate * burstSeconds, refilledAt: now, suppressed: 0};
			this.#buckets.set(code, bucket);
		}

		bucket.tokens = Math.min(rate * burstSeconds, bucket.tokens + ((now - bucket.refilledAt) * rate / millisecondsPerSecond));
		bucket.refilledAt = now;
		if (bucket.tokens < 1) {
			bucket.suppressed += 1;
			this.#parts.metrics.add('logDropped', {reason: 'rate'});
			return false;
		}

		bucket.tokens -= 1;
		return true;
	}

	/** Reports suppressed and dropped lines, at most once per interval. */
	#reportSuppressed(now: number): void {
		if (now - this.#reportedAt >= reportIntervalMs) {
			this.#reportLeftOut(now);
		}
	}

	/** Reports suppressed lines by code, and dropped lines. */
	#reportLeftOut(now: number): void {
		this.#reportedAt = now;
		for (const [code, bucket] of this.#buckets) {
			if (bucket.suppressed > 0) {
				this.#writeLine('linesLeftOut', {of: code, lines: bucket.suppressed}, now);
				bucket.suppressed = 0;
			}
		}

		const {dropped} = this.#output;
		if (dropped > this.#reportedDrops) {
			this.#parts.metrics.add('logDropped', {reason: 'reader'}, dropped - this.#reportedDrops);
			this.#writeLine('linesLeftOut', {of: 'all', lines: dropped - this.#reportedDrops}, now);
			this.#reportedDrops = dropped;
		}
	}
}
