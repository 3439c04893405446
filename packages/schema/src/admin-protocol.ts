/** Responses of the read-only administration interface. */
import {z} from 'zod';
import {event} from './event.js';
import {memberState} from './peer-message.js';

/** The active bundle of a host; version 0 if there is none. */
export const bundleStatus = z.object({
	deployment: z.string().optional(), version: z.number(), digest: z.string(), since: z.string().nullable(), forMs: z.number(),
});

/** Status of a host, and of the other hosts as it sees them. */
export const hostStatus = z.object({
	host: z.string(),
	incarnation: z.number(),
	hall: z.string(),
	isReady: z.boolean(),
	state: memberState,
	bundle: bundleStatus,
	isConfigurationDown: z.boolean(),
	/** Active requests and cancellations. */
	open: z.number(),
	members: z.array(z.object({
		host: z.string(), state: memberState, hall: z.string(), incarnation: z.number(), load: z.number(),
	})),
	cells: z.array(z.object({
		cell: z.string(), waiting: z.number(), leases: z.number(), slots: z.number(), free: z.number(),
	})),
});

/** Usage by caller since the host started. */
export const usageRows = z.array(z.object({
	caller: z.string(), member: z.string(), priority: z.number(), share: z.number(), counts: z.record(z.string(), z.number()),
}));

/** Events of a host, oldest first; `dropped` counts those evicted from its ring buffer. */
export const timelineAnswer = z.object({host: z.string(), dropped: z.number(), events: z.array(event)});

export type BundleStatus = z.infer<typeof bundleStatus>;
export type HostStatus = z.infer<typeof hostStatus>;
export type UsageRows = z.infer<typeof usageRows>;
export type TimelineResponse = z.infer<typeof timelineAnswer>;
