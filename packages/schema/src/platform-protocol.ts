/**
 * What gatehead reads of the platform: published values with a revision,
 * and the lagging list of hosts. Reads only. Efficiency: nothing here is
 * trusted but a bundle's signature.
 */
import {z} from 'zod';
import {address} from './address.js';

/** Paths of the configuration service and the host list. */
export const platformPaths = {
	/** `GET ?key=K` answers at once; with `after=R&waitMs=W` it waits for a revision above R. */
	value: '/v1/value',
	hosts: '/v1/live',
} as const;

/** Key of the signed bundle. A value holds up to a megabyte. */
export const bundleKey = 'bundle';

/** A published value. */
export const publishedValue = z.object({key: z.string(), revision: z.number().int(), value: z.string().max(1_048_576)});

/** A host as the platform lists it. */
export const listedHost = z.object({
	host: z.string(), hall: z.string(), region: z.string(), callerAddress: address, peerAddress: address, adminAddress: address, state: z.enum(['live', 'leaving']),
});

/** The lagging list. */
export const hostList = z.object({
	hosts: z.array(listedHost).max(10_000),
	/** Endpoints that are leaving, by the names that the bundle gives them. */
	leavingEndpoints: z.array(z.string()).max(10_000).default([]),
});

/** A published value. */
export type PublishedValue = z.infer<typeof publishedValue>;
/** A listed host. */
export type ListedHost = z.infer<typeof listedHost>;
/** The lagging list. */
export type HostList = z.infer<typeof hostList>;
