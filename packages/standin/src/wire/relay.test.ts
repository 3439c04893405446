/** Catalogue: what callers and replicas see when replicas fail, with real relays on the platform's stand-ins. */
import {
	after, before, describe, it,
} from 'node:test';
import {relayStatus} from '@gatehead/schema/relay-status';
import {expect} from 'earl';
import {startProxy, type FaultyProxy} from '../soak/faulty-proxy.js';
import {sendRequest, type CallerAnswer} from './client.js';
import {type ReplicaFault, type Run} from './replica-server.js';
import {
	makeConfig, startWorld, until, type World,
} from './world.js';

const parts = {
	hosts: 1, plain: 2, prefill: 1, decode: 2, slots: 8,
};
const wholeStream = Array.from({length: 6}, (_, index) => `id: ${index + 1}\ndata: piece ${index + 1}\n\n`).join('');

type Case = {
	readonly name: string;
	readonly path: string;
	/** Faults of the plain replicas, the prefill replica and the decode replicas, in this order. */
	readonly faults: readonly [ReplicaFault, ReplicaFault, ReplicaFault, ReplicaFault, ReplicaFault];
	/** Statuses that may come; 0: a connection closed without an answer. */
	readonly statuses: readonly number[];
	readonly isWhole?: boolean;
	readonly body?: string;
	/** Runs that may come of it. */
	readonly runs: readonly number[];
};

const fine = ['none', 'none', 'none', 'none', 'none'] as const;

function plainFaults(left: ReplicaFault, right: ReplicaFault): Case['faults'] {
	return [left, right, 'none', 'none', 'none'];
}

function modelFaults(prefill: ReplicaFault, left: ReplicaFault, right: ReplicaFault): Case['faults'] {
	return ['none', 'none', prefill, left, right];
}

const cases: readonly Case[] = [
	{
		name: 'a plain call is answered', path: '/once/1', faults: fine, statuses: [200], runs: [1],
	},
	{
		name: 'a full replica is passed over', path: '/once/1', faults: plainFaults('full', 'none'), statuses: [200], runs: [1],
	},
	{
		name: 'two full replicas: refused, and not run', path: '/once/1', faults: plainFaults('full', 'full'), statuses: [503], runs: [0],
	},
	{
		name: 'a reset may have run: no second run, no promise', path: '/once/1', faults: plainFaults('reset', 'reset'), statuses: [502], runs: [1],
	},
	{
		name: 'a silent replica: no second run, no promise', path: '/once/1', faults: plainFaults('silent', 'silent'), statuses: [504], runs: [1],
	},
	{
		name: 'the replica\'s own failure is passed on', path: '/once/1', faults: plainFaults('error', 'error'), statuses: [500], body: 'own failure', runs: [1],
	},
	{
		name: 'an answer to another request reaches nobody', path: '/once/1', faults: plainFaults('foreign', 'foreign'), statuses: [502], runs: [1],
	},
	{
		name: 'a success without the replica\'s mark is none', path: '/once/1', faults: plainFaults('unmarked', 'unmarked'), statuses: [502], runs: [1],
	},
	{
		name: 'a 503 that does not say "not run" is no promise', path: '/once/1', faults: plainFaults('emptyPromise', 'emptyPromise'), statuses: [502], runs: [1],
	},
	{
		name: 'an answer that is reset without a length is not whole', path: '/once/1', faults: plainFaults('unframedReset', 'unframedReset'), statuses: [502], runs: [1],
	},
	{
		name: 'a second answer behind the first changes nothing', path: '/once/1', faults: plainFaults('doubled', 'doubled'), statuses: [200], runs: [1],
	},
	{
		name: 'a repeatable call goes on to the other replica', path: '/repeatable/1', faults: plainFaults('reset', 'none'), statuses: [200], runs: [1, 2],
	},
	{
		name: 'a repeatable call that fails everywhere fails', path: '/repeatable/1', faults: plainFaults('error', 'error'), statuses: [500], runs: [2],
	},
	{
		name: 'a repeatable call does not wait for a silent replica', path: '/repeatable/1', faults: plainFaults('silent', 'none'), statuses: [200], runs: [1, 2],
	},
	{
		name: 'a stream is passed on whole', path: '/stream/1', faults: fine, statuses: [200], isWhole: true, body: wholeStream, runs: [1],
	},
	{
		name: 'without a prefill replica the decode replica reads the prompt', path: '/stream/1', faults: modelFaults('full', 'none', 'none'), statuses: [200], isWhole: true, body: wholeStream, runs: [1],
	},
	{
		name: 'a prefill that breaks off costs nothing', path: '/stream/1', faults: modelFaults('reset', 'none', 'none'), statuses: [200], isWhole: true, body: wholeStream, runs: [1],
	},
	{
		name: 'no memory anywhere: refused, and not run', path: '/stream/1', faults: modelFaults('none', 'full', 'full'), statuses: [503], runs: [0],
	},
	{
		name: 'a stream that may run once is not run again', path: '/stream/1', faults: modelFaults('none', 'reset', 'reset'), statuses: [502], runs: [1],
	},
	{
		name: 'a stream that breaks off does not look whole', path: '/stream/1', faults: modelFaults('none', 'cut', 'cut'), statuses: [200], isWhole: false, body: 'id: 1\ndata: x\n\n', runs: [1],
	},
	{
		name: 'a stream that may continue does so after its last whole event', path: '/resumable/1', faults: modelFaults('none', 'cut', 'none'), statuses: [200], isWhole: true, runs: [1, 2],
	},
	{
		name: 'a stream that may continue is not tried without end', path: '/resumable/1', faults: modelFaults('none', 'cut', 'cut'), statuses: [200], isWhole: false, runs: [2],
	},
	{
		name: 'an unknown path is nobody\'s', path: '/unknown/1', faults: fine, statuses: [404], runs: [0],
	},
];

function setFaults({replicas}: World, faults: Case['faults']): void {
	for (const [index, fault] of faults.entries()) {
		const replica = replicas[index];
		if (replica !== undefined) {
			replica.fault = fault;
		}
	}
}

function isStreamContinued(runs: readonly Run[], body: string): boolean {
	const ids = [...body.matchAll(/^id: (?<id>\d+)$/gmv)].map(({groups}) => Number(groups?.id));
	return ids.every((id, index) => id === index + 1) && (runs.length < 2 || runs[1]?.lastEventId === '1');
}

describe('relay on the platform', () => {
	for (const {name, path, faults, statuses, isWhole, body, runs} of cases) {
		it(name, async () => {
			const world = await startWorld(parts);
			try {
				setFaults(world, faults);
				const answer: CallerAnswer = await sendRequest({address: world.relays[0]?.caller ?? '', id: 'r1', path});
				expect(statuses).toInclude(answer.status);
				expect(runs).toInclude(world.log.runs.length);
				expect(body === undefined || answer.body === body).toEqual(true);
				expect(isWhole === undefined || answer.isWhole === isWhole).toEqual(true);
				expect(!path.startsWith('/resumable/') || isStreamContinued(world.log.runs, answer.body)).toEqual(true);
				expect(world.log.runs.every(run => run.target === path && run.body === 'question')).toEqual(true);
				expect(answer.status < 300 || answer.status >= 500 || answer.headers['server-seal'] === undefined).toEqual(true);
				expect(answer.status !== 503 || Number(answer.headers['retry-after']) > 0).toEqual(true);
				if (answer.status === 200 && answer.isWhole && body === undefined && !path.startsWith('/resumable/')) {
					expect(answer.body).toEqual('whole answer to r1');
				}
			} finally {
				await world.stop();
			}
		});
	}
});

describe('relay on the platform, without a retry budget', () => {
	it('a replica\'s own failure of a stream that may continue is passed on whole', async () => {
		const world = await startWorld({...parts, retryAllowance: 0});
		try {
			setFaults(world, modelFaults('none', 'error', 'error'));
			const answer = await sendRequest({address: world.relays[0]?.caller ?? '', id: 'r1', path: '/resumable/1'});
			expect([answer.status, answer.isWhole, answer.body]).toEqual([500, true, 'own failure']);
			expect(world.log.runs.length).toEqual(1);
		} finally {
			await world.stop();
		}
	});

	it('tries that broke off under one endpoint after another are told to be about the same content', async () => {
		const world = await startWorld({...parts, hosts: 2});
		try {
			setFaults(world, modelFaults('none', 'reset', 'reset'));
			for (const [index, {caller}] of world.relays.entries()) {
				await sendRequest({address: caller, id: `try-${index}`, path: '/stream/1'});
			}

			await sendRequest({
				address: world.relays[0]?.caller ?? '', id: 'other', path: '/stream/1', body: 'elsewhat',
			});
			const contents = world.lines.filter(({code, facts}) => code === 'runLost' && facts.step === 'decode').map(({facts}) => facts.content);
			expect([contents.length, new Set(contents).size, contents[0] === contents[1]]).toEqual([3, 2, true]);
		} finally {
			await world.stop();
		}
	});

	it('connections to endpoints are counted', async () => {
		const world = await startWorld(parts);
		try {
			const countConnections = async () => Number(/^gatehead_endpoint_connections_total (?<count>\d+)$/mv.exec(await world.relays[0]?.relay.context.metrics.toText() ?? '')?.groups?.count);
			// After its start, the host asks each engine what it holds
			await until(() => world.lines.filter(({code}) => code === 'engineSurveyed').length === parts.decode);
			const before = await countConnections();
			await sendRequest({address: world.relays[0]?.caller ?? '', id: 'r1', path: '/once/1'});
			expect(await countConnections() - before).toEqual(1);
		} finally {
			await world.stop();
		}
	});
});

describe('relay on the platform, cut off from the store in silence', () => {
	it('a host whose watch says nothing hears of a leaving replica from its peers', {timeout: 20_000}, async () => {
		let path: FaultyProxy | undefined;
		const world = await startWorld({
			...parts, hosts: 2, watchMs: 600_000, async storePath(store, host) {
				if (host > 0) {
					return store;
				}

				path = await startProxy(store);
				return path.address;
			},
		});
		const [leaving] = world.replicas;
		try {
			if (path !== undefined && leaving !== undefined) {
				path.mode = 'silence';
				world.publish(leaving, 'draining');
				await until(() => world.relays.every(({relay}) => !relay.endpoints.book.isReady(leaving.id)));
			}

			const own = world.lines.filter(({host}) => host === 'host-0');
			const heard = own.findIndex(({facts: {change, source}}) => change === 'leaving' && source === 'host-1');
			const lost = own.findIndex(({code}) => code === 'directoryLost');
			expect(heard !== -1 && (lost === -1 || heard < lost)).toEqual(true);
		} finally {
			path?.close();
			await world.stop();
		}
	});
});

describe('relay on the platform, over time', () => {
	let world: World;
	before(async () => {
		world = await startWorld({...parts, hosts: 3});
	});
	after(async () => {
		await world.stop();
	});

	it('every host names all hosts to callers', async () => {
		const {lookup} = world.relays[2] ?? {lookup: ''};
		const answer = await sendRequest({
			address: lookup, id: 'l', method: 'GET', path: '/api/resolve?name=calls.example&region=r&zone=a', body: '',
		});
		const {addresses} = JSON.parse(answer.body) as {addresses: string[]}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the test's own words
		expect(addresses.toSorted()).toEqual(world.relays.map(({caller}) => caller).toSorted());
	});

	it('headers that the relay sets itself are not taken from callers', async () => {
		const answer = await sendRequest({
			address: world.relays[0]?.caller ?? '', id: 'forged', path: '/once/1', headers: {
				Stage: 'prefill', 'Expect-Instance': 'other', 'Kv-Source': '1.1.1.1:1/x', 'X-Own': 'kept',
			},
		});
		expect(answer.body).toEqual('whole answer to forged');
	});

	it('a caller that leaves ends the work for it', async () => {
		await sendRequest({
			address: world.relays[0]?.caller ?? '', id: 'leaver', path: '/stream/1', leaveAfterBytes: 1,
		});
		await until(() => world.log.closed.includes('leaver'));
		expect(world.log.runs.filter(({request}) => request === 'leaver').length).toEqual(1);
	});

	it('no prefill result is left behind', async () => {
		await until(() => world.log.results.size === 0);
		expect(world.log.results.size).toEqual(0);
	});

	it('a leaving replica gets nothing new', async () => {
		const [leaving] = world.replicas;
		if (leaving === undefined) {
			return;
		}

		world.publish(leaving, 'draining');
		await until(() => world.relays.every(({relay}) => !relay.endpoints.book.isReady(leaving.id)));
		const earlier = world.log.runs.filter(({replica}) => replica === leaving.id).length;
		for (let index = 0; index < 10; index += 1) {
			await sendRequest({address: world.relays[index % 3]?.caller ?? '', id: `d${index}`, path: '/once/1'});
		}

		expect(world.log.runs.filter(({replica}) => replica === leaving.id).length).toEqual(earlier);
		world.publish(leaving, 'ready');
	});

	it('a host that the store turns away hears of a configuration from its peers', async () => {
		world.store.setFault('busy');
		const [first] = world.relays;
		const routing = first?.relay.routing.table?.routing;
		expect(routing === undefined).toEqual(false);
		if (routing !== undefined) {
			first?.relay.routing.offer({...routing, version: 7}, 'test');
			first?.relay.fleet.announce();
		}

		await until(() => world.relays.every(({relay}) => relay.routing.version === 7));
		world.store.setFault('none');
	});

	it('operators see each relay, the others and the endpoints', () => {
		const {members, services, routingVersion} = relayStatus.parse(world.relays[1]?.relay.describe());
		expect(members.map(({state}) => state)).toEqual(['alive', 'alive', 'alive']);
		expect(services.map(({ready, paused}) => ready - paused)).toEqual([parts.prefill + parts.decode, parts.plain]);
		expect(routingVersion).toEqual(7);
	});

	it('an older configuration changes nothing', async () => {
		world.store.put('op/config', makeConfig(5));
		await until(() => world.lines.some(({code, facts}) => code === 'routingOlder' && facts.offered === 5));
		expect(world.relays.every(({relay}) => relay.routing.version === 7)).toEqual(true);
	});

	it('forgotten history is made up for by a list', async () => {
		world.store.compact();
		world.store.put('op/config', makeConfig(9));
		await until(() => world.relays.every(({relay}) => relay.routing.version === 9));
		expect(world.relays.length).toEqual(3);
	});

	it('each failed or refused request is told of in one line with its id and what decided', async () => {
		for (const replica of world.replicas) {
			replica.fault = 'full';
		}

		await sendRequest({address: world.relays[1]?.caller ?? '', id: 'told', path: '/once/1'});
		const line = world.lines.find(({facts}) => facts.request === 'told' && facts.outcome === 'refused');
		expect(line?.code).toEqual('endpointsDown');
		expect(line?.facts.sends).toEqual(2);
	});
});
