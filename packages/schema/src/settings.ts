/** Settings of one `gatehead` process, in JSON. A process learns its addresses and its data hall here. Neither safety nor efficiency rests here. */
import {z} from 'zod';
import {address} from './address.js';

const name = z.string().regex(/^[a-z0-9][a-z0-9.\-]{0,63}$/v, 'a name of up to 64 small letters, digits, dots and hyphens');
const milliseconds = z.number().int().positive().max(3_600_000);
const count = z.number().int().positive().max(10_000_000);

/** Own addresses: towards callers, towards other hosts, towards operators. */
export const listen = z.strictObject({caller: address, peer: address, admin: address});

/** Files of the certificate authority, own certificate and own key, for mutual TLS between hosts and towards operators. */
export const tls = z.strictObject({ca: z.string(), certificate: z.string(), key: z.string()});

/** Times that shape how fast news spreads and faults are noticed. */
export const timing = z.strictObject({
	/** Interval of heartbeats and of lease renewal. */
	tickMs: milliseconds.default(1000),
	/** Silence after which a host is suspect, and again until it is held to be gone. */
	suspectMs: milliseconds.default(3000),
	/** Interval at which a keeper asks its endpoints for their report. */
	reportMs: milliseconds.default(1000),
	/** How long a stream may go unclaimed before its keeper cancels it. */
	orphanGraceMs: milliseconds.default(5000),
	/** Longest wait of one watch at the configuration service. */
	watchMs: milliseconds.default(10_000),
	/** Interval at which the host list is read. */
	rosterMs: milliseconds.default(3000),
	/** A wake-up later than this lapses all leases held. */
	lateWakeMs: milliseconds.default(2000),
	/** How long a caller may leave its answer unread before it counts as gone. */
	readerStallMs: milliseconds.default(10_000),
	/** Silence of an endpoint in the middle of a step before the attempt is given up. */
	endpointStallMs: milliseconds.default(3000),
});

/** Bounds on what one process takes in. */
export const limits = z.strictObject({
	bodyBytes: count.default(8_000_000),
	connections: count.default(4096),
	requests: count.default(2048),
	ledgerEntries: count.default(20_000),
	headerMs: milliseconds.default(10_000),
	peerMessageBytes: count.default(2_000_000),
	timelineEvents: count.default(4096),
});

/** Keys: one or more shared ticket keys (the first signs), and the operators' public keys. */
export const keys = z.strictObject({
	tickets: z.array(z.string().regex(/^[0-9a-f]{64}$/v, '64 hexadecimal digits')).min(1).max(8),
	operators: z.array(z.strictObject({name, publicKey: z.string()})).min(1),
	/** SHA-256 of the bearer token that operators show to the administration interface; absent: mutual TLS is asked for. */
	adminTokenDigest: z.string().regex(/^[0-9a-f]{64}$/v, '64 hexadecimal digits').optional(),
	tls: tls.optional(),
});

/** Settings of one process. */
export const settings = z.strictObject({
	host: name,
	hall: name,
	region: name.default('default'),
	deployment: name,
	listen,
	platform: z.strictObject({configuration: address, hosts: address}),
	/** Peer addresses to ask first when the host list does not answer. */
	seeds: z.array(address).max(64).default([]),
	keys,
	/** Where counters go as StatsD datagrams; absent: they stay in the process. */
	metrics: address.optional(),
	logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
	timing: timing.prefault({}),
	limits: limits.prefault({}),
}).superRefine((value, context) => {
	if (value.keys.adminTokenDigest === undefined && value.keys.tls === undefined) {
		context.addIssue({code: 'custom', path: ['keys'], message: 'adminTokenDigest or tls, so that operators prove who they are'});
	}
});

/** Checked settings. */
export type Settings = z.infer<typeof settings>;
/** Settings as written, before defaults. */
export type SettingsDraft = z.input<typeof settings>;
/** Times of a process. */
export type Timing = z.infer<typeof timing>;
/** Bounds of a process. */
export type Limits = z.infer<typeof limits>;
