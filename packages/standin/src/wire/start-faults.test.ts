/** Guards against processes that end during their start because of what passes by itself: an address that a predecessor still holds, or settings that are not written yet. */
import {once} from 'node:events';
import {
	mkdirSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, describe, it} from 'node:test';
import {splitAddress} from '@gatehead/schema/address';
import {type relaySettings} from '@gatehead/schema/relay-settings';
import {parseBootSettings} from '@gatehead/platform/boot-settings';
import {wireDialect} from '@gatehead/platform/wire-dialect';
import {settings as hostSettings} from '@gatehead/schema/settings';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {
	hostMain, makeHostSettings, makeRelaySettings, relayMain, StartedProgram,
} from './started-program.js';
import {until} from './world.js';

/** A test that waits for a line or an end fails, in milliseconds. */
const hangMs = 90_000;
/** An address that no machine has. */
const foreignAddress = '192.0.2.1:8149';

/** Removes a fault. */
type Remedy = () => Promise<void> | void;
/** Injects a fault into the start of a process whose settings belong in this file. */
type Fault = (file: string, settings: unknown) => Promise<Remedy> | Remedy;

type Program = {
	readonly makeSettings: () => Promise<unknown>;
	/** Arguments of Node. */
	readonly listArguments: (settingsFile: string) => string[];
	/** Own addresses by name. */
	readonly listAddresses: (settings: unknown) => Readonly<Record<string, string | undefined>>;
	readonly addressNames: readonly string[];
	/** Line that a reload leaves; undefined: none. */
	readonly reloadLine: string | undefined;
	/** Exit code after wrong settings. */
	readonly invalidCode: number;
	/** Changes the address of callers. */
	readonly moveCaller: (settings: unknown, address: string) => unknown;
};

/** Merges fields into settings. */
function change(settings: unknown, fields: Readonly<Record<string, unknown>>): Record<string, unknown> {
	return {...(typeof settings === 'object' ? settings : {}), ...fields};
}

const relay: Program = {
	makeSettings: makeRelaySettings,
	listArguments: () => [relayMain],
	listAddresses: settings => parseBootSettings(settings).settings.listen,
	addressNames: ['caller', 'ready', 'lookup', 'peer', 'forward', 'metrics'] satisfies Array<keyof typeof relaySettings.shape.listen.shape>,
	reloadLine: 'settingsReloaded',
	invalidCode: 1,
	moveCaller(settings, address) {
		const {ready, lookup, peer} = parseBootSettings(settings).settings.listen;
		return change(settings, {
			listen: {
				front: address, ready, control: peer, directory: lookup,
			},
		});
	},
};

const host: Program = {
	makeSettings: makeHostSettings,
	listArguments: settingsFile => [hostMain, '--settings', settingsFile],
	listAddresses: settings => hostSettings.parse(settings).listen,
	addressNames: ['caller', 'peer', 'admin'],
	reloadLine: undefined,
	invalidCode: 2,
	moveCaller: (settings, address) => change(settings, {listen: {...hostSettings.parse(settings).listen, caller: address}}),
};

const programs: Readonly<Record<string, Program>> = {relay, host};

async function takeAddress(address: string): Promise<Remedy> {
	const {ip, port} = splitAddress(address);
	const server = createServer();
	server.listen(port, ip);
	await once(server, 'listening');
	return async () => {
		server.close();
		await once(server, 'close');
	};
}

/** Settings files that are written only later, by what is there first; undefined: nothing. */
const unwrittenFiles: Readonly<Record<string, (text: string) => string | undefined>> = {
	missing: () => undefined,
	empty: () => '',
	'half written': text => text.slice(0, text.length / 2),
};

function listFaults({listAddresses, addressNames}: Program): Record<string, Fault> {
	const faults: Record<string, Fault> = {};
	for (const name of addressNames) {
		faults[`its address ${name} is taken`] = async (file, settings) => {
			writeFileSync(file, JSON.stringify(settings));
			return takeAddress(listAddresses(settings)[name] ?? '');
		};
	}

	for (const [name, cut] of Object.entries(unwrittenFiles)) {
		faults[`its settings are ${name}`] = (file, settings) => {
			const text = JSON.stringify(settings);
			const first = cut(text);
			if (first !== undefined) {
				writeFileSync(file, first);
			}

			return () => {
				writeFileSync(file, text);
			};
		};
	}

	return faults;
}

/** Faults in which signals arrive. */
const signalledFaults = ['its address caller is taken', 'its address peer is taken', 'its settings are missing'];
const stopSignals = ['SIGTERM', 'SIGINT'] as const;

describe('faults during the start', () => {
	const remedies: Remedy[] = [];

	afterEach(async () => {
		for (const remedy of remedies.splice(0).toReversed()) {
			await remedy();
		}
	});

	function makeSettingsFile(): string {
		const folder = mkdtempSync(join(tmpdir(), 'gatehead-faults-'));
		remedies.push(() => {
			rmSync(folder, {recursive: true});
		});
		return join(folder, 'settings.json');
	}

	function start({listArguments}: Program, settingsFile: string): StartedProgram {
		const started = new StartedProgram(listArguments(settingsFile), settingsFile);
		remedies.push(async () => started.kill());
		return started;
	}

	function outcome(started: StartedProgram): unknown {
		return {
			code: started.child.exitCode, signal: started.child.signalCode, hasWaited: started.hasLogged('startWaiting'), hasResumed: started.hasLogged('startResumed'), isStarted: started.hasLogged('started'),
		};
	}

	/** Starts a process under a fault; resolves once it waits or has exited. */
	async function startIn(program: Program, fault: Fault): Promise<{readonly started: StartedProgram; readonly remedy: Remedy}> {
		const settingsFile = makeSettingsFile();
		const remedy = await fault(settingsFile, await program.makeSettings());
		const started = start(program, settingsFile);
		await until(() => started.hasEnded || started.hasLogged('startWaiting'));
		return {started, remedy};
	}

	/** Injects a transient fault, with signals meanwhile that do not stop the process. */
	async function playPassing(program: Program, fault: Fault, signals: readonly NodeJS.Signals[]): Promise<void> {
		const {started, remedy} = await startIn(program, fault);
		for (const signal of signals) {
			started.child.kill(signal);
		}

		await remedy();
		const isReloaded = () => signals.length === 0 || program.reloadLine === undefined || started.hasLogged(program.reloadLine);
		await until(() => started.hasEnded || (started.hasLogged('started') && isReloaded()));
		expect(outcome(started)).toEqual({
			code: null, signal: null, hasWaited: true, hasResumed: true, isStarted: true,
		});
	}

	async function playStop(program: Program, fault: Fault, signal: NodeJS.Signals): Promise<void> {
		const {started, remedy} = await startIn(program, fault);
		started.child.kill(signal);
		await started.ended();
		await remedy();
		expect(outcome(started)).toEqual({
			code: 0, signal: null, hasWaited: true, hasResumed: false, isStarted: false,
		});
	}

	/** Starts a process as soon as its predecessor, which has its settings, is stopping. */
	async function playSuccession(program: Program): Promise<void> {
		const settingsFile = makeSettingsFile();
		writeFileSync(settingsFile, JSON.stringify(await program.makeSettings()));
		const first = start(program, settingsFile);
		await until(() => first.hasEnded || first.hasLogged('started'));
		first.child.kill('SIGTERM');
		await until(() => first.hasEnded || first.hasLogged('stopping'));
		const second = start(program, settingsFile);
		await until(() => second.hasEnded || second.hasLogged('started'));
		// Its addresses are free some milliseconds before it has ended
		await first.ended();
		expect({code: first.child.exitCode, second: outcome(second)}).toEqual({
			code: 0,
			second: {
				code: null, signal: null, hasWaited: true, hasResumed: true, isStarted: true,
			},
		});
	}

	/** Plays a start that fails at once. */
	async function playLasting(program: Program, write: (file: string) => void, message: string): Promise<void> {
		const settingsFile = makeSettingsFile();
		write(settingsFile);
		const started = start(program, settingsFile);
		await started.ended();
		expect(outcome(started)).toEqual({
			code: program.invalidCode, signal: null, hasWaited: false, hasResumed: false, isStarted: false,
		});
		expect(started.output.includes(message)).toEqual(true);
	}

	for (const [programName, program] of Object.entries(programs)) {
		const faults = listFaults(program);
		for (const [name, fault] of Object.entries(faults)) {
			it(`a ${programName} starts although ${name} at first`, {timeout: hangMs}, async () => playPassing(program, fault, []));
		}

		for (const name of signalledFaults) {
			const fault = faults[name];
			if (fault === undefined) {
				continue;
			}

			it(`a ${programName} starts after a reload while ${name}`, {timeout: hangMs}, async () => playPassing(program, fault, ['SIGHUP', 'SIGHUP']));
			for (const signal of stopSignals) {
				it(`a ${programName} ends as planned on ${signal} while ${name}`, {timeout: hangMs}, async () => playStop(program, fault, signal));
			}
		}

		it(`a ${programName} starts while its predecessor stops`, {timeout: hangMs}, async () => playSuccession(program));

		it(`a ${programName} waits for an address that its machine does not have yet`, {timeout: hangMs}, async () => playStop(program, (file, settings) => {
			writeFileSync(file, JSON.stringify(program.moveCaller(settings, foreignAddress)));
			return () => undefined;
		}, 'SIGTERM'));

		it(`a ${programName} ends at once if its settings are wrong`, {timeout: hangMs}, async () => playLasting(program, file => {
			writeFileSync(file, '{}');
		}, '6001 settingsInvalid'));

		it(`a ${programName} ends at once if its settings are a folder`, {timeout: hangMs}, async () => playLasting(program, file => {
			mkdirSync(file);
		}, '6002 fileUnreadable'));
	}

	it('a relay that waits for an address is not ready and runs no request', {timeout: hangMs}, async () => {
		let addresses: Readonly<Record<string, string | undefined>> = {};
		await startIn(relay, async (file, settings) => {
			writeFileSync(file, JSON.stringify(settings));
			addresses = relay.listAddresses(settings);
			const remedy = await takeAddress(addresses.peer ?? '');
			remedies.push(remedy);
			return remedy;
		});
		const {status: readyStatus} = await sendRequest({
			address: addresses.ready ?? '', id: 'ready', path: wireDialect.readyPath, method: 'GET',
		});
		const {status} = await sendRequest({address: addresses.caller ?? '', id: 'call', path: '/repeatable/1'});
		expect({readyStatus, status}).toEqual({readyStatus: 503, status: 503});
	});

	it('a relay ends with the cause if its address stays taken', {timeout: hangMs}, async () => {
		const settingsFile = makeSettingsFile();
		const settings = change(await relay.makeSettings(), {});
		const bounds = change(settings.bounds, {graceS: 0.1});
		writeFileSync(settingsFile, JSON.stringify({...settings, bounds}));
		remedies.push(await takeAddress(relay.listAddresses(settings).peer ?? ''));
		const started = start(relay, settingsFile);
		await started.ended();
		expect(outcome(started)).toEqual({
			code: 1, signal: null, hasWaited: true, hasResumed: false, isStarted: false,
		});
		expect([/6004 addressInUse.*EADDRINUSE/v.test(started.output)]).toEqual([true]);
	});
});
