/** Settings of a `gatehead` process. */
import {z} from 'zod';
import {address} from './address.js';

const name = z.string().regex(/^[a-z0-9][a-z0-9.\-]{0,63}$/v, 'a name of up to 64 small letters, digits, dots and hyphens');
const milliseconds = z.number().int().positive().max(3_600_000);
const count = z.number().int().positive().max(10_000_000);

/** Listen addresses for callers, other hosts and operators. */
export const listen = z.strictObject({caller: address, peer: address, admin: address});

/** Paths of the CA certificate, own certificate and own key, for mutual TLS with other hosts and operators. */
export const tls = z.strictObject({ca: z.string(), certificate: z.string(), key: z.string()});

/** Intervals and timeouts of failure detection and propagation. */
export const timing = z.strictObject({
	/** Interval of heartbeats and lease renewals. */
	tickMs: milliseconds.default(1000),
	/** Time without heartbeats after which a host is suspect, and the same time again until it is dead. */
	suspectMs: milliseconds.default(3000),
	/** Interval at which a keeper polls its endpoints for reports. */
	reportMs: milliseconds.default(1000),
	/** Time without a claim after which a keeper cancels a stream. */
	orphanGraceMs: milliseconds.default(5000),
	/** Maximum duration of a long poll of the configuration service. */
	watchMs: milliseconds.default(10_000),
	/** Interval of reads of the host list. */
	rosterMs: milliseconds.default(3000),
	/** A tick later than this invalidates all held leases. */
	lateWakeMs: milliseconds.default(2000),
	/** Time after which a caller that does not read its response is considered gone. */
	readerStallMs: milliseconds.default(10_000),
	/** Time without data from an endpoint during a step after which the attempt fails. */
	endpointStallMs: milliseconds.default(3000),
	/** Time from the signal to stop until the process has ended; three tries of the longest call to a service fit the default. */
	graceMs: milliseconds.default(3_600_000),
});

/** Resource limits of one process. */
export const limits = z.strictObject({
	bodyBytes: count.default(8_000_000),
	connections: count.default(4096),
	requests: count.default(2048),
	ledgerEntries: count.default(20_000),
	headerMs: milliseconds.default(10_000),
	peerMessageBytes: count.default(2_000_000),
	timelineEvents: count.default(4096),
});

/** Keys: shared ticket keys, of which the first one signs, and the operators' public keys. */
export const keys = z.strictObject({
	tickets: z.array(z.string().regex(/^[0-9a-f]{64}$/v, '64 hexadecimal digits')).min(1).max(8),
	operators: z.array(z.strictObject({name, publicKey: z.string()})).min(1),
	/** SHA-256 of the operators' bearer token for the administration interface; if absent, mutual TLS is required. */
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
	/** Peer addresses to contact when the host list is unavailable. */
	seeds: z.array(address).max(64).default([]),
	keys,
	/** Address of a StatsD server; if absent, counters are kept in the process only. */
	metrics: address.optional(),
	logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
	timing: timing.prefault({}),
	limits: limits.prefault({}),
}).superRefine((value, context) => {
	if (value.keys.adminTokenDigest === undefined && value.keys.tls === undefined) {
		context.addIssue({code: 'custom', path: ['keys'], message: 'adminTokenDigest or tls, to authenticate operators'});
	}
});

/** Validated settings. */
export type Settings = z.infer<typeof settings>;
/** Settings as written, before defaults are applied. */
export type SettingsDraft = z.input<typeof settings>;
export type Timing = z.infer<typeof timing>;
export type Limits = z.infer<typeof limits>;
