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

/** Requests of one urgency and workspace that wait for a service; `urgency`: the route's priority, 0 is the highest. No workspace: the route has none. */
export const waitingState = z.object({urgency: z.number(), workspace: z.string().optional(), count: z.number()});

/** A workspace's use of a service over the last seconds and its fair share, as fractions of the capacity. */
export const shareState = z.object({workspace: z.string(), use: z.number(), share: z.number()});

/** Requests that this host refused since it started, by cause: `share`, `late`, `callQueue`, or the code. */
export const refusalState = z.object({cause: z.string(), count: z.number()});

/** Pace of an endpoint relative to the service's median; 1 is average, below is faster. */
export const paceState = z.object({endpoint: z.string(), activity: z.enum(['decode', 'prefill', 'call']), pace: z.number()});

/** Preempted streams since the start of the host: expected when they were placed, and observed. */
export const preemptionState = z.object({expected: z.number(), observed: z.number()});

/** Ready endpoints of a service, how many of them are paused, and its load; a field is absent where nothing measures it. */
export const serviceState = z.object({
	service: z.string(),
	ready: z.number(),
	paused: z.number(),
	waiting: z.array(waitingState).optional(),
	shares: z.array(shareState).optional(),
	refusals: z.array(refusalState).optional(),
	paces: z.array(paceState).optional(),
	/** Retries for which callers were promised a time that is not over. */
	promisedReturns: z.number().optional(),
	preemptions: preemptionState.optional(),
	/** Bytes of responses that callers have not read. */
	unreadBytes: z.number().optional(),
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
	services: z.array(serviceState),
	/** Whether the active configuration calls for load management; absent: the host is of an earlier release. */
	isLoadManaged: z.boolean().optional(),
	/** Services to whose endpoints this host has lost its links. */
	unreachable: z.array(z.string()).default([]),
	/** Active signals of endpoints. */
	signals: z.array(signalState).default([]),
});

export type RetryBudgetState = z.infer<typeof retryBudgetState>;
export type WaitingState = z.infer<typeof waitingState>;
export type PaceState = z.infer<typeof paceState>;
export type RefusalState = z.infer<typeof refusalState>;
export type ServiceState = z.infer<typeof serviceState>;
export type SignalState = z.infer<typeof signalState>;
export type RelayStatus = z.infer<typeof relayStatus>;
