/** Status of a relay for operators, beside its metrics. */
import {z} from 'zod';
import {memberState} from './peer-message.js';

/** An active signal of an endpoint: a rate limit in requests per second, a drain notice, or a backoff period. `source`: the host that received it, `own` for this one. */
export const signalState = z.object({
	endpoint: z.string(),
	signal: z.enum(['limit', 'drain', 'backoff']),
	value: z.number().optional(),
	/** Time left of a backoff period, in milliseconds. */
	leftMs: z.number().optional(),
	source: z.string(),
});

/** A host's part of a service's retry budget, over the last window: requests that entered there, and amounts in repeats. `share`: its part of the allowance, of which `lent` is lent to other hosts; `borrowed`: unused loans of other hosts. */
export const retryBudgetState = z.object({
	service: z.string(), requests: z.number(), repeats: z.number(), left: z.number(), share: z.number(), lent: z.number(), borrowed: z.number(),
});

/** Status of a relay, and of the other hosts and endpoints as it sees them. */
export const relayStatus = z.object({
	host: z.string(),
	incarnation: z.number(),
	hall: z.string(),
	isReady: z.boolean(),
	/** Version of the active configuration; 0 if there is none. */
	routingVersion: z.number(),
	/** Last known revision of the directory; -1 before the first read. */
	directoryRevision: z.number(),
	/** Epoch of that revision, which the directory increments when it is restored from a backup; absent if not reported. */
	directoryEpoch: z.number().optional(),
	isDirectoryDown: z.boolean(),
	/** Active requests. */
	open: z.number(),
	/** Active requests that wait for decode memory. */
	waiting: z.number(),
	/** Retry budget left at this host, the minimum over all services. */
	retryLeft: z.number(),
	/** Retry budgets by service. */
	retries: z.array(retryBudgetState).default([]),
	/** Hosts among which this one divides the retry allowance. */
	countedHosts: z.number().default(0),
	/** Index of this host's subset of the fleet, and the number of subsets. */
	subset: z.object({own: z.number(), count: z.number()}),
	members: z.array(z.object({host: z.string(), state: memberState})),
	/** Ready endpoints by service, and how many of them are paused. */
	services: z.array(z.object({service: z.string(), ready: z.number(), paused: z.number()})),
	/** Services to whose endpoints this host has lost its links. */
	unreachable: z.array(z.string()).default([]),
	/** Active signals of endpoints. */
	signals: z.array(signalState).default([]),
});

export type RetryBudgetState = z.infer<typeof retryBudgetState>;
export type SignalState = z.infer<typeof signalState>;
export type RelayStatus = z.infer<typeof relayStatus>;
