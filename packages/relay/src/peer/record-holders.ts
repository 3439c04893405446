/**
 * The hosts that hold copies of what this host records under a key, and those
 * to ask for it. Copies go to hosts that become holders later as well.
 */
import {HolderSubsets} from '@gatehead/policy/relay/holder-ring';
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';
import {type MemberRecord} from '@gatehead/schema/peer-message';

/** Hosts that hold a copy besides the one that made it; a record is lost only with all of them. */
const holderCount = 5;
/** Hosts of each subset that are asked at once, and then if none of them has a copy. Where there is one subset, all its holders are asked at once, and then everybody. */
const firstAsked = {inSubset: 3, inWholeFleet: 7};
const lastAsked = {inSubset: 8, inWholeFleet: 31};
/** Delay until copies are sent again after a membership change, in milliseconds, to batch the changes of one failure; and the shortest time between two such rounds, which go through all records of this host. */
const resendDelayMs = 20;
const resendIntervalMs = 300;

/** A record that this host made, and the holders that it was sent to. */
type OwnRecord = {
	readonly expiresAt: number;
	/** Holders by host and incarnation: a restarted host has lost its copies. */
	readonly sentTo: Set<string>;
};

export type RecordHoldersParts = {
	readonly clock: Clock;
	/** Name of this host. */
	readonly self: string;
	/** Sends the records of these keys to a host that has become their holder. */
	readonly resend: (host: string, keys: readonly string[]) => void;
};

/** Holders of one host's records. */
export class RecordHolders {
	readonly #parts: RecordHoldersParts;
	readonly #own = new Map<string, OwnRecord>();
	#members: readonly MemberRecord[] = [];
	/** Computed from the members on first use. */
	#subsets: HolderSubsets | undefined;
	#resendTimer: Timer | undefined;
	#resentAt = Number.NEGATIVE_INFINITY;

	constructor(parts: RecordHoldersParts) {
		this.#parts = parts;
	}

	/** Stops the timer. */
	close(): void {
		this.#resendTimer?.stop();
	}

	/** Replaces the member list. Records of this host are sent to hosts that have become holders since. */
	setMembers(members: readonly MemberRecord[]): void {
		this.#members = members;
		this.#subsets = undefined;
		const {clock} = this.#parts;
		if (this.#own.size > 0) {
			this.#resendTimer ??= clock.after(Math.max(resendDelayMs, this.#resentAt + resendIntervalMs - clock.now()), () => {
				this.#resendTimer = undefined;
				this.#resend();
			});
		}
	}

	/** Adds a record of this host; returns the holders to send it to now. */
	add(key: string, expiresAt: number): string[] {
		const holders = this.#listHolders(key);
		this.#own.set(key, {expiresAt, sentTo: new Set(holders.map(host => this.#incarnationOf(host)))});
		return holders;
	}

	/** Other hosts to ask for a key, at once and then. */
	listRounds(key: string): [string[], string[]] {
		const subsets = this.#getSubsets();
		const scope = subsets.count === 1 ? 'inWholeFleet' : 'inSubset';
		const ranked = subsets.rankAll(key).map(hosts => hosts.filter(host => host !== this.#parts.self));
		return [ranked.flatMap(hosts => hosts.slice(0, firstAsked[scope])), ranked.flatMap(hosts => hosts.slice(firstAsked[scope], lastAsked[scope]))];
	}

	/** Other hosts to ask for a key at once: everybody where that is one subset, otherwise its first holders in each. */
	listFirst(key: string): string[] {
		const [first, rest] = this.listRounds(key);
		return this.#getSubsets().count === 1 ? [...first, ...rest] : first;
	}

	/** Other hosts alive that are not among some hosts. */
	listOthers(hosts: ReadonlySet<string>): MemberRecord[] {
		return this.#members.filter(({host, state}) => state !== 'dead' && host !== this.#parts.self && !hosts.has(host));
	}

	/** Forgets expired records. */
	sweep(now: number): void {
		for (const [key, {expiresAt}] of this.#own) {
			if (expiresAt <= now) {
				this.#own.delete(key);
			}
		}
	}

	#resend(): void {
		const {clock, resend} = this.#parts;
		const now = clock.now();
		this.#resentAt = now;
		const keysByHost = new Map<string, string[]>();
		for (const [key, {expiresAt, sentTo}] of this.#own) {
			for (const host of expiresAt <= now ? [] : this.#listHolders(key)) {
				const holder = this.#incarnationOf(host);
				if (!sentTo.has(holder)) {
					sentTo.add(holder);
					const keys = keysByHost.get(host) ?? [];
					keys.push(key);
					keysByHost.set(host, keys);
				}
			}
		}

		for (const [host, keys] of keysByHost) {
			resend(host, keys);
		}
	}

	/** Other hosts that are to hold a record of this host. */
	#listHolders(key: string): string[] {
		const {self} = this.#parts;
		return this.#getSubsets().rankBeside(self, key).filter(host => host !== self).slice(0, holderCount);
	}

	#getSubsets(): HolderSubsets {
		this.#subsets ??= new HolderSubsets(this.#members.map(({host, hall, state}) => ({host, hall, isAlive: state !== 'dead'})));
		return this.#subsets;
	}

	#incarnationOf(host: string): string {
		return `${host} ${this.#members.find(member => member.host === host)?.incarnation ?? 0}`;
	}
}
