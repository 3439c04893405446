/** Guards against streams of two software versions, and against final refusals of streams whose version serves, at a host that was stopped or cut off while replicas of that version joined. */
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'earl';
import {startReleaseBed, type ReleaseBed} from './release-bed.js';
import {StreamCaller} from './stream-caller.js';

const streams = 30;
const eventGapMs = 40;
/** Time between two streams that begin, in milliseconds. */
const beginGapMs = 15;
/** Time that the other hosts take at most to read an entry that was written, in milliseconds. */
const readMs = 150;
/** Attempts of a caller at the lagging host. */
const mostAttempts = 30;
/** Smallest share of the streams that go on at the lagging host. */
const leastShare = 0.9;

/** A host that lags, and how. */
type Lag = {
	readonly bed: ReleaseBed;
	readonly index: number;
};

type Case = {
	readonly name: string;
	/** Number of hosts; absent: 3. The last one lags. */
	readonly hosts?: number;
	/** Hosts at which streams begin, from the first on; absent: all but the one that lags. */
	readonly beginAt?: number;
	/** Time from the start of the lag to its end, in milliseconds. */
	readonly lastsMs: number;
	/** Time from the start of the lag to the resumption of the first stream, in milliseconds. */
	readonly resumesMs: number;
	readonly begin: (lag: Lag) => void;
	readonly end: (lag: Lag) => void;
};

function signal({bed, index}: Lag, name: NodeJS.Signals): void {
	bed.hosts[index]?.signal(name);
}

function cutStore({bed, index}: Lag): void {
	const path = bed.storePaths[index];
	if (path !== undefined) {
		path.mode = 'silence';
	}
}

function restoreStore({bed, index}: Lag): void {
	const path = bed.storePaths[index];
	if (path !== undefined) {
		path.mode = 'pass';
		path.reset();
	}
}

function stopsFor(lastsMs: number): Case {
	return {
		name: `stands still for ${lastsMs} ms`,
		lastsMs,
		resumesMs: lastsMs - 300,
		begin(lag) {
			signal(lag, 'SIGSTOP');
		},
		end(lag) {
			signal(lag, 'SIGCONT');
		},
	};
}

const cases: readonly Case[] = [
	stopsFor(1500),
	stopsFor(3000),
	stopsFor(6000),
	{
		name: 'is cut off from its peers', lastsMs: 2500, resumesMs: 1500, begin({bed, index}) {
			bed.partition([index]);
		}, end({bed}) {
			bed.partition([]);
		},
	},
	{
		name: 'is cut off, with one other host, from its peers until it takes them for dead', hosts: 4, beginAt: 2, lastsMs: 7000, resumesMs: 5800, begin({bed, index}) {
			bed.partition([index - 1, index]);
		}, end({bed}) {
			bed.partition([]);
		},
	},
	{
		name: 'is cut off from the directory', lastsMs: 2500, resumesMs: 0, begin: cutStore, end: restoreStore,
	},
	{
		name: 'is cut off from its peers and the directory', lastsMs: 2500, resumesMs: 1500, begin(lag) {
			lag.bed.partition([lag.index]);
			cutStore(lag);
		}, end(lag) {
			lag.bed.partition([]);
			restoreStore(lag);
		},
	},
];

/** Causes of the refusals that a host sent, from its log. */
function countRefusals({bed, index}: Lag): string {
	const lines = readFileSync(join(bed.folder, `host-${index}.log`), 'utf8').split('\n').filter(line => line.includes('"refused"'));
	const counts = new Map<string, number>();
	for (const line of lines) {
		const reason = /"reason":"(?<reason>\w+)"/v.exec(line)?.groups?.reason ?? /"name":"(?<name>\w+)"/v.exec(line)?.groups?.name ?? line;
		counts.set(reason, (counts.get(reason) ?? 0) + 1);
	}

	return [...counts].map(([reason, count]) => `${reason}: ${count}`).join(', ');
}

/** Begins streams at the other hosts and resumes them at one that lags. */
async function play({hosts = 3, beginAt = hosts - 1, lastsMs, resumesMs, begin, end}: Case, report: (text: string) => void) {
	const bed = await startReleaseBed(hosts, eventGapMs);
	try {
		const lag: Lag = {bed, index: hosts - 1};
		const addressOf = (index: number) => bed.hosts[index]?.caller ?? '';
		const lagging = addressOf(lag.index);
		await Promise.all(bed.hosts.map(async ({caller}, index) => new StreamCaller(`first-${index}`).resume([caller])));
		const startedAt = performance.now();
		begin(lag);
		await bed.join('v2');
		await pause(readMs);
		const callers = Array.from({length: streams}, (_, index) => new StreamCaller(`s-${index}`));
		const ended = Promise.all(callers.map(async (caller, index) => {
			await pause(index * beginGapMs);
			caller.leavesAt = 1;
			await caller.beginAt(addressOf(index % beginAt));
			await pause(startedAt + resumesMs + (index * beginGapMs) - performance.now());
			caller.leavesAt = Number.POSITIVE_INFINITY;
			await caller.resume(Array.from({length: mostAttempts}, () => lagging));
		}));
		await pause(startedAt + lastsMs - performance.now());
		end(lag);
		await ended;
		const begun = callers.filter(({events}) => events.length > 0);
		const isNew = begun.filter(({events: [first]}) => first?.version === 'v2').length;
		const refusedFinally = begun.filter(({ends}) => ends.some(({status, retryAfterMs}) => status === 503 && retryAfterMs === undefined)).length;
		const complete = begun.filter(({isComplete}) => isComplete).length;
		report(`${begun.length} begun, ${isNew} of them at v2; ${complete} complete; refusals: ${countRefusals(lag)}`);
		return {
			begun: begun.length,
			hasNew: isNew > 0,
			mixed: begun.filter(({versions}) => versions.size > 1).length,
			refusedFinally,
			share: complete >= leastShare * begun.length ? 'enough' : complete / begun.length,
		};
	} finally {
		await bed.stop();
	}
}

describe('streams of a new software version, resumed at a host that', {concurrency: 2}, () => {
	for (const each of cases) {
		it(each.name, async t => {
			const outcome = await play(each, text => {
				t.diagnostic(text);
			});
			expect(outcome).toEqual({
				begun: streams, hasNew: true, mixed: 0, refusedFinally: 0, share: 'enough',
			});
		});
	}
});
