/** `npm run bench`: cost of single decisions in microseconds, for fleets of 8, 64 and 350 hosts. */
import process from 'node:process';
import {bundle as bundleSchema, type Bundle} from '@gatehead/schema/bundle';
import {type LeaseRequest, type MemberRecord} from '@gatehead/schema/peer-message';
import {deriveCells, selectKeeper, type Cell} from '../core/cell.js';
import {HostRings} from '../core/lookup.js';
import {Members} from '../core/members.js';
import {Scheduler} from '../scheduler/scheduler.js';
import {seedRandom} from '../utils/random.js';

const seed = 1;
const warmupRounds = 2000;
const rounds = 20_000;
const maxActiveLeases = 50;
const tokenDigest = 'ab'.repeat(32);
const halls = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6'];
const sizes = [{hosts: 8, replicas: 13}, {hosts: 64, replicas: 293}, {hosts: 350, replicas: 1600}] as const;

function makeBundle(replicas: number): Bundle {
	const models = Array.from({length: Math.min(11, Math.ceil(replicas / 13))}, (_, index) => `m${index}`);
	return bundleSchema.parse({
		deployment: 'bench',
		version: 1,
		models: models.map(name => ({
			name, version: 'v', windowTokens: 32_768, kvBytesPerToken: 131_072,
		})),
		engines: Array.from({length: replicas}, (_, index) => ({
			name: `e${index}`, hall: halls[index % halls.length], address: '127.0.0.1:1', pool: 'p', role: Math.floor(index / models.length) % 3 === 0 ? 'prefill' : 'decode', model: models[index % models.length], slots: 8,
		})),
		callers: [{
			name: 'c', member: 'm', priority: 0, share: 1, tokenDigest,
		}],
		rules: {objective: 'goodput', targets: [{priority: 0, ttftMs: 530, tokenMs: 74}]},
	});
}

function makeMembers(hosts: number): MemberRecord[] {
	return Array.from({length: hosts}, (_, index) => ({
		host: `host-${index}`, hall: halls[index % halls.length] ?? '', region: 'r', incarnation: 1, counter: 0, state: 'alive', callerAddress: '127.0.0.1:1', peerAddress: '127.0.0.1:2', adminAddress: '127.0.0.1:3', load: (index % 4) / 4,
	}));
}

function makeScheduler(cell: Cell): Scheduler {
	const scheduler = new Scheduler({
		engines: cell.engines, kvBytesPerToken: 131_072, objective: 'goodput', random: seedRandom(seed), shareOf: () => 1, limitOf: () => undefined, isLeaving: () => false,
	});
	for (const {name, role, slots} of cell.engines) {
		scheduler.report({
			name, role, fence: 0, models: [], slots, streams: [], results: [], queued: 0, tokenMs: 28, lagMs: 0, cacheEvents: [],
		}, 0);
	}

	return scheduler;
}

function makeAsk(number: number): LeaseRequest {
	return {
		request: `r${number}`, attempt: 1, caller: `c${number % 40}`, priority: number % 3, promptTokens: 1000, maxTokens: 200, blocks: [], slackMs: 530, accepted: false,
	};
}

/** Returns a function that asks for one lease and makes the decisions that are due, while other requests wait and hold slots as at peak load. */
function makeDecision(cell: Cell): () => void {
	const scheduler = makeScheduler(cell);
	let number = 0;
	const activeLeases: string[] = [];
	return () => {
		const now = number * 5;
		scheduler.ask(makeAsk(number), now);
		number += 1;
		for (const decision of scheduler.decide(now)) {
			if (decision.kind === 'prefill') {
				scheduler.prefillFinished(`${decision.request} ${decision.attempt}`, 800, now);
			} else if (decision.kind === 'decode') {
				activeLeases.push(`${decision.request} ${decision.attempt}`);
			}
		}

		if (activeLeases.length > maxActiveLeases) {
			scheduler.release(activeLeases.shift() ?? '', 100, now);
		}
	};
}

function measureMicroseconds(run: () => void): number {
	for (let round = 0; round < warmupRounds; round += 1) {
		run();
	}

	const start = performance.now();
	for (let round = 0; round < rounds; round += 1) {
		run();
	}

	return (performance.now() - start) * 1000 / rounds;
}

process.stdout.write('  hosts  replicas   decision µs   lookup µs   keeper µs   neighbours µs\n');
for (const {hosts, replicas} of sizes) {
	const members = makeMembers(hosts);
	const cells = deriveCells(makeBundle(replicas));
	const table = new Members(members[0] ?? makeMembers(1)[0]!);
	for (const member of members) {
		table.merge(member);
	}

	const [cell] = cells;
	if (cell === undefined) {
		continue;
	}

	const rings = new HostRings(members);
	const keepers = new Set(cells.filter(each => each.model === cell.model).map(each => selectKeeper(each, members) ?? ''));
	let number = 0;
	const costs = [
		measureMicroseconds(makeDecision(cell)),
		measureMicroseconds(() => {
			number += 1;
			rings.order({
				caller: `c${number}`, client: '127.0.0.1', hall: 'h1', keepers,
			});
		}),
		measureMicroseconds(() => {
			selectKeeper(cell, members);
		}),
		measureMicroseconds(() => {
			table.neighbours();
		}),
	];
	process.stdout.write(`${String(hosts).padStart(7)}${String(replicas).padStart(10)}${costs.map((cost, index) => cost.toFixed(1).padStart(index === 0 ? 14 : 12)).join('')}\n`);
}
