/** Guards against error responses to malformed or late bytes that take the place of another response, or promise that a request will not run that does. */
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'earl';
import {listStatuses, openCaller, writeRequest} from './raw-caller.js';
import {bodyOf, startScriptedWorld, type ScriptedWorld} from './scripted-world.js';
import {until} from './world.js';

const garbage = '\u0001nonsense\r\n\r\n';
/** Time that an endpoint takes, in milliseconds: longer than a host takes to reject what follows a request. */
const runMs = 300;

const rest: ReadonlyArray<{readonly name: string; readonly bytes: string; readonly delayMs: number; readonly statuses: readonly number[]}> = [
	{
		name: 'bytes that are not HTTP, at once', bytes: garbage, delayMs: 0, statuses: [200, 400],
	},
	{
		name: 'bytes that are not HTTP, while it runs', bytes: garbage, delayMs: runMs / 2, statuses: [200, 400],
	},
	{
		name: 'bytes that are not HTTP, twice', bytes: `${garbage}${garbage}`, delayMs: runMs / 2, statuses: [200, 400],
	},
	{
		name: 'a request whose head is malformed', bytes: 'GET /once/1 HTTP/1.1\r\nno colon\r\n\r\n', delayMs: runMs / 2, statuses: [200, 400],
	},
	{
		name: 'a request whose body is malformed', bytes: 'POST /once/1 HTTP/1.1\r\nHost: calls.example\r\nTransfer-Encoding: chunked\r\n\r\nno length\r\n', delayMs: runMs / 2, statuses: [200, 400],
	},
	{
		name: 'a request for a tunnel, at once', bytes: 'CONNECT calls.example:80 HTTP/1.1\r\nHost: calls.example\r\n\r\n', delayMs: 0, statuses: [200, 400],
	},
	{
		name: 'a request for a tunnel, while it runs', bytes: 'CONNECT calls.example:80 HTTP/1.1\r\nHost: calls.example\r\n\r\n', delayMs: runMs / 2, statuses: [200, 400],
	},
	{
		name: 'a request and bytes that are not HTTP', bytes: `${writeRequest('/once/1', 'behind', 'question')}${garbage}`, delayMs: 0, statuses: [200, 200, 400],
	},
];

describe('malformed requests', () => {
	let scripted: ScriptedWorld;

	before(async () => {
		scripted = await startScriptedWorld({plain: 1});
		scripted.intercept = (call, kind) => {
			if (kind !== 'run') {
				return false;
			}

			setTimeout(() => {
				scripted.answerSoundly(call);
			}, runMs);
			return true;
		};
	});

	after(async () => {
		await scripted.stop();
	});

	it('a running request ends when its caller closes the connection in the middle of the next one', async () => {
		const {socket, ended} = await openCaller(scripted.caller);
		socket.write(writeRequest('/once/1', 'left-1', 'question'));
		socket.end(writeRequest('/once/1', 'left-2', 'ques', 'question'.length));
		await ended;
		await until(() => scripted.world.lines.some(({facts}) => facts.request === 'left-1'));
		const ends = scripted.world.lines.filter(({facts, code}) => code === 'requestEnded' && facts.request === 'left-1');
		expect(ends.map(({facts}) => facts.outcome)).toEqual(['callerLeft']);
	});

	async function check(id: string, {bytes, delayMs, statuses}: typeof rest[number]): Promise<void> {
		const {socket, text, ended} = await openCaller(scripted.caller);
		socket.write(writeRequest('/once/1', id, 'question'));
		await pause(delayMs);
		socket.write(bytes);
		await ended;
		socket.destroy();
		expect(listStatuses(text())).toEqual([...statuses]);
		expect(text().includes(bodyOf(id))).toEqual(true);
	}

	it('a request for a tunnel is rejected, and the host goes on when its caller resets the connection', async () => {
		const {socket, text, ended} = await openCaller(scripted.caller);
		socket.write('CONNECT calls.example:80 HTTP/1.1\r\nHost: calls.example\r\n\r\n');
		await ended;
		socket.resetAndDestroy();
		expect(listStatuses(text())).toEqual([400]);
		await check('behind-a-tunnel', {
			name: '', bytes: garbage, delayMs: 0, statuses: [200, 400],
		});
	});

	it('each rejection has a line', async () => {
		const count = () => scripted.world.lines.filter(({facts}) => facts.reason === 'headerInvalid').length;
		const before = count();
		const {socket, ended} = await openCaller(scripted.caller);
		socket.write(garbage);
		await ended;
		socket.destroy();
		expect(count()).toEqual(before + 1);
	});

	for (const [index, each] of rest.entries()) {
		it(`a running request that is followed by ${each.name} gets its response`, async () => check(`running-${index}`, each));
	}
});
