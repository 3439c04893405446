/**
 * Endpoints as the directory publishes them. Safety: an older revision never
 * replaces a newer one, and an endpoint that is leaving or gone gets no new
 * work. Entries that vanish while the directory is away may belong to
 * endpoints that still serve: they are kept until a grace after its return.
 */
import {instanceOf, type Endpoint, type ListedEndpoint} from '@gatehead/schema/routing';

/** How long after the directory's return a vanished entry may still come back, in milliseconds: the directory's own bound, and a heartbeat's jitter. */
export const returnGraceMs = 2200;
/** How long entries are kept that vanish together while the directory seems to answer, in milliseconds. An outage that nobody noticed brings its entries back within the grace above; a real departure of many must be believed before new work to leaving endpoints counts as a fault, two seconds after it, with two sweeps to spare. */
export const massGraceMs = 1500;
/** Share of a service's entries that must vanish within one grace to be read as an outage that this host did not notice: planned work takes fewer at once. */
const massShare = 0.5;
/** Least number of such entries: of two, one may leave and one be lost by chance. */
const massCount = 3;
/** Ends remembered: those of some days, at 198 hosts and endpoints that come and go in one. */
const mostTombstones = 2000;

type Entry = {
	readonly revision: number;
	readonly endpoint: Endpoint;
	/** Until when it may still serve although it has vanished; undefined: it is listed. While the directory is away the time does not run. */
	keptUntil: number | undefined;
};

/** What changed for one endpoint. */
export type BookChange = {
	readonly endpoint: Endpoint;
	/** At which revision the directory said so; absent: it did not. */
	readonly revision?: number;
	readonly change: 'added' | 'changed' | 'restaged' | 'leaving' | 'vanished' | 'unreadable' | 'gone';
};

/** All entries of the directory, as one host knows them. */
export type BookList = {
	/** Entries in full: all, or those written lately. */
	readonly listed: readonly ListedEndpoint[];
	/** Ids of all entries. */
	readonly ids: ReadonlySet<string>;
	readonly revision: number;
	/** The list was read while the directory answered, by another host. */
	readonly isWitnessed?: boolean;
	/** Entries among them that have vanished, and that its teller keeps for a grace. */
	readonly kept?: readonly KeptEntry[];
};

/** An entry that has vanished and is kept for a while. */
export type KeptEntry = {
	readonly id: string;
	readonly leftMs: number;
};

/** All endpoints now known. */
export class EndpointBook {
	/** By the name that an endpoint's starts share: of these the directory knows one at a time. */
	readonly #entries = new Map<string, Entry>();
	/** Names of the starts that are known. */
	readonly #instances = new Map<string, string>();
	/** Revisions at which entries went, by name, so that late news does not bring them back. */
	readonly #tombstones = new Map<string, number>();
	/** Entries removed lately, for telling an outage from single departures. */
	#removed: Array<{readonly at: number; readonly revision: number; readonly endpoint: Endpoint}> = [];
	#isAway = false;
	#backAt = Number.NEGATIVE_INFINITY;

	/** Endpoints that take new work. */
	listReady(service: string): Endpoint[] {
		const ready: Endpoint[] = [];
		for (const {endpoint} of this.#entries.values()) {
			if (endpoint.service === service && takesWork(endpoint)) {
				ready.push(endpoint);
			}
		}

		return ready;
	}

	/** Whether an endpoint takes new work now. */
	isReady(id: string): boolean {
		const known = this.#find(id);
		return known !== undefined && takesWork(known.endpoint);
	}

	/** Which part an endpoint does; undefined where it is not known, or has none. */
	stageOf(id: string): Endpoint['stage'] {
		return this.#find(id)?.endpoint.stage;
	}

	/** Whether an endpoint is known to have started again since: what it held and knew is gone. */
	isReplaced(endpoint: Endpoint): boolean {
		const known = this.#entries.get(instanceOf(endpoint));
		return known !== undefined && known.endpoint.id !== endpoint.id;
	}

	/** The start that is known under a name; none where there is none. */
	idsOf(instance: string): string[] {
		const known = this.#entries.get(instance);
		return known === undefined ? [] : [known.endpoint.id];
	}

	/** All entries with their revisions, to be told to other hosts. */
	list(): ListedEndpoint[] {
		return [...this.#entries.values()].map(({revision, endpoint}) => ({revision, endpoint}));
	}

	/** Entries that have vanished and are kept, and for how long: whoever is told of the list must not keep them for longer. */
	listKept(now: number): KeptEntry[] {
		const kept: KeptEntry[] = [];
		for (const {endpoint: {id}, keptUntil} of this.#entries.values()) {
			if (keptUntil !== undefined) {
				kept.push({id, leftMs: Math.max(0, Math.min(returnGraceMs, keptUntil - now))});
			}
		}

		return kept;
	}

	/** Notes that the directory does not answer. */
	directoryLost(): void {
		this.#isAway = true;
	}

	/** Notes that the directory answers again. */
	directoryBack(now: number): void {
		if (this.#isAway) {
			this.#isAway = false;
			this.#backAt = now;
			for (const entry of this.#entries.values()) {
				if (entry.keptUntil !== undefined) {
					entry.keptUntil = now + returnGraceMs;
				}
			}
		}
	}

	/** Others read the directory from now on: what vanished while this host could not is theirs to judge, and it gets no grace of its own. */
	directoryLeftToOthers(now: number): void {
		this.#isAway = false;
		for (const entry of this.#entries.values()) {
			if (entry.keptUntil !== undefined) {
				entry.keptUntil = Math.min(entry.keptUntil, now);
			}
		}
	}

	/** Takes a written entry; returns what changed. Of two starts under one name the one written later counts, whatever the replicas' clocks say. */
	put({revision, endpoint}: ListedEndpoint): BookChange[] {
		const instance = instanceOf(endpoint);
		const known = this.#entries.get(instance);
		if (revision <= (this.#tombstones.get(instance) ?? -1) || (known !== undefined && revision < known.revision)) {
			return [];
		}

		if (known !== undefined && known.endpoint.id !== endpoint.id) {
			this.#set({revision, endpoint, keptUntil: undefined});
			this.#instances.delete(known.endpoint.id);
			return [{endpoint: known.endpoint, change: 'gone'}, {endpoint, change: takesWork(endpoint) ? 'added' : 'leaving'}];
		}

		const isSame = known !== undefined && known.keptUntil === undefined && known.revision === revision;
		if (isSame) {
			return [];
		}

		this.#set({revision, endpoint, keptUntil: undefined});
		if (endpoint.isUnreadable) {
			return known?.endpoint.isUnreadable ? [] : [{endpoint, revision, change: 'unreadable'}];
		}

		if (endpoint.state === 'leaving') {
			return known?.endpoint.state === 'leaving' ? [] : [{endpoint, revision, change: 'leaving'}];
		}

		if (known === undefined) {
			return [{endpoint, revision, change: 'added'}];
		}

		return [{endpoint, revision, change: known.endpoint.stage === endpoint.stage ? 'changed' : 'restaged'}];
	}

	/**
	 * Takes the news that an entry cannot be read. Somebody else may have
	 * written it, so the endpoint gets nothing new; it has not left in order
	 * either, so what runs there goes on, and its next readable entry finds
	 * health, pauses and connections as they were.
	 */
	hide(instance: string, revision: number): BookChange[] {
		const known = this.#entries.get(instance);
		return known === undefined ? [] : this.put({revision, endpoint: {...known.endpoint, isUnreadable: true}});
	}

	/** Takes the news that the entry under a name went at `revision`. */
	remove(instance: string, revision: number, now: number): BookChange[] {
		const known = this.#entries.get(instance);
		if (known === undefined || revision < known.revision) {
			return [];
		}

		return this.#vanish(known, revision, now);
	}

	/**
	 * Takes a whole list as of `revision`, or what changed in it and the ids of
	 * all: what these lack has gone. An own outage, or one that has just ended,
	 * says nothing against a list that is witnessed.
	 */
	replace({listed, ids, revision, isWitnessed = false, kept = []}: BookList, now: number): BookChange[] {
		const changes: BookChange[] = [];
		for (const each of listed) {
			changes.push(...this.put(each));
		}

		changes.push(...this.#keep(kept, revision, now));

		for (const known of this.#entries.values()) {
			if (ids.has(known.endpoint.id) || known.revision > revision) {
				continue;
			}

			if (isWitnessed && this.#isInOutage(now)) {
				changes.push(...this.#erase(known, revision));
			} else if (known.keptUntil === undefined) {
				changes.push(...this.#vanish(known, revision, now));
			}
		}

		return changes;
	}

	/** Drops an endpoint that is known to be gone, as when another one answers at its address. */
	drop(id: string): BookChange[] {
		const known = this.#find(id);
		return known === undefined ? [] : this.#erase(known, known.revision);
	}

	/** Drops vanished entries whose grace is over. */
	sweep(now: number): BookChange[] {
		const changes: BookChange[] = [];
		for (const known of this.#entries.values()) {
			if (known.keptUntil !== undefined && !this.#isAway && now > known.keptUntil) {
				changes.push(...this.#erase(known, known.revision));
			}
		}

		return changes;
	}

	/** What a teller keeps for its grace is kept here for as long, and no longer: the news of its end may have come to the teller before, and is not told again. */
	#keep(kept: readonly KeptEntry[], revision: number, now: number): BookChange[] {
		const changes: BookChange[] = [];
		for (const {id, leftMs} of kept) {
			const known = this.#find(id);
			if (known === undefined || known.revision > revision) {
				continue;
			}

			if (known.keptUntil === undefined) {
				changes.push({endpoint: known.endpoint, change: 'vanished'});
			}

			known.keptUntil = Math.min(known.keptUntil ?? Number.POSITIVE_INFINITY, now + leftMs);
		}

		return changes;
	}

	/** Whether this host cannot read the directory, or could not until a grace ago. */
	#isInOutage(now: number): boolean {
		return this.#isAway || now <= this.#backAt + returnGraceMs;
	}

	#vanish(known: Entry, revision: number, now: number): BookChange[] {
		const {endpoint} = known;
		if (endpoint.state !== 'ready') {
			return this.#erase(known, revision);
		}

		const isInOutage = this.#isInOutage(now);
		const returnUntil = this.#isAway ? Number.POSITIVE_INFINITY : this.#backAt + returnGraceMs;
		if (isInOutage || this.#isVanishing(endpoint.service)) {
			known.keptUntil ??= isInOutage ? returnUntil : now + massGraceMs;
			return [{endpoint, change: 'vanished'}];
		}

		const changes = this.#erase(known, revision);
		this.#removed.push({at: now, revision, endpoint});
		return this.#restoreMass(endpoint.service, now) ?? changes;
	}

	/** Whether others of a service have vanished in what was taken for an outage. */
	#isVanishing(service: string): boolean {
		for (const {endpoint, keptUntil} of this.#entries.values()) {
			if (keptUntil !== undefined && endpoint.service === service) {
				return true;
			}
		}

		return false;
	}

	/** When most of a service vanishes at once, its directory was away and nobody told: the entries are taken back for a grace. */
	#restoreMass(service: string, now: number): BookChange[] | undefined {
		this.#removed = this.#removed.filter(({at}) => now - at <= returnGraceMs);
		const lost = this.#removed.filter(({endpoint}) => endpoint.service === service);
		const left = this.listReady(service).length;
		if (lost.length < massCount || lost.length < massShare * (lost.length + left)) {
			return undefined;
		}

		this.#removed = this.#removed.filter(({endpoint}) => endpoint.service !== service);
		for (const {revision, endpoint} of lost) {
			this.#set({revision, endpoint, keptUntil: now + massGraceMs});
		}

		return lost.map(({endpoint}) => ({endpoint, change: 'vanished'}));
	}

	#find(id: string): Entry | undefined {
		return this.#entries.get(this.#instances.get(id) ?? '');
	}

	#set(entry: Entry): void {
		const instance = instanceOf(entry.endpoint);
		this.#entries.set(instance, entry);
		this.#instances.set(entry.endpoint.id, instance);
	}

	#erase({endpoint}: Entry, revision: number): BookChange[] {
		const instance = instanceOf(endpoint);
		this.#entries.delete(instance);
		this.#instances.delete(endpoint.id);
		// Taken out first, so that the oldest ends stand in front
		this.#tombstones.delete(instance);
		this.#tombstones.set(instance, revision);
		if (this.#tombstones.size > mostTombstones) {
			this.#tombstones.delete(this.#tombstones.keys().next().value ?? '');
		}

		return [{endpoint, revision, change: 'gone'}];
	}
}

/** Whether an endpoint gets new work. */
function takesWork({state, isUnreadable}: Endpoint): boolean {
	return state === 'ready' && !isUnreadable;
}
