/**
 * A machine that sleeps for seconds.
 *
 * The steady clock stands still meanwhile, so a host that rested every age on
 * it took its evidence of keys for as young as before it slept, and let a key
 * in that had been taken away.
 */
import {describe, it} from 'node:test';
import {makeSystemClock, machineSources, type ClockSources} from '@gatehead/policy/utils/clock';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {makeConfig, startWorld, until} from './world.js';

const key = 'key-of-guides';
const sleepMs = 10_000;
const parts = {
	hosts: 1, plain: 1, prefill: 0, decode: 0, slots: 8, tenants: [{name: 'guides', apiKeys: [key]}], revokeMs: 5000,
};

/** What stands for the time since the machine's start where the test has it fail. */
type Uptime = 'counts the sleep' | 'cannot be read';

type Case = {
	readonly name: string;
	readonly uptime: Uptime;
	/** By how much the time of day is set meanwhile, in milliseconds. */
	readonly stepMs: number;
	readonly status: number;
	readonly sleptMs: number;
};

const cases: readonly Case[] = [
	{
		name: 'no sleep', uptime: 'counts the sleep', stepMs: 0, status: 200, sleptMs: 0,
	},
	{
		name: 'a sleep', uptime: 'counts the sleep', stepMs: 0, status: 503, sleptMs: sleepMs,
	},
	{
		name: 'a sleep, and the time of day is set back by half of it', uptime: 'counts the sleep', stepMs: -sleepMs / 2, status: 503, sleptMs: sleepMs,
	},
	{
		name: 'no sleep, but the time of day is set forward', uptime: 'counts the sleep', stepMs: sleepMs, status: 200, sleptMs: 0,
	},
	{
		name: 'no sleep, but the time of day is set back', uptime: 'counts the sleep', stepMs: -sleepMs, status: 200, sleptMs: 0,
	},
	{
		name: 'a sleep where only the time of day tells', uptime: 'cannot be read', stepMs: 0, status: 503, sleptMs: sleepMs,
	},
];

/** The machine's clocks, and a sleep that only some of them count. */
class SleepyMachine implements ClockSources {
	sleptMs = 0;
	stepMs = 0;
	readonly #uptime: Uptime;

	constructor(uptime: Uptime) {
		this.#uptime = uptime;
	}

	monotonic(): number {
		return machineSources.monotonic();
	}

	wall(): number {
		return machineSources.wall() + this.sleptMs + this.stepMs;
	}

	uptime(): number {
		if (this.#uptime === 'cannot be read') {
			throw new Error('no such file');
		}

		return machineSources.uptime() + this.sleptMs;
	}
}

describe('a host that slept', () => {
	it('says so within a tick, for how long, and asks the directory anew', {timeout: 20_000}, async () => {
		const machine = new SleepyMachine('counts the sleep');
		const world = await startWorld({...parts, hosts: 2, clock: makeSystemClock(machine)});
		try {
			machine.sleptMs = sleepMs;
			await until(() => world.relays.every(({name}) => world.lines.some(({host, code, facts}) => host === name && code === 'lateWake' && Math.abs(Number(facts.lateMs) - sleepMs) < sleepMs / 2)));
			expect(world.relays.map(({relay}) => relay.fleet.countHosts())).toEqual([2, 2]);
		} finally {
			await world.stop();
		}
	});
});

describe('a host that sleeps while a key is taken away', () => {
	for (const {name, uptime, stepMs, status, sleptMs} of cases) {
		it(`${name}: ${status}`, {timeout: 20_000}, async () => {
			const machine = new SleepyMachine(uptime);
			const world = await startWorld({...parts, clock: makeSystemClock(machine)});
			try {
				const address = world.relays[0]?.caller ?? '';
				const send = async (id: string) => sendRequest({
					address, id, path: '/once/1', headers: {Authorization: `Bearer ${key}`},
				});
				const before = await send('before');
				world.store.setFault('silent');
				world.store.put('op/config', makeConfig(2, [{name: 'guides', apiKeys: []}]));
				machine.sleptMs = sleptMs;
				machine.stepMs = stepMs;
				const after = await send('after');
				expect([before.status, after.status]).toEqual([200, status]);
			} finally {
				await world.stop();
			}
		});
	}
});
