/**
 * A directory that comes back from a copy some seconds old.
 *
 * Seen: requests reached endpoints 3.0 to 4.4 s after these had said that they
 * leave, in a fleet of 86 hosts, each time some seconds behind a silence of
 * the directory; its readers listed without a pause, up to 55 times a second.
 *
 * How it came about: the directory had lost its last writes and gave their
 * revisions out again. Readers kept the highest revision that they had ever
 * seen as what they knew, so no host was told that there was news; when the
 * revision had passed that, what was written below it was told to nobody.
 *
 * The cause: revisions of two histories were ordered as if they were one.
 * What proved it: the first three cases below, with nothing else wrong.
 */
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'earl';
import {type OldWatches} from './store-server.js';
import {
	makeConfig, startWorld, until, type World,
} from './world.js';

/** Enough hosts that some read the directory and the others hear of it. */
const largeFleet = 14;
/** Writes that a copy lacks. */
const lostWrites = 12;
/** Looks after which hosts that do not agree never will, and the time between two, in milliseconds: together ten times what the slowest case takes. */
const mostLooks = 300;
const lookMs = 50;
const first = 'decode-2';
const second = 'decode-3';

/** Something that is written to the directory. */
type Write = {readonly endpoint: string; readonly state: 'ready' | 'draining' | 'gone'} | {readonly version: number} | {readonly idle: number};

type Case = {
	readonly name: string;
	readonly hosts: number;
	readonly watches?: OldWatches;
	/** Before the copy, between it and the return, and behind the return. */
	readonly before?: readonly Write[];
	readonly lost: readonly Write[];
	readonly later: readonly Write[];
	/** Decode endpoints that every host gives work to in the end. */
	readonly ready: readonly string[];
	readonly version: number;
};

const idle: Write = {idle: lostWrites};

const cases: readonly Case[] = [
	{
		name: 'an endpoint that leaves behind the return gets nothing more from any host', hosts: largeFleet, lost: [idle], later: [{endpoint: first, state: 'draining'}], ready: [second], version: 1,
	},
	{
		name: 'nor one whose leaving stands below revisions that hosts knew before', hosts: largeFleet, lost: [idle], later: [{endpoint: first, state: 'draining'}, idle, idle], ready: [second], version: 1,
	},
	{
		name: 'one whose entry goes', hosts: largeFleet, lost: [idle], later: [{endpoint: first, state: 'gone'}], ready: [second], version: 1,
	},
	{
		name: 'one that is new behind the return gets work', hosts: largeFleet, before: [{endpoint: second, state: 'gone'}], lost: [idle], later: [{endpoint: second, state: 'ready'}], ready: [first, second], version: 1,
	},
	{
		name: 'one that was new in the lost seconds, and writes its entry again', hosts: largeFleet, before: [{endpoint: second, state: 'gone'}], lost: [{endpoint: second, state: 'ready'}, idle], later: [{endpoint: second, state: 'ready'}], ready: [first, second], version: 1,
	},
	{
		name: 'hosts that all read the directory', hosts: 2, lost: [idle], later: [{endpoint: first, state: 'draining'}], ready: [second], version: 1,
	},
	{
		name: 'watches that wait in the earlier directory and never hear of the later', hosts: largeFleet, watches: 'silent', lost: [idle], later: [{endpoint: first, state: 'draining'}], ready: [second], version: 1,
	},
	{
		name: 'a configuration of the lost seconds stays in force', hosts: 2, lost: [{version: 2}, idle], later: [{endpoint: first, state: 'draining'}], ready: [second], version: 2,
	},
];

function write({store, replicas, publish}: World, each: Write): void {
	if ('idle' in each) {
		for (let count = 0; count < each.idle; count += 1) {
			store.put('other/item', count);
		}
	} else if ('version' in each) {
		store.put('op/config', makeConfig(each.version));
	} else if (each.state === 'gone') {
		store.remove(`servers/${each.endpoint}`);
	} else {
		const replica = replicas.find(({id}) => id === each.endpoint);
		if (replica !== undefined) {
			publish(replica, each.state);
		}
	}
}

/** Decode endpoints that take work, and the configuration in force, at each host. */
function viewsOf({relays}: World): Array<{readonly ready: readonly string[]; readonly version: number}> {
	return relays.map(({relay: {endpoints, routing}}) => ({
		ready: endpoints.book.listReady('model').filter(({stage}) => stage === 'decode').map(({id}) => id).toSorted(), version: routing.version,
	}));
}

function isAgreed(world: World, {ready, version}: Pick<Case, 'ready' | 'version'>): boolean {
	return viewsOf(world).every(view => view.version === version && view.ready.join(' ') === ready.join(' '));
}

describe('a directory that comes back from a copy', () => {
	for (const each of cases) {
		it(each.name, async () => {
			const world = await startWorld({
				hosts: each.hosts, plain: 1, prefill: 1, decode: 2, slots: 8,
			});
			try {
				for (const written of each.before ?? []) {
					write(world, written);
				}

				const isKnown = (from: number) => world.relays.every(({relay}) => relay.describe().directoryRevision >= from);
				await until(() => isKnown(world.store.copy().revision));
				const copy = world.store.copy();
				for (const written of each.lost) {
					write(world, written);
				}

				await until(() => isKnown(world.store.copy().revision));
				world.store.restore(copy, each.watches);
				for (const written of each.later) {
					write(world, written);
				}

				for (let look = 0; look < mostLooks && !isAgreed(world, each); look += 1) {
					await pause(lookMs);
				}

				expect(viewsOf(world)).toEqual(world.relays.map(() => ({ready: [...each.ready], version: each.version})));
			} finally {
				await world.stop();
			}
		});
	}
});
