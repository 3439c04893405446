/** Guards against whole requests without an answer, whose callers end their side of the connection behind them and read on, and against runs that go on for callers that have left. */
import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {
	listStatuses, openCaller, writeRequest, type RawCaller,
} from './raw-caller.js';
import {startWorld, until, type World} from './world.js';

/** Time that a call takes at an endpoint, in milliseconds; a run that goes on until then is not closed. */
const workMs = 700;
const okStatus = 200;

const paths = ['/once/1', '/repeatable/1'] as const;

describe('callers that end their side of a connection', () => {
	let world: World;
	let sent = 0;

	before(async () => {
		world = await startWorld({
			hosts: 1, plain: 2, prefill: 1, decode: 2, slots: 16, eventGapMs: 200,
		});
		for (const replica of world.replicas) {
			replica.workMs = workMs;
		}
	});

	after(async () => {
		await world.stop();
	});

	function makeId(): string {
		sent += 1;
		return `request-${sent}`;
	}

	const hasRun = (id: string) => world.log.runs.some(({request}) => request === id);

	async function open(): Promise<RawCaller> {
		return openCaller(world.relays[0]?.caller ?? '');
	}

	async function readAll(write: (caller: RawCaller) => void): Promise<number[]> {
		const caller = await open();
		write(caller);
		await caller.ended;
		caller.socket.destroy();
		return listStatuses(caller.text()).filter(status => status >= okStatus);
	}

	async function expectAnswers(path: string, count: number, pauseMs: number): Promise<void> {
		const statuses = await readAll(({socket}) => {
			socket.write(Array.from({length: count}, () => writeRequest(path, makeId(), 'question')).join(''));
			setTimeout(() => {
				socket.end();
			}, pauseMs);
		});
		expect(statuses).toEqual(Array.from({length: count}, () => okStatus));
	}

	for (const path of [...paths, '/stream/1', '/resumable/1']) {
		it(`${path}: a caller that reads on gets its answer`, async () => expectAnswers(path, 1, 0));
	}

	for (const path of paths) {
		it(`${path}: a caller that ends its side while its request runs gets its answer`, async () => expectAnswers(path, 1, workMs / 2));
		it(`${path}: each of several requests is answered`, async () => expectAnswers(path, 3, 0));
	}

	async function expectEndOfRun(path: string): Promise<void> {
		const id = makeId();
		const {socket} = await open();
		socket.write(writeRequest(path, id, 'question'));
		await until(() => hasRun(id));
		socket.destroy();
		await until(() => world.log.closed.includes(id));
	}

	for (const path of paths) {
		it(`${path}: a run ends with a caller that has closed its connection`, async () => expectEndOfRun(path));
	}

	it('a request that its caller ends before it is whole does not run', async () => {
		const id = makeId();
		const statuses = await readAll(({socket}) => {
			socket.end(writeRequest('/once/1', id, 'quest', 'question'.length));
		});
		expect({runs: hasRun(id), statuses: statuses.filter(status => status === okStatus)}).toEqual({runs: false, statuses: []});
	});

	it('nothing follows the rejection of a request that its caller ends', async () => {
		const caller = await open();
		caller.socket.end(writeRequest('/once/1', makeId(), 'quest', 'question'.length));
		await caller.ended;
		caller.socket.destroy();
		expect(listStatuses(caller.text())).toEqual([400]);
	});

	it('a stream whose caller ends its side after its first event breaks off, as nothing else shows that it has left', async () => {
		const id = makeId();
		const caller = await open();
		caller.socket.write(writeRequest('/stream/1', id, 'question'));
		await until(() => caller.text().includes('id: 1\n'));
		caller.socket.end();
		await caller.ended;
		await until(() => world.log.closed.includes(id));
		expect(caller.text().endsWith('0\r\n\r\n')).toEqual(false);
	});

	it('a caller of HTTP/1.0, to which no interim response can be sent, has left', async () => {
		const id = makeId();
		const statuses = await readAll(({socket}) => {
			socket.end(writeRequest('/once/1', id, 'question').replace('HTTP/1.1', 'HTTP/1.0'));
		});
		expect(statuses).toEqual([]);
	});
});
