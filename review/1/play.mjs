/**
 * Whether a request that may not be repeated runs twice when a replica's
 * surplus answer to an earlier request arrives in its place. Faulty replicas
 * send a small share of their answers once more, where the next answer on the
 * connection is due. The load is such that replicas reject some requests.
 */
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	describeOutcomes, makeConfig, makeWindows, Record, Replica, runCase, seedRandom, sendOpenLoop, withDeployment,
} from '../standins.mjs';

const service = 'boia-api';
const slots = 6;
const timeoutMs = 1500;
/** Share of the replicas that are faulty, and of their answers that they send twice. */
const faultyShare = 0.6;
const surplusShare = 0.03;
/** The fault lasts for five seconds and comes twelve times. */
const windows = makeWindows({
	firstMs: 1000, windowMs: 5000, everyMs: 6000, count: 12,
});
const promises = new Set([408, 421, 429, 503]);

/** A surplus answer goes out in the slot where the next one is due. */
function makeSpoil(random, record, counts) {
	return ({call, bytes, connection}) => {
		if (windows.isOn && random() < surplusShare) {
			counts.surplus += 1;
			connection.surplus = bytes;
			record.add(`the answer to ${call.id} (${bytes.slice(9, 12)}) will be sent once more`);
		}
	};
}

await runCase(async ({hasTrouble}) => {
	const record = new Record(fileURLToPath(new URL('.', import.meta.url)));
	const seed = Number(process.env.SEED ?? 1);
	const random = seedRandom(seed + 1000);
	const counts = {surplus: 0};
	const replicas = Array.from({length: 3}, (_, index) => new Replica({
		service, slots, queue: 2, record, workMs: () => 40 + (random() * 92), spoil: hasTrouble && index < Math.round(3 * faultyShare) ? makeSpoil(random, record, counts) : undefined,
	}));
	const answers = await withDeployment({
		hostCount: 3, replicas, record, seed, config: makeConfig({service, timeoutMs, targetLatencyMs: 386}),
	}, async ({clients, random: arrivals}) => {
		windows.start();
		return sendOpenLoop({
			perS: 170, forMs: 73_000, random: arrivals, send: async index => clients.send({target: `/once/${index}`, deadlineMs: timeoutMs, body: 'x'.repeat(600)}),
		});
	});
	const runs = new Map();
	for (const id of replicas.flatMap(replica => replica.runs)) {
		runs.set(id, (runs.get(id) ?? 0) + 1);
	}

	const twice = answers.filter(({id}) => (runs.get(id) ?? 0) > 1);
	const untrue = answers.filter(({id, status}) => promises.has(status) && runs.has(id));
	for (const {id} of twice) {
		record.add(`ran twice: ${id}`);
	}

	const rejections = replicas.reduce((sum, {rejected}) => sum + rejected, 0);
	record.conclude(`${answers.length} requests (${describeOutcomes(answers)}); ${rejections} rejections; ${counts.surplus} surplus answers; TWICE: ${twice.length}; REFUSED: ${untrue.length}`);
	return twice.length > 0 || untrue.length > 0;
});
