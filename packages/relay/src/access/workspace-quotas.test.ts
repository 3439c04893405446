/** A workspace's quota over fleets of the real modules whose hosts restart, alone, together, or on one side of a network partition. */
import {setImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {ignore} from '@gatehead/policy/utils/ignore';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {rankCoordinators} from '@gatehead/policy/relay/quota-coordinator';
import {pick, seedRandom} from '@gatehead/policy/utils/random';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type RelayMessage} from '@gatehead/schema/relay-message';
import {relaySettings} from '@gatehead/schema/relay-settings';
import {type Workspace} from '@gatehead/schema/routing';
import {expect} from 'earl';
import {RoutingState} from '../core/routing-state.js';
import {KnownHosts} from '../peer/known-hosts.js';
import {Metrics} from '../utils/metrics.js';
import {WorkspaceQuotas} from './workspace-quotas.js';

const stepMs = 10;
const transitMs = 5;
/** Time before the restart, long enough to use up the quota of a window, and the time that is played after it, in milliseconds. */
const warmUpMs = 10_000;
const playMs = 12_000;
/** Time for which a host is down, in milliseconds. */
const restartMs = 2000;
/** Time after which hosts miss one that is lost, in milliseconds. */
const noticedMs = 2000;
const seedCount = 3;
/** Demand, as a multiple of the quota's rate, and the cost of a request. */
const demand = 7;
const cost = 5000;
const ratePerS = 131_000;
const metrics = new Metrics(undefined, {});
const settings = relaySettings.parse({
	host: 'any', hall: 'one', region: 'r', listen: {
		caller: '127.0.0.1:1', ready: '127.0.0.1:2', lookup: '127.0.0.1:3', peer: '127.0.0.1:4',
	}, access: {quotaWindowMs: 8000, quotaExcess: 0.25, quotaAllowance: 140_000},
});
const {access} = settings;
const workspace: Workspace = {
	name: 'w', keyDigests: [], priority: 0, quota: {
		unit: 'tokens', ratePerS, burst: ratePerS, unnamedTokens: 1,
	},
};
const limit = (ratePerS * access.quotaWindowMs / 1000) + ratePerS;
const bound = (limit * (1 + access.quotaExcess)) + access.quotaAllowance;

const record: MemberRecord = {
	host: '', hall: 'one', region: 'r', incarnation: 1, counter: 0, state: 'alive', callerAddress: '', peerAddress: '', adminAddress: '', load: 0,
};

type Host = {
	readonly name: string;
	side: number;
	/** Time from which it serves and knows the other hosts of its side. */
	servesFrom: number;
	meetsFrom: number;
	/** Hosts that it has heard of, and their records as it last saw them. */
	heard: Set<string>;
	members: readonly MemberRecord[];
	knownHosts: KnownHosts;
	quotas: WorkspaceQuotas;
};

/** A fleet that shares one workspace's quota. */
class QuotaFleet {
	readonly clock = new ManualClock();
	readonly hosts: Host[] = [];
	readonly uses: Array<{readonly at: number; readonly cost: number}> = [];
	/** Peer addresses that all hosts are configured with. */
	seeds: readonly string[];
	readonly #random = seedRandom(7);
	#due = 0;

	constructor(size: number) {
		const names = Array.from({length: size}, (_, index) => `host-${index}`);
		this.seeds = names.slice(0, seedCount);
		for (const name of names) {
			this.hosts.push({
				name, side: 0, servesFrom: 0, meetsFrom: 0, heard: new Set(names), members: [], ...this.#start(name),
			});
		}

		this.updateViews();
	}

	/** Restarts a host, which knows nobody until it has met others. */
	restart(host: Host, aloneMs: number): void {
		const now = this.clock.now();
		host.servesFrom = now + restartMs;
		host.meetsFrom = now + restartMs + aloneMs;
		host.heard = new Set([host.name]);
		this.clock.after(restartMs, () => {
			Object.assign(host, this.#start(host.name));
			this.updateViews();
		});
		this.clock.after(restartMs + aloneMs, () => {
			this.updateViews();
		});
	}

	async run(durationMs: number): Promise<void> {
		const until = this.clock.now() + durationMs;
		while (this.clock.now() < until) {
			this.clock.advance(stepMs);
			for (this.#due += demand * ratePerS * stepMs / 1000 / cost; this.#due >= 1; this.#due -= 1) {
				void this.#request();
			}

			await setImmediate();
		}
	}

	/** Updates what hosts know of each other, as membership would. */
	updateViews(): void {
		const now = this.clock.now();
		const met = this.hosts.filter(({meetsFrom}) => meetsFrom <= now);
		for (const host of met) {
			for (const other of met.filter(({side}) => side === host.side)) {
				for (const name of other.heard) {
					host.heard.add(name);
				}
			}
		}

		for (const host of this.hosts) {
			host.members = this.#listMembers(host);
			host.knownHosts.update(host.members);
			host.quotas.handleMembershipChange();
		}
	}

	#listMembers(self: Host): MemberRecord[] {
		return this.hosts.filter(({name}) => self.heard.has(name)).map(host => ({
			...record, host: host.name, peerAddress: host.name, state: this.#reaches(self, host) ? 'alive' : 'dead', census: {digest: '', isFirstStart: false, isEstablished: this.#isEstablished(host)},
		}));
	}

	/** Whether a host has been in the fleet for long. */
	#isEstablished({name, knownHosts, meetsFrom}: Host): boolean {
		return this.hosts.some(host => host.name === name) && meetsFrom === 0 && knownHosts.isFleetKnown;
	}

	#reaches(from: Host, to: Host): boolean {
		const now = this.clock.now();
		return from === to || (from.side === to.side && from.meetsFrom <= now && to.meetsFrom <= now);
	}

	async #request(): Promise<void> {
		const host = pick(this.#random, this.hosts);
		if (host === undefined || host.servesFrom > this.clock.now()) {
			return;
		}

		const {kind} = await host.quotas.charge(workspace, cost);
		if (kind === 'granted') {
			this.uses.push({at: this.clock.now(), cost});
		}
	}

	#start(name: string): Pick<Host, 'knownHosts' | 'quotas'> {
		const {clock} = this;
		const context = {
			clock, log: ignore, random: this.#random, settings, metrics, self: {host: name, incarnation: clock.now() + 1},
		};
		const routing = new RoutingState(context, ignore);
		routing.offer({
			version: 1, routes: [], services: [], workspaces: [workspace], callerLimits: {
				headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1,
			},
		}, 'test');
		const listMembers = () => this.hosts.find(host => host.name === name)?.members ?? [];
		const knownHosts = new KnownHosts({clock, listSeeds: () => this.seeds, listMembers});
		const quotas = new WorkspaceQuotas({
			context,
			routing,
			renew: ignore,
			send: (to, message) => {
				this.#send(name, to, message);
			},
			listHeard: () => listMembers().filter(({state}) => state === 'alive').map(({host}) => host),
			countKnown: () => knownHosts.count(),
			isFleetKnown: () => knownHosts.isFleetKnown,
		});
		return {knownHosts, quotas};
	}

	#send(from: string, to: string, message: RelayMessage): void {
		this.clock.after(transitMs, () => {
			const sender = this.hosts.find(({name}) => name === from);
			const receiver = this.hosts.find(({name}) => name === to);
			if (sender === undefined || receiver === undefined || !this.#reaches(sender, receiver)) {
				return;
			}

			if (message.kind === 'quotaWanted') {
				receiver.quotas.handleRequest(from, message);
			} else if (message.kind === 'quotaGranted') {
				receiver.quotas.handleGrant(message);
			}
		});
	}
}

type Case = {
	readonly name: string;
	readonly hosts: number;
	readonly restart: (fleet: QuotaFleet) => void;
	/** Minimum use after the restart, as a fraction of the quota's rate. */
	readonly leastServed: number;
};

function restartAll(aloneMs: number): Case['restart'] {
	return fleet => {
		for (const host of fleet.hosts) {
			fleet.restart(host, aloneMs);
		}
	};
}

/** Separates some hosts from the others, which notice it at once, and restarts them. */
function restartApart(count: number): Case['restart'] {
	return fleet => {
		for (const host of fleet.hosts.slice(-count)) {
			host.side = 1;
			fleet.restart(host, count === 1 ? playMs : 0);
		}

		fleet.updateViews();
	};
}

/** Kills the highest-ranked hosts permanently. The other hosts detect the failure after a delay. */
function loseKeepers(count: number): Case['restart'] {
	return fleet => {
		const keepers = new Set(rankCoordinators(workspace.name, fleet.hosts.map(({name}) => name)).slice(0, count));
		for (const host of fleet.hosts.filter(({name}) => keepers.has(name))) {
			host.servesFrom = Number.POSITIVE_INFINITY;
			host.meetsFrom = Number.POSITIVE_INFINITY;
		}

		fleet.clock.after(noticedMs, () => {
			fleet.updateViews();
		});
	};
}

const cases: readonly Case[] = [
	{
		name: 'all hosts restart and meet at once', hosts: 24, restart: restartAll(0), leastServed: 0.7,
	},
	{
		name: 'all hosts restart and meet after a second', hosts: 24, restart: restartAll(1000), leastServed: 0.6,
	},
	{
		name: 'all hosts of a large fleet restart and meet after a second', hosts: 88, restart: restartAll(1000), leastServed: 0.6,
	},
	{
		name: 'a host restarts and reaches no other', hosts: 4, restart: restartApart(1), leastServed: 0.7,
	},
	{
		name: 'hosts restart that reach only each other', hosts: 8, restart: restartApart(4), leastServed: 0.45,
	},
	{
		name: 'the keeper is lost, and missed after two seconds', hosts: 8, restart: loseKeepers(1), leastServed: 0.6,
	},
	{
		name: 'the keeper and its stand-in are lost, and missed after two seconds', hosts: 8, restart: loseKeepers(2), leastServed: 0.5,
	},
	{
		name: 'the keeper and its stand-in are lost in a large fleet', hosts: 88, restart: loseKeepers(2), leastServed: 0.5,
	},
	{
		name: 'the keeper restarts while most seeds are outdated', hosts: 8, restart(fleet) {
			fleet.seeds = ['host-0', 'gone-1', 'gone-2'];
			const [keeper] = rankCoordinators(workspace.name, fleet.hosts.map(({name}) => name));
			for (const host of fleet.hosts.filter(({name}) => name === keeper)) {
				fleet.restart(host, 200);
			}
		}, leastServed: 0.6,
	},
	{
		name: 'a host restarts', hosts: 8, restart(fleet) {
			for (const host of fleet.hosts.slice(-1)) {
				fleet.restart(host, 200);
			}
		}, leastServed: 0.95,
	},
];

/** The largest use in any window. */
function mostInWindow(uses: QuotaFleet['uses']): number {
	let most = 0;
	let sum = 0;
	let first = 0;
	for (const use of uses) {
		sum += use.cost;
		while ((uses[first]?.at ?? 0) <= use.at - access.quotaWindowMs) {
			sum -= uses[first]?.cost ?? 0;
			first += 1;
		}

		most = Math.max(most, sum);
	}

	return most;
}

describe('quotas of hosts that restart', () => {
	for (const {name, hosts, restart, leastServed} of cases) {
		it(name, async () => {
			const fleet = new QuotaFleet(hosts);
			await fleet.run(warmUpMs);
			restart(fleet);
			await fleet.run(playMs);
			const served = fleet.uses.filter(({at}) => at > warmUpMs + restartMs).reduce((sum, use) => sum + use.cost, 0);
			const most = mostInWindow(fleet.uses);
			const share = served / (ratePerS * (playMs - restartMs) / 1000);
			expect({most: most <= bound ? 'within' : most / bound, served: share >= leastServed ? 'enough' : share}).toEqual({most: 'within', served: 'enough'});
		});
	}

	it('a host that does not know the fleet says so, not that a quota is used up', async () => {
		const fleet = new QuotaFleet(4);
		restartApart(1)(fleet);
		await fleet.run(restartMs + stepMs);
		const decisions = await Promise.all(fleet.hosts.map(async ({quotas}) => quotas.charge(workspace, 1)));
		expect(decisions.map(({kind}) => kind === 'unknown')).toEqual([false, false, false, true]);
	});
});
