/** Starts a planned stop on the first stop signal. Later signals change nothing: without a listener, the second one would end the process and cut its requests. */
import {type EventEmitter} from 'node:events';

const stopSignals = ['SIGTERM', 'SIGINT'] as const;

/** Calls `stop` on the first signal. */
export function onStopSignal(source: Pick<EventEmitter, 'on'>, stop: () => void): void {
	let isStopping = false;
	const handle = () => {
		if (!isStopping) {
			isStopping = true;
			stop();
		}
	};

	for (const signal of stopSignals) {
		source.on(signal, handle);
	}
}
