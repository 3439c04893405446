/** Timeouts of responses from elsewhere: a process that was late itself has not read what arrived meanwhile. */
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';

/** Lateness of a timer above which this process, not the one that it waits for, may have been slow, in milliseconds; several event-loop turns of a busy host. */
const lateTimerMs = 20;

/** Largest extension of a timeout whose timer was less late than that, in milliseconds. */
const maxExtensionMs = 500;

/** Calls back after a timeout. One whose timer fires late is extended once: what arrived meanwhile has not been read, and the request may have been written late, too. */
export function startTimeout(clock: Clock, ms: number, onTimeout: () => void, isExtension = false): Timer {
	const dueAt = clock.now() + ms;
	let timer: Timer = clock.after(ms, () => {
		const lateMs = clock.now() - dueAt;
		if (lateMs < lateTimerMs || isExtension) {
			onTimeout();
		} else {
			timer = startTimeout(clock, Math.max(lateMs, Math.min(ms, maxExtensionMs)), onTimeout, true);
		}
	});
	return {
		stop() {
			timer.stop();
		},
	};
}
