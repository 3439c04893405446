/** Catalogue: what membership costs and how it heals, on real links under an injected clock. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Stage, type StagedHost} from './stage.js';

const hostCount = 5;
const ticks = 20;
const tickMs = 100;
/** Three neighbours chosen, three that chose this host, each both ways, and a little for healing. */
const mostMessagesPerTick = 8;

type Change = {
	readonly name: string;
	readonly strike: (stage: Stage, victim: StagedHost) => Promise<void>;
};

const changes: readonly Change[] = [
	{
		name: 'nothing happens', async strike(stage) {
			await stage.step();
		},
	},
	{
		name: 'a host dies', async strike(stage, victim) {
			await stage.kill(victim);
		},
	},
	{
		name: 'a host dies and comes back', async strike(stage, victim) {
			await stage.kill(victim);
			await stage.pass(ticks * tickMs);
			await stage.addHost(victim.name, victim.hall);
		},
	},
	{
		name: 'a split heals', async strike(stage, victim) {
			stage.setSplit(victim, true);
			await stage.pass(ticks * tickMs);
			stage.setSplit(victim, false);
		},
	},
];

function countMessages({living}: Stage): number {
	return living.reduce((sum, {host}) => sum + (host.context.counters.list()['peers.messages_sent'] ?? 0), 0);
}

function agree({living}: Stage): boolean {
	return living.every(({host}) => living.every(other => host.membership.members.recordOf(other.name)?.state === 'alive'));
}

async function onStage(run: (stage: Stage, victim: StagedHost) => Promise<void>): Promise<void> {
	const stage = new Stage();
	try {
		await stage.start(hostCount);
		const victim = stage.hosts[1];
		if (victim !== undefined) {
			await run(stage, victim);
		}
	} finally {
		await stage.close();
	}
}

describe('membership', () => {
	for (const {name, strike} of changes) {
		it(`messages stay within a fixed number a tick when ${name}`, async () => onStage(async (stage, victim) => {
			await strike(stage, victim);
			await stage.pass(ticks * tickMs);
			const before = countMessages(stage);
			await stage.pass(ticks * tickMs);
			expect(countMessages(stage) - before <= mostMessagesPerTick * ticks * stage.living.length).toEqual(true);
		}));

		it(`all living hosts know each other again after: ${name}`, async () => onStage(async (stage, victim) => {
			await strike(stage, victim);
			expect(await stage.until(() => agree(stage), 100 * tickMs)).toEqual(true);
		}));
	}
});
