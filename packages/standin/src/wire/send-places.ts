/** Places at which the relay reads a response of an endpoint. */
import {type CallKind} from './scripted-world.js';

/** A send whose response a test replaces. */
export type SendPlace = {
	readonly name: string;
	readonly kind: CallKind;
	readonly path: string;
	/** Whether responses come a byte at a time too; one place for each way to read a response. */
	readonly isDripped?: boolean;
};

/** Every kind of send of the relay. */
export const sendPlaces: readonly SendPlace[] = [
	{
		name: 'a call that may run once', kind: 'run', path: '/once/1', isDripped: true,
	},
	{name: 'a repeatable call', kind: 'run', path: '/repeatable/1'},
	{name: 'a stream that may run once', kind: 'run', path: '/stream/1'},
	{
		name: 'a resumable stream', kind: 'run', path: '/resumable/1', isDripped: true,
	},
	{
		name: 'a prefill', kind: 'prefill', path: '/stream/1', isDripped: true,
	},
	{
		name: 'a reservation', kind: 'reservation', path: '/stream/1', isDripped: true,
	},
];
