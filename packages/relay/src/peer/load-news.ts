/**
 * What hosts that share endpoints tell each other of every request: prompts
 * on their way, decode memory taken, requests that wait. In a large fleet
 * those are the hosts of one subset. Efficiency: news may be late or lost.
 */
import {GossipBudget} from '@gatehead/policy/relay/gossip-budget';
import {
	countSubsets, dealSubsets, wholeFleet, type Subset,
} from '@gatehead/policy/relay/subsets';
import {type Timer} from '@gatehead/policy/utils/clock';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type RelayMessage, type RelayMessageOf} from '@gatehead/schema/relay-message';
import {type RelayContext} from '../core/context.js';
import {isOff} from '../core/experiment.js';
import {type Endpoints} from '../upstream/endpoints.js';
import {WaitingCounts} from './waiting-counts.js';

/** Peers up to which counts of waiting requests are told at once: a count changes twice a request that waits, at 0.5 ms of processor time a message. */
const fewPeers = 12;
/** Time for which counts wait for another message to go with, among more peers, in milliseconds: about as long as a request waits before it is decided upon. */
const countsMs = 200;

/** What the news are made from, and where they go. */
export type LoadNewsParts = {
	readonly context: Pick<RelayContext, 'clock' | 'log' | 'self' | 'settings'>;
	readonly endpoints: Endpoints;
	readonly send: (host: string, message: RelayMessage) => void;
};

/** This host's subset, and the other hosts of it that can be reached. */
type Dealt = {
	readonly subset: Subset;
	readonly peers: readonly string[];
};

/** Tells the peers of this host's subset, and hears them. */
export class LoadNews {
	readonly #parts: LoadNewsParts;
	readonly #budget: GossipBudget;
	readonly #waiting = new WaitingCounts();
	/** Said with the next message. */
	#pending: RelayMessage[] = [];
	/** Counts of waiting requests to be said, by service: only the last one matters. */
	readonly #pendingCounts = new Map<string, number>();
	#members: readonly MemberRecord[] = [];
	/** What follows from the members; undefined until it is asked for. */
	#dealt: Dealt | undefined;
	/** As last written down. */
	#subset = wholeFleet;
	#timer: Timer | undefined;
	/** When the timer fires. */
	#dueAt = 0;

	constructor(parts: LoadNewsParts) {
		const {clock, settings} = parts.context;
		this.#parts = parts;
		this.#budget = new GossipBudget(settings.limits.loadMessages, clock.now());
	}

	/** The subset that this host belongs to. */
	get subset(): Subset {
		return this.#deal().subset;
	}

	/** Takes over which hosts there are. Dealing them takes a millisecond of processor time at 195 hosts, and a start of all brings as many changes: they are dealt when a request asks for the subset. */
	setMembers(members: readonly MemberRecord[]): void {
		this.#members = members;
		this.#dealt = undefined;
	}

	/** A prompt goes to a prefill replica now. */
	tellReading(endpoint: string, tokens: number): void {
		if (isOff(this.#parts.context, 'peerReadings')) {
			return;
		}

		this.#tell({kind: 'reading', endpoint, tokens});
	}

	/** Memory was reserved at a decode replica, to be held for about so long. */
	tellPlaced(endpoint: string, tokens: number, heldMs: number): void {
		if (isOff(this.#parts.context, 'peerUse')) {
			return;
		}

		this.#tell({
			kind: 'placed', endpoint, tokens, heldMs,
		});
	}

	/** So many requests wait for a service here. */
	tellWaiting(service: string, count: number): void {
		if (isOff(this.#parts.context, 'peerWaiting')) {
			return;
		}

		this.#pendingCounts.set(service, count);
		this.#schedule(this.#deal().peers.length > fewPeers ? countsMs : 0);
	}

	/** Requests that wait for a service at the peers. */
	waitingElsewhere(service: string): number {
		return this.#waiting.sum(service, this.#parts.context.clock.now());
	}

	/** A peer's prompt. */
	hearReading({endpoint, tokens}: RelayMessageOf<'reading'>): void {
		const {endpoints, context: {clock}} = this.#parts;
		endpoints.queueOf(endpoint).add(tokens, clock.now());
	}

	/** Memory that a peer has taken. */
	hearPlaced({endpoint, tokens, heldMs}: RelayMessageOf<'placed'>): void {
		this.#parts.endpoints.noteTaken(endpoint, tokens, heldMs);
	}

	/** A peer's waiting requests. */
	hearWaiting(host: string, {service, count}: RelayMessageOf<'waiting'>): void {
		this.#waiting.hear(service, host, count, this.#parts.context.clock.now());
	}

	/** Says nothing more. */
	close(): void {
		this.#timer?.stop();
	}

	#deal(): Dealt {
		if (this.#dealt !== undefined) {
			return this.#dealt;
		}

		const {self} = this.#parts.context;
		// A host that is merely suspected comes back: dealing without it would move others for nothing
		const staying = this.#members.filter(({state}) => state === 'alive' || state === 'suspect');
		const count = countSubsets(staying.length);
		const dealt = dealSubsets(staying.map(({host}) => host), count);
		const own = dealt.get(self.host) ?? 0;
		const peers = staying.filter(({host, state}) => state === 'alive' && host !== self.host && dealt.get(host) === own).map(({host}) => host);
		this.#dealt = {subset: {count, own}, peers};
		this.#noteSubset(this.#dealt);
		return this.#dealt;
	}

	#noteSubset({subset, peers}: Dealt): void {
		if (subset.count === this.#subset.count && subset.own === this.#subset.own) {
			return;
		}

		this.#subset = subset;
		this.#parts.context.log('subsetChanged', {subsets: subset.count, subset: subset.own, hosts: peers.length + 1});
	}

	#tell(message: RelayMessage): void {
		this.#pending.push(message);
		this.#schedule(0);
	}

	/** Flushes after a delay, or when the pace allows it; what is due sooner takes the rest along. */
	#schedule(delayMs: number): void {
		const {clock} = this.#parts.context;
		const now = clock.now();
		const dueAt = now + Math.max(delayMs, this.#budget.waitMs(now));
		if (this.#timer !== undefined && this.#dueAt <= dueAt) {
			return;
		}

		this.#timer?.stop();
		this.#dueAt = dueAt;
		this.#timer = clock.after(dueAt - now, () => {
			this.#timer = undefined;
			this.#flush();
		});
	}

	/** Takes what is to be said, the counts last. */
	#takePending(): RelayMessage[] {
		const messages = this.#pending;
		this.#pending = [];
		for (const [service, count] of this.#pendingCounts) {
			messages.push({kind: 'waiting', service, count});
		}

		this.#pendingCounts.clear();
		return messages;
	}

	#flush(): void {
		const messages = this.#takePending();
		const {peers} = this.#deal();
		for (const host of peers) {
			for (const message of messages) {
				this.#parts.send(host, message);
			}
		}

		this.#budget.spend(peers.length, this.#parts.context.clock.now());
	}
}
