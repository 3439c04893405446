/* eslint-disable no-await-in-loop, @stylistic/max-len -- steps of a case follow each other; lines of a record are long */
/** Another writer leaves an entry with fields missing under the id of a replica that has said that it leaves. */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
	Bed, bounds, heartbeatMs, isTroubled, makeConfig, pause,
} from '../bed-2.mjs';

const workMs = 800;
/** Time from the store's word that the replica leaves to its end, in milliseconds: many seconds, as pages allow. */
const leavingMs = 6400;
const trafficMs = 6200;
const bed = new Bed(path.dirname(fileURLToPath(import.meta.url)));
await bed.startStore();
bed.store.put('op/config', makeConfig(1));
for (const id of ['plain-1', 'plain-2', 'plain-3']) {
	await bed.startReplica({
		service: 'plain', slots: 6, id, workMs, framing: 'length',
	});
}

await bed.startHosts(3);
await pause(1000);
const leaving = bed.replicas.get('plain-1');
const answers = [];
let sent = 0;
async function sendSteadily(until) {
	while (Date.now() < until) {
		sent += 1;
		answers.push(bed.send(bed.hosts[sent % bed.hosts.length], `call-${sent}`, {route: '/pull/1', deadlineMs: 4000}));
		await pause(50);
	}
}

await sendSteadily(Date.now() + 2000);
// From here on the store is stable and the machines are in touch for longer than `contactMs`
const drainedAt = bed.drain(leaving);
const traffic = sendSteadily(drainedAt + trafficMs); // eslint-disable-line unicorn/prefer-top-level-await -- goes on beside what follows
/** What another writer leaves: four of the fields that a replica always writes are missing. */
const writeForeign = () => {
	const {service, address, zone, born} = leaving;
	bed.store.put(`servers/${leaving.id}`, {
		service, address, zone: zone ?? 'natal-hall', state: 'ready', born,
	});
	bed.note('another writer leaves an entry without slots, version, coldRemainingMs and callSeq under the id of the leaving replica');
};

await pause(bounds.drainMs + 1500);
for (let round = 0; round < 3; round += 1) {
	await pause(round === 0 ? 0 : heartbeatMs);
	if (isTroubled) {
		writeForeign();
	}
}

await pause(Math.max(0, drainedAt + leavingMs - Date.now()));
await bed.endReplica(leaving);
await traffic;
const results = await Promise.all(answers);
const byId = new Map(results.map(result => [result.id, result]));
const arrivals = bed.events.filter(({kind, replica}) => kind === 'arrival' && replica === leaving.id);
const late = arrivals.filter(({request, at}) => at > drainedAt + bounds.drainMs && byId.get(request).sentAt > drainedAt);
const before = arrivals.filter(({at}) => at <= drainedAt);
for (const {request, at} of late) {
	bed.note(`${request} reached ${leaving.id} ${at - drainedAt} ms after the store had taken that it leaves; its client got ${byId.get(request).status}`);
}

const served = results.filter(({status}) => status === 200).length;
const lost = late.filter(({request}) => byId.get(request).status !== 200).length;
bed.note(`${results.length} calls, ${served} served; ${before.length} reached ${leaving.id} before it said that it leaves, ${late.length} later than ${bounds.drainMs} ms after; ${lost} of these were lost as it ended`);
await bed.finish(late.length > 0 ? 1 : (before.length > 0 && served === results.length ? 0 : 2));
