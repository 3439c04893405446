/**
 * Determines which fraction of a bound this host may use, where the bound is
 * divided among all hosts: one over the number of hosts that it counts.
 *
 * Safety: the fractions of all hosts add up to at most one, whatever each host
 * sees of the others. A host that uses its fraction is established. It counts
 * every host that it has ever heard of, also unreachable ones, and it becomes
 * established only once each host that it counts has stated, by a digest, that
 * it counts the same hosts, and one of them is established. So of any two
 * established hosts each counts the other: the later one was counted by all
 * others before, and has learnt of the earlier one from the host that was
 * established. What a process used before it restarted, or before the others
 * counted the new host, has left the window by the time that a host begins.
 *
 * The first established hosts of a fleet need another proof that there are no
 * others: the first start of the whole fleet with most of the seeds, or a
 * minute without any sign of another host. The second fails if a network
 * partition lasts longer than that and all hosts on one side restart. Hosts
 * that are lost for ten minutes are no longer counted.
 */
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type Start} from '@gatehead/schema/relay-settings';
import {hashText} from '@gatehead/schema/hash-text';

/** Time for which a lost host is counted, in milliseconds; limited, so that hosts replaced under new names do not reduce the fractions for good. */
const lostMs = 600_000;
/** Process age at which hosts that know no established one may form a fleet without most of the seeds, in milliseconds; longer than a network partition is expected to last. */
const isolationMs = 60_000;
/** Process age at which the hosts of a first start have found each other, in milliseconds. */
const firstStartMs = 500;
const hexadecimal = 16;

type Census = NonNullable<MemberRecord['census']>;

type KnownHost = {
	record: MemberRecord;
	/** Undefined while it is reachable. */
	lostAt: number | undefined;
};

export type FleetCensusOptions = {
	readonly self: string;
	/** Peer addresses that every host is configured with. */
	readonly seeds: readonly string[];
	readonly start: Start;
	readonly startedAt: number;
	/** Time after which nothing that a process used can count together with what is used now, in milliseconds. */
	readonly settleMs: number;
};

/** The census of one process; times are in milliseconds. */
export class FleetCensus {
	readonly #options: FleetCensusOptions;
	#seeds: readonly string[];
	readonly #known = new Map<string, KnownHost>();
	#digest = '';
	#count = 1;
	#formedDigest: string | undefined;
	/** Time from which the fraction may be used; undefined until the host is established. */
	#usableFrom: number | undefined;

	constructor(options: FleetCensusOptions) {
		this.#options = options;
		this.#seeds = options.seeds;
	}

	/** Number of hosts that this one counts. */
	get count(): number {
		return this.#count;
	}

	/** Replaces the seeds. */
	setSeeds(seeds: readonly string[]): void {
		this.#seeds = seeds;
	}

	/** Applies the current list of members. */
	update(members: readonly MemberRecord[], now: number): void {
		for (const record of members) {
			this.#note(record, now);
		}

		const counted = this.#listCounted(now);
		const digest = digestOf(counted.map(({host}) => host));
		if (digest !== this.#digest) {
			this.#digest = digest;
			this.#count = Math.max(1, counted.length);
		}

		this.#establish(counted, now);
	}

	/** Returns what this host states to the others. */
	describe(): Census {
		return {
			digest: this.#digest, isEstablished: this.#usableFrom !== undefined, isFirstStart: this.#options.start === 'first', formedDigest: this.#formedDigest,
		};
	}

	/** Returns the fraction that this host may use, from 0 to 1. */
	fraction(now: number): number {
		return this.#usableFrom !== undefined && now >= this.#usableFrom ? 1 / this.#count : 0;
	}

	#note(record: MemberRecord, now: number): void {
		const known = this.#known.get(record.host);
		if (known === undefined) {
			this.#known.set(record.host, {record, lostAt: record.state === 'dead' ? now : undefined});
			return;
		}

		known.lostAt = record.state === 'dead' ? known.lostAt ?? now : undefined;
		known.record = record;
	}

	#listCounted(now: number): MemberRecord[] {
		const counted: MemberRecord[] = [];
		for (const {record, lostAt} of this.#known.values()) {
			if (lostAt === undefined || now - lostAt < lostMs) {
				counted.push(record);
			}
		}

		return counted;
	}

	/** Makes this host established if all hosts that it counts agree with it. */
	#establish(counted: readonly MemberRecord[], now: number): void {
		const {self, start, startedAt, settleMs} = this.#options;
		const others = counted.filter(({host}) => host !== self);
		const isAgreed = others.every(({census}) => census?.digest === this.#digest);
		if (this.#usableFrom !== undefined || !isAgreed) {
			return;
		}

		const established = others.filter(({census}) => census?.isEstablished);
		if (established.length === 0 && !this.#mayForm(counted, now)) {
			return;
		}

		// Founders that counted this host from the start have never used its part, and need no time to leave it
		const isFounder = established.every(({census}) => census?.formedDigest === this.#digest);
		const ownSettledAt = start === 'first' ? startedAt : startedAt + settleMs;
		this.#formedDigest = isFounder ? this.#digest : undefined;
		this.#usableFrom = isFounder ? ownSettledAt : now + settleMs;
	}

	/** Whether no other host can be established. */
	#mayForm(counted: readonly MemberRecord[], now: number): boolean {
		const {self, start, startedAt, settleMs} = this.#options;
		const ageMs = now - startedAt;
		const formingMs: Readonly<Record<Start, number>> = {first: firstStartMs, unknown: settleMs, again: isolationMs};
		if (ageMs >= isolationMs) {
			return true;
		}

		// A seed that has started anew may belong to a fleet that this host has not heard of
		const candidates = counted.filter(({host, census}) => start !== 'first' || host === self || census?.isFirstStart);
		const found = this.#seeds.filter(seed => candidates.some(({peerAddress}) => peerAddress === seed)).length;
		return ageMs >= formingMs[start] && (this.#seeds.length === 0 || 2 * found > this.#seeds.length);
	}
}

function digestOf(hosts: readonly string[]): string {
	const names = hosts.toSorted().join('\n');
	return `${hashText(names).toString(hexadecimal)}-${hashText(`\n${names}`).toString(hexadecimal)}`;
}
