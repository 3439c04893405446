/**
 * Context of one host process, passed down explicitly instead of module globals.
 * Safety: tickets rely on the incarnation being unique, and on the wall clock being read only once to convert their expiry.
 */
import {randomBytes} from 'node:crypto';
import {type Clock} from '@gatehead/policy/utils/clock';
import {type Random} from '@gatehead/policy/utils/random';
import {type Owner} from '@gatehead/schema/engine-protocol';
import {type Settings} from '@gatehead/schema/settings';
import {Counters} from '../utils/counters.js';
import {HybridClock} from '../utils/hybrid-clock.js';
import {type ListenContext} from '../utils/listen.js';
import {type Log} from '../utils/log.js';
import {Timeline} from '../utils/timeline.js';

const incarnationsPerMs = 4096;

/** Settings, clocks, counters and identity of a process. */
export type Context = ListenContext & {
	readonly settings: Settings;
	readonly clock: Clock;
	readonly random: Random;
	/** Wall-clock time in milliseconds; for tickets, the timeline and display only. */
	readonly wall: () => number;
	readonly log: Log;
	readonly counters: Counters;
	readonly hybrid: HybridClock;
	readonly timeline: Timeline;
	/** Converts a wall-clock time to `clock`'s time, by the offset read at start: setting the wall clock back makes no expired ticket valid again. */
	readonly toMonotonicTime: (wallTime: number) => number;
	/** Host and incarnation; safety depends on the incarnation being unique for the host. */
	readonly self: Owner;
};

export type ContextOptions = Pick<Context, 'settings' | 'clock' | 'random' | 'wall' | 'log' | 'startWait'>;

/** Creates an incarnation number: wall-clock milliseconds followed by 12 random bits, so it increases across restarts while the wall clock does. */
export function makeIncarnation(wall: number): number {
	return (Math.floor(wall) * incarnationsPerMs) + (randomBytes(2).readUInt16BE() % incarnationsPerMs);
}

/** Creates the context of a new incarnation. */
export function makeContext(options: ContextOptions): Context {
	const {settings, wall, clock} = options;
	const wallOffset = wall() - clock.now();
	const hybrid = new HybridClock(settings.host, wall);
	return {
		...options,
		hybrid,
		toMonotonicTime: wallTime => wallTime - wallOffset,
		counters: new Counters(settings.metrics, {host: settings.host, hall: settings.hall}),
		timeline: new Timeline(settings.host, hybrid, settings.limits.timelineEvents),
		self: {host: settings.host, incarnation: makeIncarnation(wall())},
	};
}
