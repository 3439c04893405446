/** Dependencies that peer links and membership take from the process, for use by both this package and `relay`. */
import {type Clock} from '@gatehead/policy/utils/clock';
import {type Random} from '@gatehead/policy/utils/random';
import {type Owner} from '@gatehead/schema/engine-protocol';
import {type Limits, type Settings, type Timing} from '@gatehead/schema/settings';
import {type HybridClock} from '../utils/hybrid-clock.js';
import {type Log} from '../utils/log.js';
import {type ListenContext} from '../utils/listen.js';
import {type Timeline} from '../utils/timeline.js';

/** Metrics of peer links and membership. */
export type PeerCounters = {
	count(metric: 'peerMessages' | 'peerBytes' | 'lateWakes' | 'linksRenewed', tag?: string, amount?: number): void;
};

/** Settings of peer links and membership. */
export type PeerSettings = {
	readonly listen: {readonly peer: string};
	readonly timing: Pick<Timing, 'tickMs' | 'suspectMs' | 'lateWakeMs'>;
	readonly limits: Pick<Limits, 'peerMessageBytes'>;
	readonly keys: {readonly tls?: Settings['keys']['tls']};
};

/** Settings, clocks, log and metrics of the process. */
export type PeerContext = ListenContext & {
	readonly settings: PeerSettings;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly counters: PeerCounters;
	readonly hybrid: HybridClock;
	readonly timeline: Timeline;
	/** This host and its incarnation. */
	readonly self: Owner;
};
