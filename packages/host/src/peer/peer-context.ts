/**
 * What links and membership need of the process they run in, so that hosts
 * of either front share them. Neither safety nor efficiency rests here.
 */
import {type Clock} from '@gatehead/policy/utils/clock';
import {type Random} from '@gatehead/policy/utils/random';
import {type Owner} from '@gatehead/schema/engine-protocol';
import {type Limits, type Settings, type Timing} from '@gatehead/schema/settings';
import {type HybridClock} from '../utils/hybrid-clock.js';
import {type Log} from '../utils/log.js';
import {type Timeline} from '../utils/timeline.js';

/** Counts of what links and membership do. */
export type PeerCounters = {
	count(metric: 'peerMessages' | 'peerBytes' | 'lateWakes' | 'linksRenewed', tag?: string, amount?: number): void;
};

/** The part of a process's settings that links and membership read. */
export type PeerSettings = {
	readonly listen: {readonly peer: string};
	readonly timing: Pick<Timing, 'tickMs' | 'suspectMs' | 'lateWakeMs'>;
	readonly limits: Pick<Limits, 'peerMessageBytes'>;
	readonly keys: {readonly tls?: Settings['keys']['tls']};
};

/** Clocks, books and settings of the process. */
export type PeerContext = {
	readonly settings: PeerSettings;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly counters: PeerCounters;
	readonly hybrid: HybridClock;
	readonly timeline: Timeline;
	/** This incarnation. */
	readonly self: Owner;
};
