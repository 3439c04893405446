/** What a relay tells operators of itself, beside its figures. Reads only; neither safety nor efficiency rests here. */
import {z} from 'zod';
import {memberState} from './peer-message.js';

/** A signal of an endpoint in force at one host: a limit in requests a second, a drain notice, or a backoff period; `source`: the host that received it, `own` for this one. */
export const signalState = z.object({
	endpoint: z.string(),
	signal: z.enum(['limit', 'drain', 'backoff']),
	value: z.number().optional(),
	/** Rest of a backoff period, in milliseconds. */
	leftMs: z.number().optional(),
	source: z.string(),
});

/** A relay's view of itself, the others and the endpoints. */
export const relayStatus = z.object({
	host: z.string(),
	incarnation: z.number(),
	hall: z.string(),
	isReady: z.boolean(),
	/** Version of the configuration in force; 0: none. */
	routingVersion: z.number(),
	/** Revision up to which the directory is known here; -1: not at all. */
	directoryRevision: z.number(),
	/** How often the directory had come back from a copy then, as it counts; absent: it does not say, or an earlier version answers. */
	directoryEpoch: z.number().optional(),
	isDirectoryDown: z.boolean(),
	/** Requests in work, and those of them that wait for decode memory. */
	open: z.number(),
	waiting: z.number(),
	/** Second sends left to this host, least of all services. */
	retryLeft: z.number(),
	/** Subset of the fleet, as its number and how many there are. */
	subset: z.object({own: z.number(), count: z.number()}),
	members: z.array(z.object({host: z.string(), state: memberState})),
	/** Endpoints that take new work, and those of them that are set aside. */
	services: z.array(z.object({service: z.string(), ready: z.number(), paused: z.number()})),
	/** Signals of endpoints in force. */
	signals: z.array(signalState).default([]),
});

/** A signal of an endpoint in force. */
export type SignalState = z.infer<typeof signalState>;
/** A relay's view. */
export type RelayStatus = z.infer<typeof relayStatus>;
