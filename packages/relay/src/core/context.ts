/** Context of one relay process: settings, clocks, logging and metrics, passed to its components. */
import {makeIncarnation} from '@gatehead/host/core/context';
import {HybridClock} from '@gatehead/host/utils/hybrid-clock';
import {type ListenContext} from '@gatehead/host/utils/listen';
import {type Log} from '@gatehead/host/utils/log';
import {Timeline} from '@gatehead/host/utils/timeline';
import {type PeerCounters, type PeerSettings} from '@gatehead/host/peer/peer-context';
import {incomingLimit} from '@gatehead/policy/relay/incoming-limit';
import {type Clock} from '@gatehead/policy/utils/clock';
import {type Random} from '@gatehead/policy/utils/random';
import {type Owner} from '@gatehead/schema/engine-protocol';
import {type RelaySettings} from '@gatehead/schema/relay-settings';
import {makeGarbageCollector} from '../utils/collect-garbage.js';
import {IncomingMemory} from '../utils/incoming-memory.js';
import {type Metrics} from '../utils/metrics.js';
import {type Dialect} from './dialect.js';
import {type Directory} from './directory.js';

/** Context of one relay process. */
export type RelayContext = ListenContext & {
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
	/** Memory for what this host receives. */
	readonly incoming: IncomingMemory;
	/** Host and incarnation of this process. */
	readonly self: Owner;
};

/** Subset of the context that most components need. */
export type BaseContext = Pick<RelayContext, 'clock' | 'log' | 'metrics' | 'random'>;

/** Dependencies from which the context is created. */
export type RelayContextParts = Pick<RelayContext, 'settings' | 'clock' | 'random' | 'log' | 'metrics' | 'dialect' | 'directory' | 'startWait'> & {
	/** Wall-clock time in milliseconds; used only for the incarnation number and the timeline. */
	readonly wall: () => number;
};

/** Creates the context of a new incarnation. */
export function makeRelayContext({wall, ...parts}: RelayContextParts): RelayContext {
	const {settings, clock, log, metrics} = parts;
	const hybrid = new HybridClock(settings.host, wall);
	return {
		...parts,
		hybrid,
		incoming: new IncomingMemory({
			clock, log, metrics, limitBytes: incomingLimit(settings.limits.memoryBytes), collectGarbage: makeGarbageCollector(settings.limits.memoryBytes),
		}),
		counters: {
			count(metric, _tag, amount) {
				metrics.add(metric, {}, amount);
			},
		},
		timeline: new Timeline(settings.host, hybrid, settings.limits.timelineEvents),
		self: {host: settings.host, incarnation: makeIncarnation(wall())},
	};
}
