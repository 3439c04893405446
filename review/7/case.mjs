/* eslint-disable no-await-in-loop, @stylistic/max-len -- steps of a case follow each other; lines of a record are long */
/** A request that ends each replica that begins to run it comes again and again, with another query each time. */
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	Bed, bounds, isTroubled, makeConfig, pause,
} from '../bed-2.mjs';

const deadlyPath = '/status/deadly';
const tryGapMs = 1500;
const tries = 24;
/** Time after which a replica that has crashed is back, in milliseconds. */
const backMs = 2500;
/** The rule allows three. */
const maxRetries = 3;
/** To compare: the same query each time. */
const hasOneQuery = process.env.QUERY === 'same';
const bed = new Bed(path.dirname(fileURLToPath(import.meta.url)));
await bed.startStore();
bed.store.put('op/config', makeConfig(1));
const settings = {
	service: 'plain', slots: 6, workMs: 60, framing: 'length', ...(isTroubled ? {deadlyPath} : {}),
};
const ids = ['plain-1', 'plain-2', 'plain-3', 'plain-4'];
for (const id of ids) {
	await bed.startReplica({...settings, id});
}

await bed.startHosts(3);
await pause(1500);
const crashes = [];
const watch = setInterval(() => {
	for (const event of bed.events.filter(({kind, isSeen}) => kind === 'deadly' && isSeen !== true)) {
		event.isSeen = true;
		const replica = bed.replicas.get(event.replica);
		if (!replica.isEnded) {
			replica.isEnded = true;
			replica.child.kill('SIGKILL');
			crashes.push(event.at);
			bed.note(`replica ${event.replica}: crashes under ${event.request} (${event.target}), crash ${crashes.length}`);
			setTimeout(() => {
				bed.startReplica({...settings, id: event.replica});
			}, backMs);
		}
	}
}, 2);
const sound = [];
let isOver = false;
const traffic = setInterval(() => {
	if (!isOver) {
		sound.push(bed.send(bed.hosts[sound.length % bed.hosts.length], `sound-${sound.length + 1}`, {route: `/pull/${sound.length + 1}`, deadlineMs: 1500}));
	}
}, 150);
for (let number = 1; number <= tries; number += 1) {
	bed.send(bed.hosts[number % bed.hosts.length], `deadly-${number}`, {method: 'GET', route: `${deadlyPath}?now=${hasOneQuery ? 1 : number}`, deadlineMs: 1500});
	await pause(tryGapMs);
}

isOver = true;
clearInterval(traffic);
const answers = await Promise.all(sound);
clearInterval(watch);
const boundAt = (crashes[2] ?? Number.POSITIVE_INFINITY) + bounds.contactMs;
const late = new Set(bed.events.filter(({kind, at}) => kind === 'deadly' && at > boundAt).map(({request}) => request));
const lost = answers.filter(({status}) => status !== 200 && status !== 503).length;
bed.note(`${tries} tries of the request; ${crashes.length} crashes of replicas; ${late.size} tries reached a replica later than ${bounds.contactMs} ms after the third crash; of ${answers.length} sound calls ${answers.filter(({status}) => status === 200).length} served, ${lost} lost, the rest refused`);
const isPlayed = isTroubled ? crashes.length >= 3 : answers.every(({status}) => status === 200);
await bed.finish(late.size > maxRetries ? 1 : (isPlayed ? 0 : 2));
