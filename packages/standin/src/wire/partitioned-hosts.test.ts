/** Hosts that lose their links to all endpoints, while callers, the store and their peers still reach them, must serve about as many requests as the other hosts, and run none twice. */
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {LinkProxy, type LinkCut} from './link-proxy.js';
import {
	startWorld, until, type RunningRelay, type World,
} from './world.js';

/** Time after the cut from which first tries count, in milliseconds. */
const contactMs = 3000;
/** Time during which first tries are counted, in milliseconds. */
const countedMs = 2000;
/** Interval between requests at each host, in milliseconds. */
const askEveryMs = 50;
/** Smallest share served at partitioned hosts, relative to the others. */
const leastShare = 0.9;
const okStatus = 200;
const paths = ['/once/1', '/repeatable/1', '/stream/1', '/resumable/1'];
/** Requests on these routes run at most once. */
const unrepeatable = /^(?:once|stream)-/v;

type Case = {
	readonly hosts: number;
	readonly partitioned: number;
	readonly cut: LinkCut;
};

const cases: readonly Case[] = [
	{hosts: 4, partitioned: 1, cut: 'silent'},
	{hosts: 4, partitioned: 3, cut: 'silent'},
	{hosts: 4, partitioned: 1, cut: 'refused'},
	{hosts: 4, partitioned: 3, cut: 'refused'},
	{hosts: 4, partitioned: 3, cut: 'newRefused'},
];

/** Requests of one group of hosts. */
type Tally = {
	sent: number;
	served: number;
};

/** Sends requests to all hosts at a steady rate; `count` says where a request is counted. */
async function load(relays: readonly RunningRelay[], tag: string, durationMs: number, count: (relay: RunningRelay) => Tally): Promise<void> {
	const pending: Array<Promise<void>> = [];
	const ask = async (relay: RunningRelay, path: string, round: number) => {
		const tally = count(relay);
		tally.sent += 1;
		const {status, isWhole} = await sendRequest({address: relay.caller, id: `${path.split('/')[1]}-${tag}-${relay.name}-${round}`, path});
		tally.served += status === okStatus && isWhole ? 1 : 0;
	};

	for (let round = 0; round < durationMs / askEveryMs; round += 1) {
		for (const [index, relay] of relays.entries()) {
			pending.push(ask(relay, paths[(round + index) % paths.length] ?? '', round));
		}

		await pause(askEveryMs);
	}

	await Promise.all(pending);
}

function shareOf({sent, served}: Tally): number {
	return served / Math.max(1, sent);
}

/** Unrepeatable requests that ran more than once. */
function findRepeated({log}: World): string[] {
	const seen = new Set<string>();
	const repeated = new Set<string>();
	for (const {request} of log.runs) {
		if (unrepeatable.test(request) && seen.has(request)) {
			repeated.add(request);
		}

		seen.add(request);
	}

	return [...repeated];
}

describe('hosts without links to endpoints', () => {
	for (const {hosts, partitioned, cut} of cases) {
		it(`${partitioned} of ${hosts} hosts, ${cut}`, async () => {
			const links: LinkProxy[] = [];
			const world = await startWorld({
				hosts, plain: 3, prefill: 2, decode: 3, slots: 16, async endpointPaths(endpoints) {
					const proxy = await LinkProxy.start(endpoints);
					links.push(proxy);
					return proxy.addresses;
				},
			});
			const {relays} = world;
			const uncounted: Tally = {sent: 0, served: 0};
			const there: Tally = {sent: 0, served: 0};
			const elsewhere: Tally = {sent: 0, served: 0};
			const after: Tally = {sent: 0, served: 0};
			try {
				await load(relays, 'before', 500, () => uncounted);
				await Promise.all(links.slice(0, partitioned).map(async link => link.cut(cut)));
				await load(relays, 'early', contactMs, () => uncounted);
				await load(relays, 'counted', countedMs, relay => relays.indexOf(relay) < partitioned ? there : elsewhere);
				await Promise.all(links.slice(0, partitioned).map(async link => link.heal()));
				await until(() => relays.every(({relay}) => relay.reachability.unreachable.length === 0));
				await load(relays, 'after', 500, () => after);
				const share = shareOf(there);
				expect({
					share: share >= leastShare * shareOf(elsewhere) ? 'enough' : share, elsewhere: shareOf(elsewhere), after: shareOf(after), repeated: findRepeated(world),
				}).toEqual({
					share: 'enough', elsewhere: 1, after: 1, repeated: [],
				});
			} finally {
				await world.stop();
				await Promise.all(links.map(async link => link.close()));
			}
		});
	}
});
