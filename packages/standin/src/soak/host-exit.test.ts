/** Guards against ends of host processes that the soak does not count: by the machine, at the heap's limit, in a stop, or with code 0. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {findPorts, ownAddress} from '../utils/ports.js';
import {until} from '../wire/world.js';
import {findFailedHosts} from './failed-hosts.js';
import {
	describeExit, findMissingLines, listStandstills, type HostExit,
} from './host-exit.js';
import {HostProcess} from './host-process.js';

/** A test that waits for an end fails, in milliseconds. */
const hangMs = 60_000;
const portsPerHost = 5;
/** Signals that are sent at once may arrive in another order, in milliseconds. */
const betweenSignalsMs = 200;
const ready = 'console.log(\'ready\'); setInterval(() => {}, 1000);';
const reloads = 'process.on(\'SIGHUP\', () => {});';

type Case = {
	readonly name: string;
	/** Source of the program. */
	readonly program: string;
	/** Sent once the program has written that it is ready. */
	readonly signals?: readonly NodeJS.Signals[];
} & Pick<HostExit, 'cause' | 'code' | 'signal'>;

const cases: readonly Case[] = [
	{
		name: 'aborts, as at the limit of the heap', program: 'process.abort();', cause: 'unasked', code: undefined, signal: 'SIGABRT',
	},
	{
		name: 'is killed by the machine', program: 'process.kill(process.pid, \'SIGKILL\');', cause: 'unasked', code: undefined, signal: 'SIGKILL',
	},
	{
		name: 'exits with 1', program: 'process.exit(1);', cause: 'unasked', code: 1, signal: undefined,
	},
	{
		name: 'exits with 0, unasked', program: 'process.exit(0);', cause: 'unasked', code: 0, signal: undefined,
	},
	{
		name: 'throws during its start', program: 'throw new Error(\'no start\');', cause: 'unasked', code: 1, signal: undefined,
	},
	{
		name: 'exits with 0 at a reload', program: `process.on('SIGHUP', () => process.exit(0)); ${ready}`, signals: ['SIGHUP'], cause: 'unasked', code: 0, signal: undefined,
	},
	{
		name: 'exits with 1 in a stop', program: `${reloads} process.on('SIGTERM', () => process.exit(1)); ${ready}`, signals: ['SIGTERM'], cause: 'unasked', code: 1, signal: undefined,
	},
	{
		name: 'aborts in a stop', program: `${reloads} process.on('SIGTERM', () => process.abort()); ${ready}`, signals: ['SIGTERM'], cause: 'unasked', code: undefined, signal: 'SIGABRT',
	},
	{
		name: 'loses its handler of a stop', program: `${reloads} ${ready}`, signals: ['SIGTERM'], cause: 'unasked', code: undefined, signal: 'SIGTERM',
	},
	{
		name: 'is ended by a reload that nobody sent', program: 'process.kill(process.pid, \'SIGHUP\'); setInterval(() => {}, 1000);', cause: 'unasked', code: undefined, signal: 'SIGHUP',
	},
	{
		name: 'is ended by a reload before its handlers', program: ready, signals: ['SIGHUP'], cause: 'beforeHandlers', code: undefined, signal: 'SIGHUP',
	},
	{
		name: 'is ended by a reload in a stop', program: `${reloads} process.on('SIGTERM', () => process.removeAllListeners('SIGHUP')); ${ready}`, signals: ['SIGTERM', 'SIGHUP'], cause: 'unasked', code: undefined, signal: 'SIGHUP',
	},
	{
		name: 'stops as planned', program: `${reloads} process.on('SIGTERM', () => process.exit(0)); ${ready}`, signals: ['SIGHUP', 'SIGTERM'], cause: 'expected', code: 0, signal: undefined,
	},
	{
		name: 'is killed', program: `${reloads} ${ready}`, signals: ['SIGKILL'], cause: 'expected', code: undefined, signal: 'SIGKILL',
	},
	{
		name: 'is killed in a stop', program: `${reloads} process.on('SIGTERM', () => {}); ${ready}`, signals: ['SIGTERM', 'SIGKILL'], cause: 'expected', code: undefined, signal: 'SIGKILL',
	},
	{
		name: 'is there at the end of the grace period of a stop', program: `${reloads} process.on('SIGTERM', () => {}); ${ready}`, signals: ['SIGTERM'], cause: 'overdue', code: undefined, signal: 'SIGKILL',
	},
	{
		name: 'stands still at the end of the grace period of a stop', program: `${reloads} process.on('SIGTERM', () => {}); ${ready}`, signals: ['SIGTERM', 'SIGSTOP'], cause: 'overdue', code: undefined, signal: 'SIGKILL',
	},
];

describe('ends of host processes', () => {
	let folder = '';
	let ports: number[] = [];
	before(async () => {
		folder = mkdtempSync(join(tmpdir(), 'gatehead-exits-'));
		ports = await findPorts(portsPerHost);
	});
	after(() => {
		rmSync(folder, {recursive: true});
	});

	async function play(number: number, {program, signals = []}: Pick<Case, 'program' | 'signals'>): Promise<HostProcess> {
		const file = join(folder, `program-${number}.cjs`);
		writeFileSync(file, program);
		const host = new HostProcess({
			name: `host-${number}`, ip: ownAddress, ports, seeds: [], store: '127.0.0.1:1', folder, program: file,
		});
		host.start();
		await until(() => signals.length === 0 || host.readLog().includes('ready') || !host.isRunning);
		for (const signal of signals) {
			host.signal(signal);
			await pause(betweenSignalsMs);
		}

		await until(() => host.exits.length > 0);
		return host;
	}

	for (const [number, each] of cases.entries()) {
		it(`a process that ${each.name} counts as ${each.cause}`, {timeout: hangMs}, async () => {
			const {exits} = await play(number, each);
			expect(exits.map(({cause, code, signal}) => ({cause, code, signal}))).toEqual([{cause: each.cause, code: each.code, signal: each.signal}]);
		});
	}

	it('an end has its uptime and the last lines of this life alone', {timeout: hangMs}, async () => {
		const host = await play(cases.length, {program: 'for (let line = 1; line < 8; line += 1) console.log(line); process.exit(3);'});
		const ended = host.exits[0]?.uptimeMs ?? 0;
		expect(ended > 0).toEqual(true);
		expect([...host.exits[0]?.lastLines ?? []]).toEqual(['3', '4', '5', '6', '7']);
		writeFileSync(join(folder, `program-${cases.length}.cjs`), 'console.log(8); process.exit(3);');
		host.start();
		await until(() => host.exits.length > 1);
		expect([...host.exits[1]?.lastLines ?? []]).toEqual(['8']);
	});

	const lines = ['{"name":"started"}', '{"name":"stopped"}', '{"name":"processEnded"}'] as const;
	const logs: ReadonlyArray<{readonly name: string; readonly left: readonly string[]; readonly stoppedAt?: number; readonly signal?: 'SIGKILL'; readonly failures: readonly string[]}> = [
		{
			name: 'all', left: lines, stoppedAt: 1, failures: [],
		},
		{
			name: 'not the last one', left: lines.slice(0, 2), stoppedAt: 1, failures: ['host-0 left no line processEnded'],
		},
		{
			name: 'none', left: lines.slice(0, 1), stoppedAt: 1, failures: ['host-0 left no line stopped and processEnded'],
		},
		{
			name: 'none, of a host whose start had not ended', left: [], stoppedAt: 1, failures: [],
		},
		{
			name: 'none, of a host that was killed', left: lines.slice(0, 1), stoppedAt: 1, signal: 'SIGKILL', failures: [],
		},
		{name: 'none, of a host that was not to stop', left: lines.slice(0, 1), failures: []},
	];
	for (const {name, left, stoppedAt, signal, failures} of logs) {
		it(`last lines of a stop: ${name}`, () => {
			const missing = findMissingLines(left.join('\n'), stoppedAt);
			const exits = [{
				cause: 'expected', code: signal === undefined ? 0 : undefined, signal, uptimeMs: 1, missing, lastLines: [],
			} as const];
			expect(findFailedHosts([{name: 'host-0', exits, peakBytes: 0}], 200).map(text => text.split(',', 1)[0] ?? '')).toEqual([...failures]);
		});
	}

	const holds: ReadonlyArray<{readonly name: string; readonly sent: ReadonlyArray<readonly [NodeJS.Signals, number]>; readonly text: string}> = [
		{name: 'none', sent: [['SIGTERM', 1000]], text: 'none'},
		{name: 'one before the stop', sent: [['SIGSTOP', 0], ['SIGCONT', 900], ['SIGTERM', 1000]], text: 'none'},
		{name: 'one that lasts into the stop', sent: [['SIGSTOP', 500], ['SIGTERM', 1000], ['SIGCONT', 1500]], text: '1000 ms from -500 ms on'},
		{name: 'two in a stop, of three signals', sent: [['SIGTERM', 1000], ['SIGSTOP', 2000], ['SIGSTOP', 2100], ['SIGCONT', 2500], ['SIGCONT', 2600], ['SIGSTOP', 8500]], text: '500 ms from 1000 ms on, 500 ms from 7500 ms on'},
	];
	for (const {name, sent, text} of holds) {
		it(`an end names its standstills: ${name}`, () => {
			const standstills = listStandstills(sent.map(([signal, at]) => ({signal, at, isHandled: true})), 1000, 9000);
			const line = describeExit({
				cause: 'overdue', code: undefined, signal: 'SIGKILL', uptimeMs: 9000, stoppedAt: 1000, standstills, lastLines: [],
			});
			expect(line.includes(`, standstills: ${text}, last lines`)).toEqual(true);
		});
	}

	it('the peak of a process outlives it', {timeout: hangMs}, async () => {
		const host = await play(cases.length + 1, {program: `${reloads} globalThis.kept = Buffer.alloc(150_000_000, 1); ${ready}`, signals: ['SIGKILL']});
		expect(host.peakBytes > 150_000_000).toEqual(true);
		expect(host.readPeakBytes()).toEqual(0);
	});
});
