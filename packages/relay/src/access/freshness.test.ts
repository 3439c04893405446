/** Catalogue: what a host may believe of its list of keys, on a clock that the test moves: silence, late answers, peers that know no more, a host that stands still. */
import {setImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {ignore} from '@gatehead/policy/utils/ignore';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {seedRandom} from '@gatehead/policy/utils/random';
import {relaySettings, type RelaySettings} from '@gatehead/schema/relay-settings';
import {type RelayMessage} from '@gatehead/schema/relay-message';
import {type Routing} from '@gatehead/schema/routing';
import {expect} from 'earl';
import {RoutingState} from '../core/routing-state.js';
import {Metrics} from '../utils/metrics.js';
import {Freshness} from './freshness.js';

const revocationMs = 5000;
const settings = relaySettings.parse({
	host: 'self', hall: 'one', region: 'r', listen: {
		caller: '127.0.0.1:1', ready: '127.0.0.1:2', lookup: '127.0.0.1:3', peer: '127.0.0.1:4',
	}, access: {revocationMs},
});

const withoutKeys = relaySettings.shape.access.parse({});

function makeRouting(version: number): Routing {
	return {
		version, routes: [], services: [], workspaces: [], callerLimits: {
			headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1,
		},
	};
}

/** What a peer answers: the age of its evidence, nothing known, a newer version, or silence. */
type PeerAnswer = {readonly ageMs?: number; readonly routing?: Routing} | 'silent';

class Scene {
	readonly clock = new ManualClock();
	readonly sent: RelayMessage[] = [];
	readonly renewed: string[] = [];
	readonly routing: RoutingState;
	readonly freshness: Freshness;
	/** Whether the directory answers. */
	isUp = false;
	peers = new Map<string, PeerAnswer>();

	constructor(peers: ReadonlyMap<string, PeerAnswer> = new Map(), access: RelaySettings['access'] = settings.access) {
		const {clock} = this;
		this.peers = new Map(peers);
		const context = {
			clock, log: ignore, random: seedRandom(1), settings: {...settings, access}, metrics: new Metrics(undefined, {}), self: {host: 'self', incarnation: 1},
		};
		this.routing = new RoutingState(context, ignore);
		this.routing.offer(makeRouting(1), 'test');
		this.freshness = new Freshness({
			context,
			routing: this.routing,
			watch: () => ({confirm: async () => this.#confirm()}),
			listConfirmers: () => [...this.peers.keys()],
			renew: host => {
				this.renewed.push(host);
			},
			send: (host, message) => {
				this.#hear(host, message);
			},
		});
	}

	/** Lets time pass in small steps, as a process that runs sees it. */
	async run(milliseconds: number): Promise<void> {
		for (let passed = 0; passed < milliseconds; passed += 20) {
			this.clock.advance(20);
			await settle();
		}
	}

	/** A request with a known key arrives; whether it may run. */
	async arrive(): Promise<boolean> {
		const arrivedAt = this.clock.now();
		const proving = this.freshness.proveKeys(arrivedAt, 80);
		await settle();
		await this.run(100);
		await proving;
		return this.freshness.isProven(arrivedAt);
	}

	async #confirm(): Promise<void> {
		if (this.isUp) {
			this.routing.confirm(this.clock.now());
		}
	}

	#hear(host: string, message: RelayMessage): void {
		this.sent.push(message);
		const answer = this.peers.get(host);
		if (message.kind === 'freshnessWanted' && answer !== undefined && answer !== 'silent') {
			this.freshness.hear(host, {kind: 'freshness', ask: message.ask, ...answer});
		}
	}
}

async function settle(): Promise<void> {
	for (let turn = 0; turn < 10; turn += 1) {
		await setImmediate();
	}
}

type Case = {
	readonly name: string;
	readonly isUp: boolean;
	readonly peers: ReadonlyArray<readonly [string, PeerAnswer]>;
	readonly isProven: boolean;
	/** Whether others lack evidence too, as far as the host was told. */
	readonly isShared?: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'the directory alone proves it', isUp: true, peers: [], isProven: true,
	},
	{
		name: 'a reader that knows proves it', isUp: false, peers: [['reader', {ageMs: 300}]], isProven: true,
	},
	{
		name: 'a silent reader is passed over', isUp: false, peers: [['silent', 'silent'], ['reader', {ageMs: 300}]], isProven: false,
	},
	{
		name: 'a reader that knows no more proves nothing', isUp: false, peers: [['reader', {}]], isProven: false, isShared: true,
	},
	{
		name: 'a reader whose evidence is as old proves nothing', isUp: false, peers: [['reader', {ageMs: 5500}]], isProven: false, isShared: true,
	},
	{
		name: 'nobody answers', isUp: false, peers: [['reader', 'silent']], isProven: false,
	},
];

describe('evidence of keys', () => {
	for (const {
		name, isUp, peers, isProven, isShared = false,
	} of cases) {
		it(`after long silence: ${name}`, async () => {
			const scene = new Scene();
			scene.isUp = isUp;
			scene.peers = new Map(peers);
			await scene.run(6000);
			expect(await scene.arrive()).toEqual(isProven);
			await scene.run(1000);
			expect(scene.freshness.isShared).toEqual(isShared);
		});
	}

	it('a silent reader costs the first request its turn, not those behind', async () => {
		const scene = new Scene();
		scene.peers = new Map<string, PeerAnswer>([['silent', 'silent'], ['reader', {ageMs: 300}]]);
		await scene.run(6000);
		expect(await scene.arrive()).toEqual(false);
		await scene.run(400);
		expect([await scene.arrive(), scene.renewed]).toEqual([true, ['silent']]);
	});

	it('counts from the asking: an answer that was long on its way is as old as its question', async () => {
		const scene = new Scene();
		scene.peers = new Map<string, PeerAnswer>([['reader', 'silent']]);
		await scene.run(6000);
		const askedAt = scene.clock.now();
		void scene.freshness.proveKeys(askedAt, 80);
		await scene.run(140);
		scene.freshness.hear('reader', {kind: 'freshness', ask: 1, ageMs: 200});
		await settle();
		expect(scene.routing.confirmedAt).toEqual(askedAt - 200);
	});

	it('a host that stood still lets nothing in on what it knew before', async () => {
		const scene = new Scene();
		scene.isUp = true;
		expect(await scene.arrive()).toEqual(true);
		scene.isUp = false;
		scene.clock.advance(revocationMs + 1000);
		expect(await scene.arrive()).toEqual(false);
	});

	it('lapses where nobody answers, is said once, and comes back', async () => {
		const scene = new Scene();
		scene.isUp = true;
		expect(await scene.arrive()).toEqual(true);
		scene.isUp = false;
		await scene.run(4600);
		expect([await scene.arrive(), scene.freshness.isLost]).toEqual([true, false]);
		await scene.run(400);
		expect([await scene.arrive(), scene.freshness.isLost]).toEqual([false, true]);
		scene.isUp = true;
		await scene.run(400);
		expect([await scene.arrive(), scene.freshness.isLost]).toEqual([true, false]);
	});

	it('a newer configuration comes with the answer', async () => {
		const scene = new Scene();
		scene.peers = new Map<string, PeerAnswer>([['reader', {ageMs: 10, routing: makeRouting(7)}]]);
		expect(await scene.arrive()).toEqual(true);
		expect(scene.routing.version).toEqual(7);
	});

	it('a refusal for good is proved where keys have no bound, and asks no more than once for many', async () => {
		const scene = new Scene(new Map([['reader', {ageMs: 10}]]), withoutKeys);
		await scene.run(6000);
		const arrivedAt = scene.clock.now();
		expect([scene.freshness.mayRefuse(arrivedAt), scene.freshness.isProven(arrivedAt)]).toEqual([false, true]);
		await Promise.all(Array.from({length: 50}, async () => scene.freshness.proveRefusal(arrivedAt, 400)));
		expect([scene.freshness.mayRefuse(arrivedAt), scene.sent.length]).toEqual([true, 1]);
		await scene.run(1000);
		expect(scene.freshness.mayRefuse(scene.clock.now())).toEqual(true);
		await scene.run(200);
		expect(scene.freshness.mayRefuse(scene.clock.now())).toEqual(false);
	});

	it('nor is anything refused for good where nobody can tell, or a newer version cannot be read', async () => {
		const scene = new Scene(new Map([['silent', 'silent']]), withoutKeys);
		await scene.run(6000);
		const arrivedAt = scene.clock.now();
		const proving = scene.freshness.proveRefusal(arrivedAt, 400);
		await scene.run(500);
		await proving;
		expect(scene.freshness.mayRefuse(arrivedAt)).toEqual(false);
		scene.isUp = true;
		scene.routing.fallBehind();
		await scene.run(400);
		const later = scene.freshness.proveRefusal(scene.clock.now(), 400);
		await scene.run(500);
		await later;
		expect(scene.freshness.mayRefuse(arrivedAt)).toEqual(false);
	});

	it('a version that cannot be read ends all evidence until a newer one can', async () => {
		const scene = new Scene();
		scene.isUp = true;
		scene.routing.fallBehind();
		expect(await scene.arrive()).toEqual(false);
		scene.routing.offer(makeRouting(2), 'test');
		await scene.run(400);
		expect(await scene.arrive()).toEqual(true);
	});

	it('many requests at once bring one question', async () => {
		const scene = new Scene();
		scene.peers = new Map<string, PeerAnswer>([['reader', {ageMs: 10}]]);
		await scene.run(6000);
		await Promise.all(Array.from({length: 50}, async () => scene.freshness.proveKeys(scene.clock.now(), 80)));
		expect(scene.sent.length).toEqual(1);
	});

	it('as a reader it asks the directory before it answers from old evidence, and says nothing that it does not know', async () => {
		const scene = new Scene();
		scene.freshness.hearWanted('peer', {
			kind: 'freshnessWanted', ask: 9, routingVersion: 1, mostAgeMs: 1800,
		});
		await settle();
		scene.isUp = true;
		scene.freshness.hearWanted('peer', {
			kind: 'freshnessWanted', ask: 10, routingVersion: 0, mostAgeMs: 1800,
		});
		await settle();
		expect(scene.sent).toEqual([{kind: 'freshness', ask: 9}, {
			kind: 'freshness', ask: 10, ageMs: 0, routing: makeRouting(1),
		}]);
	});
});
