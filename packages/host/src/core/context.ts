/**
 * What one process knows of itself, in one object that is passed down; there are no module globals.
 * Safety: the incarnation and the one reading of the wall clock are what tickets rest on.
 */
import {randomBytes} from 'node:crypto';
import {type Clock} from '@gatehead/policy/utils/clock';
import {type Random} from '@gatehead/policy/utils/random';
import {type Owner} from '@gatehead/schema/engine-protocol';
import {type Settings} from '@gatehead/schema/settings';
import {Counters} from '../utils/counters.js';
import {HybridClock} from '../utils/hybrid-clock.js';
import {type Log} from '../utils/log.js';
import {Timeline} from '../utils/timeline.js';

const nonceRange = 4096;

/** The process's settings, clocks and books. */
export type Context = {
	readonly settings: Settings;
	readonly clock: Clock;
	readonly random: Random;
	/** Wall time in milliseconds, for tickets and the time line only. */
	readonly wall: () => number;
	readonly log: Log;
	readonly counters: Counters;
	readonly hybrid: HybridClock;
	readonly timeline: Timeline;
	/** Turns a wall instant into the own clock's, by one reading taken at the start: a wall clock that is set back makes no lapsed ticket valid again. */
	readonly toOwnClock: (wallInstant: number) => number;
	/** This incarnation: safety rests on its being unlike any other of this host. */
	readonly self: Owner;
};

/** What a process is made from. */
export type ContextParts = Pick<Context, 'settings' | 'clock' | 'random' | 'wall' | 'log'>;

/** A number above those of earlier incarnations whose clock was right, and unlike the others by 12 random bits. */
export function makeIncarnation(wall: number): number {
	return (Math.floor(wall) * nonceRange) + (randomBytes(2).readUInt16BE() % nonceRange);
}

/** Makes the context of a new incarnation. */
export function makeContext(parts: ContextParts): Context {
	const {settings, wall, clock} = parts;
	const wallAtZero = wall() - clock.now();
	const hybrid = new HybridClock(settings.host, wall);
	return {
		...parts,
		hybrid,
		toOwnClock: wallInstant => wallInstant - wallAtZero,
		counters: new Counters(settings.metrics, {host: settings.host, hall: settings.hall}),
		timeline: new Timeline(settings.host, hybrid, settings.limits.timelineEvents),
		self: {host: settings.host, incarnation: makeIncarnation(wall())},
	};
}
