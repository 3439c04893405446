/**
 * Endpoints as the directory publishes them. Safety: an older revision never
 * replaces a newer one, and an endpoint that is leaving or gone gets no new
 * work. Entries that vanish while the directory is away may belong to
 * endpoints that still serve: they are kept until a grace after its return.
 * A directory that comes back from a copy has forgotten what left meanwhile:
 * what is known to have left stays so until its entry is written anew.
 */
import {isLater, type Position} from '@gatehead/schema/position';
import {instanceOf, type Endpoint, type ListedEndpoint} from '@gatehead/schema/routing';
import {RecentMap} from '../utils/recent-map.js';
import {Departures, type Departure} from './departures.js';
import {type BookChange, type BookList, type KeptEntry} from './endpoint-change.js';
import {JointLoss, massGraceMs, type Loss} from './joint-loss.js';

/** How long after the directory's return a vanished entry may still come back, in milliseconds: the directory's own bound, and a heartbeat's jitter. */
export const returnGraceMs = 2200;
/** Ends remembered: those of some days, at 198 hosts and endpoints that come and go in one. */
const mostTombstones = 2000;

type Entry = {
	readonly position: Position;
	readonly endpoint: Endpoint;
	/** Until when it may still serve although it has vanished; undefined: it is listed. While the directory is away the time does not run. */
	keptUntil: number | undefined;
};

/** All endpoints now known. */
export class EndpointBook {
	/** By the name that an endpoint's starts share: of these the directory knows one at a time. */
	readonly #entries = new Map<string, Entry>();
	/** Names of the starts that are known. */
	readonly #instances = new Map<string, string>();
	/** Where in the directory's history entries went, by name, so that late news does not bring them back. */
	readonly #tombstones = new RecentMap<string, Position>(mostTombstones);
	/** Starts that have left, for a directory that has forgotten it. */
	readonly #departures = new Departures();
	/** Entries removed lately, for telling an outage from single departures. */
	readonly #losses = new JointLoss(returnGraceMs);
	/** Whether an endpoint has announced itself that it drains, whatever the directory says. */
	readonly #isDraining: (id: string) => boolean;
	#isAway = false;
	#backAt = Number.NEGATIVE_INFINITY;

	constructor(isDraining: (id: string) => boolean = () => false) {
		this.#isDraining = isDraining;
	}

	/** Endpoints that take new work. */
	listReady(service: string): Endpoint[] {
		const ready: Endpoint[] = [];
		for (const entry of this.#entries.values()) {
			if (entry.endpoint.service === service && this.#takesWork(entry)) {
				ready.push(entry.endpoint);
			}
		}

		return ready;
	}

	/** Whether an endpoint takes new work now. */
	isReady(id: string): boolean {
		const known = this.#find(id);
		return known !== undefined && this.#takesWork(known);
	}

	/** Whether the directory lists an endpoint, or did a grace ago. */
	isKnown(id: string): boolean {
		return this.#find(id) !== undefined;
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

	/** All entries with their positions, to be told to other hosts. */
	list(): ListedEndpoint[] {
		return [...this.#entries.values()].map(({position, endpoint}) => ({...position, endpoint}));
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

	/**
	 * Notes that the directory has come back from a copy, and that its new
	 * history was first seen at `position`. Whatever stands there up to it may
	 * be as old as the copy: starts that have left do not come back by it, and
	 * entries that it lacks may have been written behind it, so that they get
	 * the grace of an outage.
	 */
	directoryRestored(position: Position, now: number): void {
		this.#backAt = now;
		for (const entry of this.#entries.values()) {
			if (entry.endpoint.state === 'leaving') {
				this.#departures.add(entry.endpoint.id, entry.position.revision, now);
			}

			if (entry.keptUntil !== undefined) {
				entry.keptUntil = now + returnGraceMs;
			}
		}

		this.#departures.outlive(position, now);
	}

	/** Starts that have left although the directory lists them as ready: whoever reads the same copy must know it. */
	listDepartures(now: number): Departure[] {
		return this.#departures.list(now).filter(({id}) => this.#find(id)?.endpoint.state === 'ready');
	}

	/** Takes over which starts another host knows to have left. */
	hearDepartures(departures: readonly Departure[], now: number): BookChange[] {
		return departures.flatMap(departure => {
			const known = this.#find(departure.id);
			const wasReady = known !== undefined && this.#takesWork(known);
			this.#departures.hear(departure, now);
			return wasReady && !this.#takesWork(known) ? [{endpoint: known.endpoint, change: 'outdated' as const}] : [];
		});
	}

	/** Takes a written entry; returns what changed. Of two starts under one name the one written later counts, whatever the replicas' clocks say. */
	put({endpoint, ...position}: ListedEndpoint, now: number): BookChange[] {
		const instance = instanceOf(endpoint);
		const known = this.#entries.get(instance);
		const tombstone = this.#tombstones.get(instance);
		const isOld = (tombstone !== undefined && !isLater(position, tombstone)) || (known !== undefined && isLater(known.position, position));
		if (isOld) {
			return [];
		}

		if (known !== undefined && known.endpoint.id !== endpoint.id) {
			return this.#replaceStart(known, {position, endpoint, keptUntil: undefined}, now);
		}

		const isSame = known !== undefined && known.keptUntil === undefined && !isLater(position, known.position);
		if (isSame) {
			return [];
		}

		this.#set({position, endpoint, keptUntil: undefined});
		if (this.#isOutdated(endpoint, position)) {
			return [{endpoint, position, change: 'outdated'}];
		}

		this.#departures.forget(endpoint.id);

		if (endpoint.isUnreadable) {
			return known?.endpoint.isUnreadable ? [] : [{endpoint, position, change: 'unreadable'}];
		}

		if (endpoint.state === 'leaving') {
			return known?.endpoint.state === 'leaving' ? [] : [{endpoint, position, change: 'leaving'}];
		}

		if (known === undefined) {
			return [{endpoint, position, change: 'added'}];
		}

		return [{endpoint, position, change: known.endpoint.stage === endpoint.stage ? 'changed' : 'restaged'}];
	}

	/**
	 * Takes the news that an entry cannot be read. Somebody else may have
	 * written it, so the endpoint gets nothing new; it has not left in order
	 * either, so what runs there goes on, and its next readable entry finds
	 * health, pauses and connections as they were.
	 */
	hide(instance: string, position: Position, now: number): BookChange[] {
		const known = this.#entries.get(instance);
		return known === undefined ? [] : this.put({...position, endpoint: {...known.endpoint, isUnreadable: true}}, now);
	}

	/** Takes the news that the entry under a name went. */
	remove(instance: string, position: Position, now: number): BookChange[] {
		const known = this.#entries.get(instance);
		if (known === undefined || isLater(known.position, position)) {
			return [];
		}

		return this.#vanish(known, position, now);
	}

	/**
	 * Takes a whole list as of a position, or what changed in it and the ids of
	 * all: what these lack has gone. An own outage, or one that has just ended,
	 * says nothing against a list that is witnessed.
	 */
	replace({listed, ids, position, isWitnessed = false, kept = []}: BookList, now: number): BookChange[] {
		const changes: BookChange[] = [];
		for (const each of listed) {
			changes.push(...this.put(each, now));
		}

		changes.push(...this.#keep(kept, position, now));

		for (const known of this.#entries.values()) {
			if (ids.has(known.endpoint.id) || isLater(known.position, position)) {
				continue;
			}

			if (isWitnessed && this.#isInOutage(now)) {
				changes.push(...this.#erase(known, position, now));
			} else if (known.keptUntil === undefined) {
				changes.push(...this.#vanish(known, position, now));
			}
		}

		return changes;
	}

	/** Drops an endpoint that is known to be gone, as when another one answers at its address. */
	drop(id: string, now: number): BookChange[] {
		const known = this.#find(id);
		return known === undefined ? [] : this.#erase(known, known.position, now);
	}

	/** Drops vanished entries whose grace is over, and believes again what nobody contradicts any more. */
	sweep(now: number): BookChange[] {
		const changes: BookChange[] = this.#departures.sweep(now).flatMap(id => {
			const known = this.#find(id);
			return known !== undefined && this.#takesWork(known) ? [{endpoint: known.endpoint, change: 'changed' as const}] : [];
		});
		for (const known of this.#entries.values()) {
			if (known.keptUntil !== undefined && !this.#isAway && now > known.keptUntil) {
				changes.push(...this.#erase(known, known.position, now));
			}
		}

		return changes;
	}

	/** What a teller keeps for its grace is kept here for as long, and no longer: the news of its end may have come to the teller before, and is not told again. */
	#keep(kept: readonly KeptEntry[], position: Position, now: number): BookChange[] {
		const changes: BookChange[] = [];
		for (const {id, leftMs} of kept) {
			const known = this.#find(id);
			if (known === undefined || isLater(known.position, position)) {
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

	#vanish(known: Entry, position: Position, now: number): BookChange[] {
		const {endpoint} = known;
		if (endpoint.state !== 'ready' || this.#isOutdated(endpoint, known.position)) {
			return this.#erase(known, position, now);
		}

		const isInOutage = this.#isInOutage(now);
		const returnUntil = this.#isAway ? Number.POSITIVE_INFINITY : this.#backAt + returnGraceMs;
		if (isInOutage || this.#isVanishing(endpoint.service)) {
			known.keptUntil ??= isInOutage ? returnUntil : now + massGraceMs;
			return [{endpoint, change: 'vanished'}];
		}

		const changes = this.#erase(known, position, now);
		const joint = this.#losses.add({at: now, position, endpoint}, () => this.listReady(endpoint.service).length);
		return joint.length > 0 ? this.#takeBack(joint, now) : changes;
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
	#takeBack(losses: readonly Loss[], now: number): BookChange[] {
		// Whose name has an entry again was no loss of this outage, or is over it
		const missing = losses.filter(({endpoint}) => !this.#entries.has(instanceOf(endpoint)));
		return missing.map(({position, endpoint}) => {
			this.#set({position, endpoint, keptUntil: now + massGraceMs});
			this.#departures.forget(endpoint.id);
			return {endpoint, change: 'vanished'};
		});
	}

	#find(id: string): Entry | undefined {
		return this.#entries.get(this.#instances.get(id) ?? '');
	}

	#set(entry: Entry): void {
		const instance = instanceOf(entry.endpoint);
		this.#entries.set(instance, entry);
		this.#instances.set(entry.endpoint.id, instance);
	}

	/** Another start under a name takes the place of the known one, unless it is known to have left and only a copy brings it back. */
	#replaceStart(known: Entry, next: Entry, now: number): BookChange[] {
		const {endpoint} = next;
		if (this.#isOutdated(endpoint, next.position)) {
			return [];
		}

		this.#set(next);
		this.#departures.forget(endpoint.id);
		this.#instances.delete(known.endpoint.id);
		this.#departures.add(known.endpoint.id, next.position.revision, now);
		return [{endpoint: known.endpoint, change: 'gone'}, {endpoint, change: takesWork(endpoint) ? 'added' : 'leaving'}];
	}

	/** Whether an entry's endpoint gets new work: it is listed as ready, has not announced its drain, and no departure covers the entry. */
	#takesWork({endpoint, position}: Entry): boolean {
		return takesWork(endpoint) && !this.#isDraining(endpoint.id) && !this.#departures.covers(endpoint.id, position);
	}

	/** Whether an entry that says "ready" is a copy's, and its endpoint has left. */
	#isOutdated({state, id}: Endpoint, position: Position): boolean {
		return state === 'ready' && this.#departures.covers(id, position);
	}

	#erase({endpoint}: Entry, position: Position, now: number): BookChange[] {
		const instance = instanceOf(endpoint);
		this.#entries.delete(instance);
		this.#instances.delete(endpoint.id);
		this.#tombstones.set(instance, position);
		this.#departures.add(endpoint.id, position.revision, now);
		return [{endpoint, position, change: 'gone'}];
	}
}

/** Whether an endpoint gets new work. */
function takesWork({state, isUnreadable}: Endpoint): boolean {
	return state === 'ready' && !isUnreadable;
}
