/** What the administration interface answers, as `gateheadctl` reads it. Reads only. Neither safety nor efficiency rests here. */
import {z} from 'zod';
import {event} from './event.js';
import {memberState} from './peer-message.js';

/** The bundle in force at a host; version 0 where there is none. */
export const bundleStatus = z.object({
	deployment: z.string().optional(), version: z.number(), digest: z.string(), since: z.string().nullable(), forMs: z.number(),
});

/** A host's view of itself and the others. */
export const hostStatus = z.object({
	host: z.string(),
	incarnation: z.number(),
	hall: z.string(),
	isReady: z.boolean(),
	state: memberState,
	bundle: bundleStatus,
	isConfigurationDown: z.boolean(),
	/** Requests and cancels in work. */
	open: z.number(),
	members: z.array(z.object({
		host: z.string(), state: memberState, hall: z.string(), incarnation: z.number(), load: z.number(),
	})),
	cells: z.array(z.object({
		cell: z.string(), waiting: z.number(), leases: z.number(), slots: z.number(), free: z.number(),
	})),
});

/** Use by caller since the host's start. */
export const usageRows = z.array(z.object({
	caller: z.string(), member: z.string(), priority: z.number(), share: z.number(), counts: z.record(z.string(), z.number()),
}));

/** Events of a host, oldest first; `dropped` counts those that no longer fitted its ring. */
export const timelineAnswer = z.object({host: z.string(), dropped: z.number(), events: z.array(event)});

/** The bundle in force. */
export type BundleStatus = z.infer<typeof bundleStatus>;
/** A host's view. */
export type HostStatus = z.infer<typeof hostStatus>;
/** Use by caller. */
export type UsageRows = z.infer<typeof usageRows>;
/** Events of a host. */
export type TimelineAnswer = z.infer<typeof timelineAnswer>;
