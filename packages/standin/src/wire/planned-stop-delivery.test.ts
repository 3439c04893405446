/** Guards against responses that a stopping host truncates while their callers are still reading. */
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'earl';
import {openCaller, writeRequest} from './raw-caller.js';
import {startScriptedWorld} from './scripted-world.js';
import {writeResponse} from './scripted-endpoint.js';
import {until} from './world.js';

/** More than the buffers of a connection hold. */
const bodyBytes = 8_000_000;
/** When the caller goes on reading, in milliseconds after the stop began: the host then rejects new requests. */
const readingAtMs = 5000;

describe('deliveries during a planned stop', () => {
	it('a response that its caller is still reading is complete, and idle connections are closed', {timeout: 60_000}, async () => {
		const scripted = await startScriptedWorld({plain: 1});
		try {
			const [{relay}] = scripted.world.relays as [typeof scripted.world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has one host
			scripted.intercept = ({id, socket}, kind) => {
				if (kind !== 'run' || !id.startsWith('slow')) {
					return false;
				}

				socket.write(writeResponse(200, {'Request-Id': id, 'Server-Seal': 'seal'}, 'x'.repeat(bodyBytes)));
				return true;
			};

			const {socket, text, ended} = await openCaller(scripted.caller, true);
			socket.write(writeRequest('/once/1', 'slow-1', 'question'));
			const idle = await openCaller(scripted.caller);
			idle.socket.write(writeRequest('/once/1', 'idle-1', 'question'));
			await until(() => scripted.world.lines.filter(({code}) => code === 'requestEnded').length === 2);
			let isIdleClosed = false;
			void idle.ended.then(() => {
				isIdleClosed = true;
			});
			const stopped = relay.stop();
			await pause(readingAtMs);
			expect(isIdleClosed).toEqual(true);
			socket.resume();
			await Promise.all([stopped, ended]);
			const headBytes = text().indexOf('\r\n\r\n') + 4;
			expect(text().length - headBytes).toEqual(bodyBytes);
			socket.destroy();
		} finally {
			await scripted.stop();
		}
	});
});
