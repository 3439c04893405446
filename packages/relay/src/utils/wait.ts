import {type Clock} from '@gatehead/policy/utils/clock';
import {ignore} from '@gatehead/policy/utils/ignore';

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

/** Settles as `work` does, or rejects with the error that `toError` makes of the abort's reason if the signal aborts first. */
export async function unlessAborted<Result>(signal: AbortSignal, work: Promise<Result>, toError: (reason: unknown) => Error): Promise<Result> {
	let handleAbort = ignore;
	const aborted = new Promise<never>((_resolve, reject) => {
		handleAbort = () => {
			reject(toError(signal.reason));
		};

		signal.addEventListener('abort', handleAbort, {once: true});
		if (signal.aborted) {
			handleAbort();
		}
	});
	try {
		return await Promise.race([work, aborted]);
	} finally {
		signal.removeEventListener('abort', handleAbort);
	}
}

/** Resolves when `work` has settled or the signal aborts; rejects as `work` does. */
export async function settledOrAborted(work: Promise<unknown>, signal: AbortSignal): Promise<void> {
	let finish = ignore;
	const aborted = new Promise<void>(resolve => {
		finish = resolve;
		signal.addEventListener('abort', finish, {once: true});
		if (signal.aborted) {
			finish();
		}
	});
	try {
		await Promise.race([work, aborted]);
	} finally {
		signal.removeEventListener('abort', finish);
	}
}
