/** Settings of one relay process. Its addresses and data hall come from whoever starts it. Neither safety nor efficiency rests here: each bound is kept where it is read. */
import {z} from 'zod';
import {address} from './address.js';
import {tls} from './settings.js';

const milliseconds = z.number().nonnegative().max(3_600_000);
const count = z.number().int().positive().max(100_000_000);

/** Own addresses: towards callers, for checks of readiness, for lookups, towards other hosts, for metrics. `advertisedPeer`: where other hosts reach this one, if not at `peer` itself. */
const listen = z.strictObject({
	caller: address, ready: address, lookup: address, peer: address, advertisedPeer: address.optional(), metrics: address.optional(),
});

/** Times. Defaults come from the measured rounds in docs/RESULTS.md where no other source is named. */
const timing = z.strictObject({
	/** Interval of heartbeats between hosts: three missed ones make a host suspect well within a caller's patience. */
	tickMs: milliseconds.default(700),
	/** Silence after which a host is suspect, and again until it is held to be gone. */
	suspectMs: milliseconds.default(2100),
	/** A tick later than this means that the process was paused. */
	lateWakeMs: milliseconds.default(1000),
	/** Longest wait of one watch at the directory; a silent directory is noticed after it. */
	watchMs: milliseconds.default(6000),
	/** The same at the one host that looks after the others' watches: open connections may fall silent at all hosts at once, and a configuration is in force within 2 s all the same. Costs two calls a second, and none where something changes more often. */
	shortWatchMs: milliseconds.default(500),
	/** Time that the directory gets to answer a list, and a watch beyond its wait. */
	directoryAnswerMs: milliseconds.default(1500),
	/** First and longest pause between tries to reach the directory. */
	directoryRetryMs: milliseconds.default(100),
	directoryRetryMostMs: milliseconds.default(1000),
	/** Time that a connection to an endpoint may take: a hundred times the way between halls. */
	connectMs: milliseconds.default(250),
	/** Time for which callers may keep a lookup's answer. */
	lookupTtlMs: milliseconds.default(1000),
	/** Most that callers stretch that time, as a multiple: some keep an answer three times as long. A planned stop accepts requests for that long. */
	lookupStretch: z.number().min(1).default(3),
	/** Time from the order to stop until the process is ended. */
	graceMs: milliseconds.default(8000),
});

/** Bounds on what one process takes in. */
const limits = z.strictObject({
	headerBytes: count.default(65_536),
	bodyBytes: count.default(16_777_216),
	connections: count.default(3500),
	requests: count.default(1500),
	/** Unread bytes of one answer from which on its caller counts as gone. */
	unreadBytes: count.default(1_048_576),
	peerMessageBytes: count.default(8_000_000),
	/** Messages about its load that a host sends its peers a second, besides three seconds' worth saved up: 0.5 ms of processor time each (docs/CAPACITY.md); beyond that they are gathered. */
	loadMessages: count.default(48),
	timelineEvents: count.default(1024),
	/** Log lines a second of one kind, successes and failures; beyond that they are counted. */
	logLines: count.default(40),
	/** Bytes of log lines that wait for their reader; beyond that lines are dropped and counted. */
	logBytes: count.default(262_144),
});

/** The bound on second sends that all hosts share. */
const retry = z.strictObject({
	ratio: z.number().min(0).max(10).default(0.2),
	allowance: z.number().min(0).default(50),
	windowMs: milliseconds.default(10_000),
});

/** What binds all hosts together on configurations, keys and quotas of workspaces. */
const access = z.strictObject({
	/** Time after which no host runs a request whose key was taken away, whether or not it has heard of that, in milliseconds: an operator's promise. Absent: only hosts that hear of it are bound. */
	revocationMs: milliseconds.optional(),
	/** Time within which a published configuration is in force at all hosts that can hear of it, in milliseconds: an operator's promise. What a host calls wrong rests on evidence younger than that. */
	applyMs: milliseconds.min(500).default(2000),
	/** Time over which use is summed against a quota, in milliseconds; part by which the sum may exceed it, and what may come besides in the quota's unit: operators allow it since hosts count apart. */
	quotaWindowMs: milliseconds.min(1000).default(8000),
	quotaExcess: z.number().nonnegative().max(10).default(0.25),
	quotaAllowance: z.number().nonnegative().default(0),
});

/** Mechanisms that an experiment can switch off, to measure what each is worth; all are on elsewhere. */
export const mechanism = z.enum([
	'reservations', 'readingApart', 'earlyRefusal', 'secondTries', 'resumedTurns', 'comeBackTimes', 'peerUse', 'peerReadings', 'peerWaiting', 'pauses', 'pauseNews', 'errorRetries', 'slowCopies', 'continuing', 'stageOrders', 'nearHalls', 'quotaKeepers', 'peerEvidence', 'crashGuard',
]);

/** Settings of one relay process. */
export const relaySettings = z.strictObject({
	host: z.string().min(1),
	hall: z.string(),
	region: z.string(),
	listen,
	/** Peer addresses to greet, until other hosts are known; they may be stale. */
	seeds: z.array(address).max(64).default([]),
	keys: z.strictObject({tls: tls.optional()}).prefault({}),
	/** Where counters go besides as StatsD datagrams. */
	statsd: address.optional(),
	/** Share of a model's replicas that read prompts, until a dozen requests have shown the paces of both parts: a quarter suits prompts that keep their reader busy for a quarter to a third of the time for which they hold their share of decode memory (0.12 s and 0.44 s). */
	prefillShare: z.number().min(0.05).max(0.95).default(0.25),
	logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
	timing: timing.prefault({}),
	limits: limits.prefault({}),
	retry: retry.prefault({}),
	access: access.prefault({}),
	/** For measurements alone (scripts/ablate.mjs): what is switched off. */
	experiments: z.strictObject({off: z.array(mechanism).default([])}).prefault({}),
});

/** A mechanism by its name in experiments. */
export type Mechanism = z.infer<typeof mechanism>;
/** Checked settings. */
export type RelaySettings = z.infer<typeof relaySettings>;
/** Settings as written, before defaults. */
export type RelaySettingsDraft = z.input<typeof relaySettings>;
