/**
 * A replica that starts again under the id that it had.
 *
 * Seen on the platform's pages: an id may outlive a start, and `born` tells
 * the starts apart. What came of it here: pauses, queues and connections of
 * the earlier start were kept for the next, which was then given no work.
 */
import {describe, it} from 'node:test';
import {type Endpoint} from '@gatehead/schema/routing';
import {expect} from 'earl';
import {
	startWorld, until, type RunningRelay, type World,
} from './world.js';

const parts = {
	hosts: 2, plain: 1, prefill: 1, decode: 2, slots: 8,
};
const pauseMs = 12_000;

type Case = {
	readonly name: string;
	readonly before: unknown;
	readonly after: unknown;
	readonly isAnother: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'a later start', before: 1_780_000_000_000, after: 1_780_000_004_000, isAnother: true,
	},
	{
		name: 'a clock that was set back between two starts', before: 1_780_000_000_000, after: 1_779_999_000_000, isAnother: true,
	},
	{
		name: 'a start that names no instant', before: 1_780_000_000_000, after: undefined, isAnother: true,
	},
	{
		name: 'a start whose instant is no whole number', before: 1_780_000_000_000, after: 'soon', isAnother: true,
	},
	{
		name: 'the same start, written again', before: 1_780_000_000_000, after: 1_780_000_000_000, isAnother: false,
	},
];

function findDecode({relay}: RunningRelay): Endpoint | undefined {
	return relay.endpoints.book.listReady('model').find(({id}) => id.startsWith('decode-2'));
}

/** Writes the replica's entry anew and waits until every host has read or heard of it. */
async function publish(world: World, born: unknown): Promise<void> {
	const replica = world.replicas[2];
	if (replica !== undefined) {
		replica.born = born;
		world.publish(replica, 'ready');
		const seen = world.lines.length;
		await until(() => world.relays.every(({name}) => world.lines.slice(seen).some(({host, code, facts}) => host === name && code === 'endpointChanged' && String(facts.endpoint).startsWith('decode-2'))));
	}
}

describe('a replica that starts again under its id', () => {
	for (const {name, before, after, isAnother} of cases) {
		it(`${name}: ${isAnother ? 'nothing of the earlier start binds it' : 'all stands'}`, {timeout: 20_000}, async () => {
			const world = await startWorld(parts);
			try {
				await publish(world, before);
				for (const running of world.relays) {
					running.relay.endpoints.mergePause({endpoint: findDecode(running)?.id ?? '', leftMs: pauseMs}, 'test');
				}

				await publish(world, after);
				for (const running of world.relays) {
					const {endpoints, context: {clock}} = running.relay;
					expect(endpoints.health.isUsable(findDecode(running)?.id ?? '', clock.now())).toEqual(isAnother);
					expect(endpoints.book.listReady('model').length).toEqual(parts.prefill + parts.decode);
				}
			} finally {
				await world.stop();
			}
		});
	}
});
