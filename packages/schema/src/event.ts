/** Typed events of the time line, stamped with a hybrid logical clock. Neither safety nor efficiency rests on them. */
import {z} from 'zod';

/** What can happen to a request, a lease, a host or a bundle. */
export const eventKind = z.enum([
	'requestArrived',
	'requestRefused',
	'requestForwarded',
	'requestEnded',
	'requestAttached',
	'callerGone',
	'asked',
	'prefillGranted',
	'prefillStarted',
	'prefillEnded',
	'prefillWasted',
	'decodeGranted',
	'decodeStarted',
	'firstToken',
	'decodeEnded',
	'attemptFailed',
	'resumed',
	'cancelSent',
	'cancelConfirmed',
	'orphanCancelled',
	'callStarted',
	'callEnded',
	'memberChanged',
	'keeperChanged',
	'bundleAdopted',
	'bundleRefused',
	'orderSent',
	'orderObeyed',
	'lateWake',
	'stopping',
	'started',
	'messageSent',
	'messageReceived',
]);

/** One event. `clock` is `wall ms . logical . host`, ordered as text. */
export const event = z.object({
	clock: z.string(),
	host: z.string(),
	kind: eventKind,
	request: z.string().optional(),
	attempt: z.number().optional(),
	caller: z.string().optional(),
	endpoint: z.string().optional(),
	peer: z.string().optional(),
	bundleVersion: z.number().optional(),
	code: z.number().optional(),
	detail: z.string().optional(),
});

/** A kind of event. */
export type EventKind = z.infer<typeof eventKind>;
/** An event. */
export type Event = z.infer<typeof event>;
