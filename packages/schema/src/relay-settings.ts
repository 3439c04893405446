/** Settings of a relay process. */
import {z} from 'zod';
import {address} from './address.js';
import {tls} from './settings.js';

const milliseconds = z.number().nonnegative().max(3_600_000);
const count = z.number().int().positive().max(100_000_000);

/** Listen addresses. `advertisedPeer`: the address at which other hosts reach `peer`, if it differs; `forward`: where other hosts forward requests to, for hosts alone; without it this host takes none. */
const listen = z.strictObject({
	caller: address, ready: address, lookup: address, peer: address, advertisedPeer: address.optional(), forward: address.optional(), metrics: address.optional(),
});

const timing = z.strictObject({
	/** Interval of heartbeats between hosts. */
	tickMs: milliseconds.default(700),
	/** Time without heartbeats after which a host is suspect, and the same time again until it is dead. */
	suspectMs: milliseconds.default(2100),
	/** A tick later than this indicates that the process was paused. */
	lateWakeMs: milliseconds.default(1000),
	/** Maximum duration of a long poll of the directory, and so of the time to detect that it does not respond. */
	watchMs: milliseconds.default(6000),
	/** `watchMs` of the primary reader: bounds the delay of a configuration when the connections of all hosts stall at once. Costs two calls a second, and none while something changes more often. */
	shortWatchMs: milliseconds.default(500),
	/** Timeout of a list request to the directory, and of a watch request beyond its wait. */
	directoryAnswerMs: milliseconds.default(1500),
	/** Initial delay between attempts to reach the directory. */
	directoryRetryMs: milliseconds.default(100),
	/** Maximum delay between attempts to reach the directory. */
	directoryRetryMostMs: milliseconds.default(1000),
	/** Timeout for connecting to an endpoint. */
	connectMs: milliseconds.default(250),
	/** Time for which callers may cache a lookup. */
	lookupTtlMs: milliseconds.default(1000),
	/** Maximum factor by which callers exceed `lookupTtlMs`; a stopping host accepts requests for that time. */
	lookupStretch: z.number().min(1).default(3),
	/** Time between the stop signal and the forced end of the process. */
	graceMs: milliseconds.default(8000),
});

/** Resource limits of one process. */
const limits = z.strictObject({
	headerBytes: count.default(65_536),
	bodyBytes: count.default(16_777_216),
	connections: count.default(3500),
	requests: count.default(1500),
	/** Buffered bytes of a response beyond which its caller is considered gone. */
	unreadBytes: count.default(1_048_576),
	/** Buffered bytes of all responses of the process beyond which the callers that leave the most unread are closed; half of it for each workspace. Fits a host of 178 MB with a heap limit of 96 MB. */
	unreadTotalBytes: count.default(25_165_824),
	/** Memory of the machine, which bounds what the process holds of what others send; undefined: unknown. */
	memoryBytes: z.number().positive().optional(),
	peerMessageBytes: count.default(8_000_000),
	/** Load messages to peers per second, with a burst of three seconds; further ones are batched. A message costs 0.5 ms of processor time. */
	loadMessages: count.default(48),
	timelineEvents: count.default(1024),
	/** Log lines per second of one code; further ones are counted only. */
	logLines: count.default(40),
	/** Buffered bytes of log lines beyond which lines are dropped and counted. */
	logBytes: count.default(262_144),
});

/** The retry budget that all hosts share. */
const retry = z.strictObject({
	ratio: z.number().min(0).max(10).default(0.2),
	allowance: z.number().min(0).default(50),
	windowMs: milliseconds.default(10_000),
});

/** Whether the process is part of the first start of the fleet or a later start. */
const start = z.enum(['first', 'again', 'unknown']);

/** Guarantees over all hosts on configurations, keys and quotas. */
const access = z.strictObject({
	/** Time after the revocation of a key by which every host rejects it, even without having received the revocation, in milliseconds. If absent, only hosts that have received it do. */
	revocationMs: milliseconds.optional(),
	/** Time within which a published configuration is active at all reachable hosts, in milliseconds. A host rejects a request for good only on evidence younger than this. */
	applyMs: milliseconds.min(500).default(2000),
	/** Window over which usage is summed against a quota, in milliseconds. As hosts count separately, the sum may exceed the quota by the fraction `quotaExcess` and by `quotaAllowance` in the quota's unit. */
	quotaWindowMs: milliseconds.min(1000).default(8000),
	quotaExcess: z.number().nonnegative().max(10).default(0.25),
	quotaAllowance: z.number().nonnegative().default(0),
});

/** Load management of scarce services: `auto` applies it where the configuration calls for it. */
const load = z.strictObject({
	management: z.enum(['auto', 'on', 'off']).default('auto'),
	/** Whether managed calls to plain services wait for a place and are rejected early; otherwise they are placed by pace only. */
	callLimits: z.boolean().default(false),
});

/** Mechanisms that an ablation experiment can disable. */
export const mechanism = z.enum([
	'reservations', 'readingApart', 'earlyRefusal', 'secondTries', 'resumedTurns', 'comeBackTimes', 'peerUse', 'peerReadings', 'peerWaiting', 'pauses', 'pauseNews', 'errorRetries', 'slowCopies', 'continuing', 'stageOrders', 'nearHalls', 'quotaKeepers', 'peerEvidence', 'crashGuard', 'forwarding', 'steering',
]);

/** Settings of one relay process. */
export const relaySettings = z.strictObject({
	host: z.string().min(1),
	hall: z.string(),
	region: z.string(),
	listen,
	/** Peer addresses to contact until other hosts are known; they may be stale. */
	seeds: z.array(address).max(64).default([]),
	keys: z.strictObject({tls: tls.optional()}).prefault({}),
	/** Address of a StatsD server for counters and durations. */
	statsd: address.optional(),
	/** Initial fraction of a model's replicas for prefill, until the duration of both stages is known from requests. A quarter suits prompts that occupy a prefill replica for a quarter to a third of the time for which they hold their share of decode memory. */
	prefillShare: z.number().min(0.05).max(0.95).default(0.25),
	logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
	timing: timing.prefault({}),
	limits: limits.prefault({}),
	retry: retry.prefault({}),
	start: start.default('unknown'),
	access: access.prefault({}),
	load: load.prefault({}),
	/** Disabled mechanisms, for ablation experiments only (scripts/ablate.mjs). */
	experiments: z.strictObject({off: z.array(mechanism).default([])}).prefault({}),
});

export type Mechanism = z.infer<typeof mechanism>;
export type LoadManagement = z.infer<typeof load>['management'];
export type Start = z.infer<typeof start>;
/** Validated settings. */
export type RelaySettings = z.infer<typeof relaySettings>;
/** Settings as written, before defaults are applied. */
export type RelaySettingsDraft = z.input<typeof relaySettings>;
