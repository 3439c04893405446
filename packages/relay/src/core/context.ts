/**
 * What one relay process knows of itself, in one object that is passed down.
 * Neither safety nor efficiency rests here.
 */
import {makeIncarnation} from '@gatehead/host/core/context';
import {HybridClock} from '@gatehead/host/utils/hybrid-clock';
import {type Log} from '@gatehead/host/utils/log';
import {Timeline} from '@gatehead/host/utils/timeline';
import {type PeerCounters, type PeerSettings} from '@gatehead/host/peer/peer-context';
import {type Clock} from '@gatehead/policy/utils/clock';
import {type Random} from '@gatehead/policy/utils/random';
import {type Owner} from '@gatehead/schema/engine-protocol';
import {type RelaySettings} from '@gatehead/schema/relay-settings';
import {type Metrics} from '../utils/metrics.js';
import {type Dialect} from './dialect.js';
import {type Directory} from './directory.js';

/** The process's settings, clocks and books. */
export type RelayContext = {
	readonly settings: RelaySettings & PeerSettings;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly counters: PeerCounters;
	readonly hybrid: HybridClock;
	readonly timeline: Timeline;
	readonly dialect: Dialect;
	readonly directory: Directory;
	/** This incarnation. */
	readonly self: Owner;
};

/** What most tasks need: time, chance, and where to write down what happens. */
export type Bookkeeping = Pick<RelayContext, 'clock' | 'log' | 'metrics' | 'random'>;

/** What a process is made from. */
export type RelayParts = Pick<RelayContext, 'settings' | 'clock' | 'random' | 'log' | 'metrics' | 'dialect' | 'directory'> & {
	/** Wall time in milliseconds, for the incarnation's number and the time line only. */
	readonly wall: () => number;
};

/** Makes the context of a new incarnation. */
export function makeRelayContext({wall, ...parts}: RelayParts): RelayContext {
	const {settings, metrics} = parts;
	const hybrid = new HybridClock(settings.host, wall);
	return {
		...parts,
		hybrid,
		counters: {
			count(metric, _tag, amount) {
				metrics.add(metric, {}, amount);
			},
		},
		timeline: new Timeline(settings.host, hybrid, settings.limits.timelineEvents),
		self: {host: settings.host, incarnation: makeIncarnation(wall())},
	};
}
