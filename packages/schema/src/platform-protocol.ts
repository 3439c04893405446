/**
 * Read-only interface to the platform: the configuration service and the host
 * list, which can be stale. Only the signature of a bundle is trusted.
 */
import {z} from 'zod';
import {address} from './address.js';

/** Paths of the configuration service and the host list. */
export const platformPaths = {
	/** `GET ?key=K` responds immediately; with `after=R&waitMs=W` it waits up to W milliseconds for a revision above R. */
	value: '/v1/value',
	hosts: '/v1/live',
} as const;

/** Key of the signed bundle. */
export const bundleKey = 'bundle';

/** A published value of up to 1 MiB, with its revision. */
export const publishedValue = z.object({key: z.string(), revision: z.number().int(), value: z.string().max(1_048_576)});

export const listedHost = z.object({
	host: z.string(), hall: z.string(), region: z.string(), callerAddress: address, peerAddress: address, adminAddress: address, state: z.enum(['live', 'leaving']),
});

/** The host list; it can be stale. */
export const hostList = z.object({
	hosts: z.array(listedHost).max(10_000),
	/** Names of leaving endpoints, as in the bundle. */
	leavingEndpoints: z.array(z.string()).max(10_000).default([]),
});

export type PublishedValue = z.infer<typeof publishedValue>;
export type ListedHost = z.infer<typeof listedHost>;
export type HostList = z.infer<typeof hostList>;
