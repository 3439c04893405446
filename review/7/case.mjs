/* eslint-disable no-await-in-loop -- steps of a case follow each other; lines of a record are long */
/** Streams are resumed after all hosts were killed, as the replica that ran them has crashed and a run whose answer was lost has left its trace at another version. */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
	Bed, headerNames, isTroubled, makeConfig, pause,
} from '../bed-2.mjs';

const events = 40;
const streams = 180;
const startGapMs = 20;
const slowGapMs = 250;
const quickGapMs = 60;
/** Share of the answers that a replica of version v2 loses. */
const lostShare = 0.4;
const backMs = 600;
/** The rule allows two. */
const maxMixed = 2;
const bed = new Bed(path.dirname(fileURLToPath(import.meta.url)));
await bed.startStore();
bed.store.put('op/config', makeConfig(1));
const model = {
	service: 'model', slots: 64, events, eventGapMs: slowGapMs,
};
for (const [id, version] of [['decode-1', 'v1'], ['decode-2', 'v2'], ['decode-3', 'v1'], ['decode-4', 'v2']]) {
	await bed.startReplica({
		...model, id, stage: 'decode', version, lostShare: isTroubled && version === 'v2' ? lostShare : 0,
	});
}

await bed.startReplica({
	...model, id: 'prefill-1', stage: 'prefill', version: 'v1',
});
await bed.startHosts(3);
await pause(2500);

/** Sends a stream, or what is left of it; each has a last part of its own. */
async function sendStream(number, id, host, extra = {}) {
	return bed.send(host, id, {
		route: '/summary/1', deadlineMs: 14_000, extra: {
			[headerNames.counts]: '500,40', [headerNames.parts]: `aa:200,${(0x10_00_00 + number).toString(16)}:300`, 'Length-Hint': '40', Model: 'm', ...extra,
		},
	});
}

function listVersions(body) {
	return [...body.matchAll(/^data: piece \d+ of \d+, (?<version>v\d)$/gmv)].map(({groups}) => groups.version);
}

const numbers = Array.from({length: streams}, (_, number) => number);
const firstAnswers = numbers.map(async number => {
	await pause(startGapMs * number);
	return sendStream(number, `stream-${number}`, bed.hosts[number % bed.hosts.length]);
});
await pause((startGapMs * streams) + 1500);
const crashing = bed.replicas.get('decode-1');
if (isTroubled) {
	bed.note('all hosts are killed at the same moment');
	for (const host of bed.hosts) {
		host.process.kill('SIGKILL');
	}

	bed.note(`replica ${crashing.id}: crashes`);
	crashing.isEnded = true;
	crashing.child.kill('SIGKILL');
}

for (const {child, isEnded} of bed.replicas.values()) {
	if (!isEnded) {
		child.send({lostShare: 0, eventGapMs: quickGapMs});
	}
}

const answers = await Promise.all(firstAnswers);
if (isTroubled) {
	await pause(backMs);
	await bed.startReplica({
		...model, id: crashing.id, stage: 'decode', version: crashing.version, eventGapMs: quickGapMs,
	});
	for (const host of bed.hosts) {
		bed.startHost(host);
	}

	await bed.until(async () => {
		const areReady = await Promise.all(bed.hosts.map(async host => bed.isReady(host)));
		return areReady.every(Boolean);
	}, 10_000, 'the hosts are ready again');
}

/** Takes a stream up where its client has lost it, as clients do. */
async function resume(number, before) {
	for (let attempt = 1; attempt <= 3; attempt += 1) {
		const {body} = await sendStream(number, `stream-${number}-${attempt}`, bed.hosts[(number + attempt) % bed.hosts.length], {Resumes: `stream-${number}`, 'Last-Event-Id': String(before)});
		const versions = listVersions(body);
		if (versions.length > 0) {
			return versions;
		}

		await pause(300);
	}

	return [];
}

let mixed = 0;
let resumed = 0;
let whole = 0;
await Promise.all(answers.map(async ({body}, number) => {
	const before = listVersions(body);
	if (before.length === 0 || before.length === events) {
		whole += before.length === events ? 1 : 0;
		mixed += new Set(before).size > 1 ? 1 : 0;
		return;
	}

	const after = await resume(number, before.length);
	resumed += after.length > 0 ? 1 : 0;
	mixed += new Set([...before, ...after]).size > 1 ? 1 : 0;
	bed.note(`stream-${number}: ${before.length} events of ${before[0]}, then ${after.length === 0 ? 'none' : `${after.length} of ${after[0]}`}`);
}));
const lost = bed.events.filter(({kind}) => kind === 'lost').length;
bed.note(`${streams} streams, ${whole} whole at first, ${lost} answers of runs lost; ${resumed} went on after the restart; ${mixed} hold events of two versions`);
const isPlayed = isTroubled ? lost > 0 && resumed > 0 : whole === streams;
await bed.finish(mixed > maxMixed ? 1 : (isPlayed ? 0 : 2));
