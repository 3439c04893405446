/** Guards against a second SIGTERM that ends a draining process at once and cuts its requests. */
import {EventEmitter} from 'node:events';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {onStopSignal} from './stop-signals.js';

const cases = [
	{name: 'one signal', signals: ['SIGTERM']},
	{name: 'two of the same', signals: ['SIGTERM', 'SIGTERM']},
	{name: 'two different ones', signals: ['SIGTERM', 'SIGINT', 'SIGINT']},
] as const;

describe('stop signals', () => {
	for (const {name, signals} of cases) {
		it(`${name}: one stop, and every signal is handled`, () => {
			const source = new EventEmitter(); // eslint-disable-line unicorn/prefer-event-target -- the process is one
			let stops = 0;
			onStopSignal(source, () => {
				stops += 1;
			});
			const areHandled = signals.map(signal => source.emit(signal));
			expect({stops, areHandled}).toEqual({stops: 1, areHandled: signals.map(() => true)});
		});
	}
});
