/** Guards against a fault in one step of a host's planned stop that skips the others: it ended the stop, and left listeners open. */
import {describe, it} from 'node:test';
import {Host} from '@gatehead/host/host';
import {systemClock} from '@gatehead/policy/utils/clock';
import {seedRandom} from '@gatehead/policy/utils/random';
import {settings} from '@gatehead/schema/settings';
import {expect} from 'earl';
import {openCaller} from './raw-caller.js';
import {makeHostSettings} from './started-program.js';

/** Grace period of these stops, in milliseconds; lookups take longer to lapse. */
const graceMs = 1000;

function fail(): never {
	throw new Error('a step failed');
}

const faults: Readonly<Record<string, (host: Host) => void>> = {
	'the announcement of the stop'({membership}) {
		membership.leave = fail;
	},
	'the close of links to other hosts'({links}) {
		links.close = fail;
	},
	'the stop of the membership'({membership}) {
		membership.stop = fail;
	},
	'the stop of the keeper'({keeper}) {
		keeper.stop = fail;
	},
};

async function isListening(address: string): Promise<boolean> {
	try {
		const {socket} = await openCaller(address);
		socket.destroy();
		return true;
	} catch {
		return false;
	}
}

describe('a planned stop of a host closes its listeners, and logs a fault', () => {
	for (const [name, breakStep] of Object.entries(faults)) {
		it(`in ${name}`, {timeout: 30_000}, async () => {
			const drafted = settings.parse(await makeHostSettings());
			const lines: string[] = [];
			const host = new Host({
				settings: {...drafted, timing: {...drafted.timing, graceMs}}, clock: systemClock, random: seedRandom(1), wall: () => Date.now(), log(code, facts) {
					lines.push(code === 'internal' ? String(facts?.detail) : code);
				}, startWait: undefined,
			});
			const {links, membership, keeper} = host;
			const steps = [links.close.bind(links), membership.stop.bind(membership), keeper.stop.bind(keeper)];
			const {caller, admin} = await host.start();
			try {
				breakStep(host);
				await host.stop();
				expect([await isListening(caller), await isListening(admin)]).toEqual([false, false]);
				expect(lines.filter(line => line === 'stopped' || line.includes('a step failed')).length).toEqual(2);
			} finally {
				for (const step of steps) {
					step();
				}

				await host.close();
			}
		});
	}
});
