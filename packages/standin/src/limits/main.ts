/** `npm run limits`: how rate limits are kept and used over fleets of several sizes, beside two other designs. Neither safety nor efficiency rests here. */
import {
	allowedIn4S, mostWithin, playFleet, useOf, type FleetDesign, type FleetFault, type FleetPlay,
} from './limited-fleet.js';

const windowMs = 4000;
const settleMs = 3000;
const warmMs = 4000;
const sizes = [4, 16, 90, 300];
const limits = [0.5, 5, 50];
const designs: readonly FleetDesign[] = ['shares', 'equalParts', 'reachedParts'];
/** Seeds of the plays of one row. */
const seeds = [101, 102, 103];
const millisecondsPerSecond = 1000;

const kinds: ReadonlyArray<FleetFault['kind']> = ['restart', 'freeze', 'cut', 'split', 'silence'];

/** A row of faults for a seed: each kind once, half of them at the granter. */
function makeFaults(seed: number): FleetFault[] {
	return kinds.map((kind, index) => ({
		at: 3000 + (((seed * 7919) + (index * 2311)) % 12_000), forMs: 500 + (((seed * 104_729) + (index * 7907)) % 6000), kind, host: (seed + index) % 2 === 0 ? 'granter' : seed + index,
	}));
}

type Row = {
	readonly worst: number;
	readonly worstFaults: number;
	readonly use: number;
	readonly spread: number;
	readonly messages: number;
	readonly bytes: number;
};

async function measure(play: Omit<FleetPlay, 'seed' | 'seconds' | 'demand'>): Promise<Row> {
	const row = {
		worst: 0, worstFaults: 0, use: 0, spread: 0, messages: 0, bytes: 0,
	};
	const {hosts, limitPerS, endpoints} = play;
	const seconds = limitPerS < 1 ? 84 : 24;
	for (const seed of seeds) {
		const calm = await playFleet({
			...play, seconds, demand: 2, seed,
		});
		const faulty = await playFleet({
			...play, seconds: 24, demand: 2, seed, faults: makeFaults(seed),
		});
		const [arrivals = []] = calm.arrivals;
		row.worst = Math.max(row.worst, mostWithin(arrivals, windowMs, settleMs));
		row.worstFaults = Math.max(row.worstFaults, ...faulty.arrivals.map(each => mostWithin(each, windowMs, settleMs)));
		row.spread = Math.max(row.spread, mostWithin(arrivals, millisecondsPerSecond, settleMs));
		row.use += useOf(arrivals, limitPerS, warmMs, seconds * millisecondsPerSecond) / seeds.length;
		row.messages += calm.messages / seconds / hosts / seeds.length;
		row.bytes += calm.bytes / seconds / hosts / seeds.length;
	}

	return {...row, messages: row.messages / Math.max(1, endpoints), bytes: row.bytes / Math.max(1, endpoints)};
}

function print(cells: ReadonlyArray<string | number>): void {
	console.log(cells.map(cell => String(cell).padStart(13)).join(''));
}

print(['hosts', 'limit/s', 'enter at', 'design', 'allowed', 'worst 4 s', 'with faults', 'use', 'worst 1 s', 'messages/s', 'bytes/s']);
for (const hosts of sizes) {
	for (const limitPerS of limits) {
		for (const entryHosts of [undefined, 1]) {
			for (const design of designs) {
				const {worst, worstFaults, use, spread, messages, bytes} = await measure({
					hosts, endpoints: 1, limitPerS, entryHosts, design,
				});
				print([hosts, limitPerS, entryHosts ?? 'all', design, allowedIn4S(limitPerS), worst, worstFaults, use.toFixed(2), spread, messages.toFixed(2), bytes.toFixed(0)]);
			}
		}
	}
}

const many = await playFleet({
	hosts: 300, endpoints: 10, limitPerS: 5, demand: 2, seconds: 24, seed: 101,
});
console.log(`10 limited endpoints at 300 hosts: ${(many.messages / 24 / 300).toFixed(2)} messages and ${(many.bytes / 24 / 300).toFixed(0)} bytes a second and host`);
