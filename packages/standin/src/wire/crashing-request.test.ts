/**
 * A request that ends each endpoint that runs it, and comes again.
 *
 * Seen: 9 and then 21 endpoints of one service ended, one after the other, and
 * with each of them the streams that ran there. How it came about: the same
 * path and body came again every second or two, under another id and at
 * another host. Cause: each host judged each try as if nobody had seen the
 * like, since hosts told each other that an endpoint had failed, and never
 * under what. Proof: nothing more is needed to bring it about here, where all
 * twelve endpoints ended in each case; the hosts' lines show one request
 * without any event at each end, sent once, by a host that had seen none.
 */
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'earl';
import {codes} from '@gatehead/schema/codes';
import {RequestContent} from '@gatehead/relay/work/request-content';
import {sendRequest, type CallerAnswer} from './client.js';
import {startWorld, until, type World} from './world.js';

const crashingBody = 'ends what runs it';
/** Of the same length, so that only the bytes tell the two apart. */
const plainBody = 'harms what? none!';
const tries = 14;
/** Between two tries, in milliseconds: enough for hosts to hear of each other. */
const betweenMs = 400;
/** Ends that the operators put up with: three, and three sends more. */
const mostEnds = 6;

const parts = {
	hosts: 3, plain: 12, prefill: 1, decode: 12, slots: 8, crashingBody,
};

type Case = {
	readonly name: string;
	readonly path: string;
	/** The host of each try, by the try's number. */
	readonly hostOf: (index: number) => number;
};

const cases: readonly Case[] = [
	{name: 'a stream that may run once, at one host after the other', path: '/stream/1', hostOf: index => index % parts.hosts},
	{name: 'a stream that may run once, always at the same host', path: '/stream/1', hostOf: () => 0},
	{name: 'a stream that may continue elsewhere', path: '/resumable/1', hostOf: index => index % parts.hosts},
	{name: 'a plain call that may run once', path: '/once/1', hostOf: index => index % parts.hosts},
	{name: 'a plain call that may be repeated', path: '/repeatable/1', hostOf: index => index % parts.hosts},
];

/** Entries of endpoints that have ended lapse. */
function dropEntries({store, log}: World): void {
	for (const id of log.ended) {
		store.remove(`servers/${id}`);
	}
}

async function send({relays}: World, host: number, path: string, id: string, body: string): Promise<CallerAnswer> {
	return sendRequest({
		address: relays[host]?.caller ?? '', id, path, body,
	});
}

/** Refused at once, with a time to come back, and truly not run. */
function expectHeld({log}: World, id: string, {status, headers, body}: CallerAnswer): void {
	const {error} = JSON.parse(body) as {error: {code: number; ran: string}}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the relay's own words
	expect([status, error.code, error.ran, Number(headers['retry-after']) > 1]).toEqual([503, codes.contentHeld.number, 'no', true]);
	expect(log.runs.filter(({request}) => request === id)).toEqual([]);
}

describe('a request that ends the endpoints that run it', {concurrency: true}, () => {
	for (const {name, path, hostOf} of cases) {
		it(`${name}: ends at most ${mostEnds}, and others are served`, {timeout: 60_000}, async context => {
			const world = await startWorld(parts);
			try {
				const others: number[] = [];
				for (let index = 0; index < tries; index += 1) {
					await send(world, hostOf(index), path, `crashing-${index}`, crashingBody);
					dropEntries(world);
					await pause(betweenMs);
					const {status} = await send(world, hostOf(index), path, `other-${index}`, plainBody);
					others.push(status);
				}

				context.diagnostic(`${world.log.ended.length} of ${parts.decode} endpoints ended`);
				expect(world.log.ended.length).toBeLessThanOrEqual(mostEnds);
				expect(others.filter(status => status !== 200)).toEqual([]);
				for (const host of world.relays.keys()) {
					const id = `last-${host}`;
					expectHeld(world, id, await send(world, host, path, id, crashingBody));
				}
			} finally {
				await world.stop();
			}
		});
	}
});

describe('contents that are held back', () => {
	it('a host that was told nothing learns of them from a heartbeat', {timeout: 20_000}, async () => {
		const world = await startWorld({
			...parts, plain: 1, decode: 1, hosts: 2,
		});
		try {
			const content = new RequestContent({
				authority: 'calls.example', method: 'POST', target: '/once/1', workspace: undefined, body: new TextEncoder().encode(crashingBody),
			});
			const [first, second] = world.relays;
			first?.relay.guard.mergeReports([{
				suspect: 'content', content: content.digest, bytes: content.bytes, ends: [{end: 'e1', ageMs: 2000}, {end: 'e2', ageMs: 1000}], refuted: [],
			}]);
			await until(() => second?.relay.guard.findHold({content, service: {name: 'plain', maxConnections: 1}}) !== undefined);
			expect(world.lines.filter(({code}) => code === 'contentHeldSince').map(({host}) => host)).toEqual(['host-0', 'host-1']);
		} finally {
			await world.stop();
		}
	});
});
