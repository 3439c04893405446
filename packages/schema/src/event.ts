/** Events of the timeline, ordered by a hybrid logical clock. */
import {z} from 'zod';

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

/** One event. `clock` has the form `WALL_MS.LOGICAL.HOST` and sorts as text. */
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

export type EventKind = z.infer<typeof eventKind>;
export type Event = z.infer<typeof event>;
