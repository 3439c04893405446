import {type Clock} from '@gatehead/policy/utils/clock';

/** Resolves after a time, in milliseconds, or when the signal aborts. */
export async function waitFor(clock: Clock, milliseconds: number, signal: AbortSignal): Promise<void> {
	if (signal.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		const finish = () => {
			timer.stop();
			signal.removeEventListener('abort', finish);
			resolve();
		};

		const timer = clock.after(milliseconds, finish);
		signal.addEventListener('abort', finish, {once: true});
	});
}
