/**
 * The endpoints that the directory lists. Safety: an older revision never
 * replaces a newer one, and an endpoint that is leaving or gone gets no new
 * requests. Entries that vanish during a directory outage may belong to live
 * endpoints and are kept until a grace period after it. A directory that was
 * restored from a backup lacks later departures: an endpoint that is known to
 * have left counts as gone until its entry is written again.
 */
import {isLater, type Position} from '@gatehead/schema/position';
import {instanceOf, type Endpoint, type ListedEndpoint} from '@gatehead/schema/routing';
import {RecentMap} from '../utils/recent-map.js';
import {Departures, type Departure} from './departures.js';
import {type EndpointChange, type EndpointList, type KeptEntry} from './endpoint-change.js';
import {MassRemovalDetector, massRemovalGraceMs, type RemovedEntry} from './mass-removal-detector.js';

/** Time after a directory outage in which a vanished entry may reappear, in milliseconds: the directory's own bound plus the jitter of a heartbeat. */
export const outageGraceMs = 2200;
/** Largest number of tombstones; the oldest is evicted. */
const maxTombstones = 2000;

type Entry = {
	readonly position: Position;
	readonly endpoint: Endpoint;
	/** End of the grace period of a vanished entry; undefined: it is listed. Ignored during an outage of the directory. */
	keptUntil: number | undefined;
};

/** All known endpoints. */
export class EndpointBook {
	/** By instance, the name that successive processes of an endpoint share. The directory has one entry per instance. */
	readonly #entries = new Map<string, Entry>();
	/** Instances by endpoint id; each process has its own id. */
	readonly #instances = new Map<string, string>();
	/** Positions at which entries were removed, by instance, so that late updates do not restore them. */
	readonly #tombstones = new RecentMap<string, Position>(maxTombstones);
	/** Processes that have left, in case the directory is restored from a backup. */
	readonly #departures = new Departures();
	/** Recently removed entries, to distinguish an outage from single departures. */
	readonly #losses = new MassRemovalDetector(outageGraceMs);
	/** Whether an endpoint has announced itself that it drains, independently of the directory. */
	readonly #isDraining: (id: string) => boolean;
	#isDirectoryAway = false;
	#directoryBackAt = Number.NEGATIVE_INFINITY;

	constructor(isDraining: (id: string) => boolean = () => false) {
		this.#isDraining = isDraining;
	}

	/** Lists the endpoints of a service that accept new requests. */
	listReady(service: string): Endpoint[] {
		const ready: Endpoint[] = [];
		for (const entry of this.#entries.values()) {
			if (entry.endpoint.service === service && this.#isAvailable(entry)) {
				ready.push(entry.endpoint);
			}
		}

		return ready;
	}

	/** Whether an endpoint accepts new requests now. */
	isReady(id: string): boolean {
		const known = this.#find(id);
		return known !== undefined && this.#isAvailable(known);
	}

	/** Whether an endpoint is listed, or has vanished and is kept. */
	isKnown(id: string): boolean {
		return this.#find(id) !== undefined;
	}

	/** An endpoint as its latest entry describes it; undefined if it is not known. */
	endpointOf(id: string): Endpoint | undefined {
		return this.#find(id)?.endpoint;
	}

	/** The service of an endpoint; undefined if it is not known. */
	serviceOf(id: string): string | undefined {
		return this.#find(id)?.endpoint.service;
	}

	/** The stage that an endpoint serves; undefined if it is not known or has none. */
	stageOf(id: string): Endpoint['stage'] {
		return this.#find(id)?.endpoint.stage;
	}

	/** Whether an endpoint has restarted since, and so lost its memory and state. */
	isReplaced(endpoint: Endpoint): boolean {
		const known = this.#entries.get(instanceOf(endpoint));
		return known !== undefined && known.endpoint.id !== endpoint.id;
	}

	/** Id of the known process of an instance; empty if there is none. */
	idsOf(instance: string): string[] {
		const known = this.#entries.get(instance);
		return known === undefined ? [] : [known.endpoint.id];
	}

	/** Lists all entries with their positions, for other hosts. */
	list(): ListedEndpoint[] {
		return [...this.#entries.values()].map(({position, endpoint}) => ({...position, endpoint}));
	}

	/** Lists vanished entries that are kept, with the time left. A host that receives them must not keep them longer. */
	listKept(now: number): KeptEntry[] {
		const kept: KeptEntry[] = [];
		for (const {endpoint: {id}, keptUntil} of this.#entries.values()) {
			if (keptUntil !== undefined) {
				kept.push({id, leftMs: Math.max(0, Math.min(outageGraceMs, keptUntil - now))});
			}
		}

		return kept;
	}

	/** Records that the directory is unavailable. */
	directoryLost(): void {
		this.#isDirectoryAway = true;
	}

	/** Records that the directory is available again. */
	directoryBack(now: number): void {
		if (this.#isDirectoryAway) {
			this.#isDirectoryAway = false;
			this.#directoryBackAt = now;
			for (const entry of this.#entries.values()) {
				if (entry.keptUntil !== undefined) {
					entry.keptUntil = now + outageGraceMs;
				}
			}
		}
	}

	/** Records that other hosts read the directory from now on. Entries that vanished during this host's outage lose their grace period, since those hosts decide on them. */
	directoryDelegated(now: number): void {
		this.#isDirectoryAway = false;
		for (const entry of this.#entries.values()) {
			if (entry.keptUntil !== undefined) {
				entry.keptUntil = Math.min(entry.keptUntil, now);
			}
		}
	}

	/**
	 * Records that the directory was restored from a backup and that the new
	 * epoch was first seen at `position`. Entries up to there may be as old as
	 * the backup: they do not bring back processes that have left. Missing
	 * entries may be newer than the backup and get the grace period of an outage.
	 */
	directoryRestored(position: Position, now: number): void {
		this.#directoryBackAt = now;
		for (const entry of this.#entries.values()) {
			if (entry.endpoint.state === 'leaving') {
				this.#departures.add(entry.endpoint.id, entry.position.revision, now);
			}

			if (entry.keptUntil !== undefined) {
				entry.keptUntil = now + outageGraceMs;
			}
		}

		this.#departures.handleRestore(position, now);
	}

	/** Lists processes that have left although the restored directory lists them as ready, for hosts that read the same entries. */
	listDepartures(now: number): Departure[] {
		return this.#departures.list(now).filter(({id}) => this.#find(id)?.endpoint.state === 'ready');
	}

	/** Merges the departures that another host knows; returns what changed. */
	mergeDepartures(departures: readonly Departure[], now: number): EndpointChange[] {
		return departures.flatMap(departure => {
			const known = this.#find(departure.id);
			const wasReady = known !== undefined && this.#isAvailable(known);
			this.#departures.merge(departure, now);
			return wasReady && !this.#isAvailable(known) ? [{endpoint: known.endpoint, change: 'outdated' as const}] : [];
		});
	}

	/** Adds or updates an entry; returns what changed. Of two processes of one instance the one written later wins, regardless of endpoint clocks. */
	put({endpoint, ...position}: ListedEndpoint, now: number): EndpointChange[] {
		const instance = instanceOf(endpoint);
		const known = this.#entries.get(instance);
		const tombstone = this.#tombstones.get(instance);
		const isOld = (tombstone !== undefined && !isLater(position, tombstone)) || (known !== undefined && isLater(known.position, position));
		if (isOld) {
			return [];
		}

		if (known !== undefined && known.endpoint.id !== endpoint.id) {
			return this.#replaceProcess(known, {position, endpoint, keptUntil: undefined}, now);
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
	 * Records that an entry cannot be read; returns what changed. The endpoint
	 * gets no new requests, since its entry may come from another writer, but
	 * running ones continue, and its health, pauses and connections are kept.
	 */
	markUnreadable(instance: string, position: Position, now: number): EndpointChange[] {
		const known = this.#entries.get(instance);
		return known === undefined ? [] : this.put({...position, endpoint: {...known.endpoint, isUnreadable: true}}, now);
	}

	/** Records that the entry of an instance was removed; returns what changed. */
	remove(instance: string, position: Position, now: number): EndpointChange[] {
		const known = this.#entries.get(instance);
		if (known === undefined || isLater(known.position, position)) {
			return [];
		}

		return this.#markVanished(known, position, now);
	}

	/**
	 * Applies a list as of a position, in full or as changed entries with the ids
	 * of all; entries that are not among the ids have vanished. An outage of this
	 * host does not delay their removal if another host read the list while the
	 * directory was available. Returns what changed.
	 */
	replace({listed, ids, position, isWitnessed = false, kept = []}: EndpointList, now: number): EndpointChange[] {
		const changes: EndpointChange[] = [];
		for (const each of listed) {
			changes.push(...this.put(each, now));
		}

		changes.push(...this.#keepVanished(kept, position, now));

		for (const known of this.#entries.values()) {
			if (ids.has(known.endpoint.id) || isLater(known.position, position)) {
				continue;
			}

			if (isWitnessed && this.#isInOutage(now)) {
				changes.push(...this.#removeEntry(known, position, now));
			} else if (known.keptUntil === undefined) {
				changes.push(...this.#markVanished(known, position, now));
			}
		}

		return changes;
	}

	/** Removes an endpoint that is known to be gone, as when another one answers at its address; returns what changed. */
	drop(id: string, now: number): EndpointChange[] {
		const known = this.#find(id);
		return known === undefined ? [] : this.#removeEntry(known, known.position, now);
	}

	/** Removes vanished entries whose grace period is over and departures that have expired; returns what changed. */
	sweep(now: number): EndpointChange[] {
		const changes: EndpointChange[] = this.#departures.sweep(now).flatMap(id => {
			const known = this.#find(id);
			return known !== undefined && this.#isAvailable(known) ? [{endpoint: known.endpoint, change: 'changed' as const}] : [];
		});
		for (const known of this.#entries.values()) {
			if (known.keptUntil !== undefined && !this.#isDirectoryAway && now > known.keptUntil) {
				changes.push(...this.#removeEntry(known, known.position, now));
			}
		}

		return changes;
	}

	/** Keeps vanished entries no longer than their sender does, which may have received their removal before and does not repeat it. */
	#keepVanished(kept: readonly KeptEntry[], position: Position, now: number): EndpointChange[] {
		const changes: EndpointChange[] = [];
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

	/** Whether the directory is unavailable to this host, or came back or was restored less than a grace period ago. */
	#isInOutage(now: number): boolean {
		return this.#isDirectoryAway || now <= this.#directoryBackAt + outageGraceMs;
	}

	#markVanished(known: Entry, position: Position, now: number): EndpointChange[] {
		const {endpoint} = known;
		if (endpoint.state !== 'ready' || this.#isOutdated(endpoint, known.position)) {
			return this.#removeEntry(known, position, now);
		}

		const isInOutage = this.#isInOutage(now);
		const returnUntil = this.#isDirectoryAway ? Number.POSITIVE_INFINITY : this.#directoryBackAt + outageGraceMs;
		if (isInOutage || this.#hasVanished(endpoint.service)) {
			known.keptUntil ??= isInOutage ? returnUntil : now + massRemovalGraceMs;
			return [{endpoint, change: 'vanished'}];
		}

		const changes = this.#removeEntry(known, position, now);
		const jointLosses = this.#losses.record({at: now, position, endpoint}, () => this.listReady(endpoint.service).length);
		return jointLosses.length > 0 ? this.#reinstate(jointLosses, now) : changes;
	}

	/** Whether other entries of a service have vanished and are kept. */
	#hasVanished(service: string): boolean {
		for (const {endpoint, keptUntil} of this.#entries.values()) {
			if (keptUntil !== undefined && endpoint.service === service) {
				return true;
			}
		}

		return false;
	}

	/** Reinstates entries for what is left of their grace periods, which begin with their removal. When most of a service vanishes at once, the directory lost its entries in an outage that was not detected. */
	#reinstate(losses: readonly RemovedEntry[], now: number): EndpointChange[] {
		// An instance that has an entry again was not lost in this outage, or has recovered
		const missing = losses.filter(({at, endpoint}) => at + massRemovalGraceMs > now && !this.#entries.has(instanceOf(endpoint)));
		return missing.map(({at, position, endpoint}) => {
			this.#set({position, endpoint, keptUntil: at + massRemovalGraceMs});
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

	/** Replaces the known process of an instance by another one, unless that has left and its entry is stale. */
	#replaceProcess(known: Entry, next: Entry, now: number): EndpointChange[] {
		const {endpoint} = next;
		if (this.#isOutdated(endpoint, next.position)) {
			return [];
		}

		this.#set(next);
		this.#departures.forget(endpoint.id);
		this.#instances.delete(known.endpoint.id);
		this.#departures.add(known.endpoint.id, next.position.revision, now);
		return [{endpoint: known.endpoint, change: 'gone'}, {endpoint, change: isReadyEntry(endpoint) ? 'added' : 'leaving'}];
	}

	/** Whether an entry's endpoint accepts new requests: it is ready, has not announced its drain, and no departure overrides the entry. */
	#isAvailable({endpoint, position}: Entry): boolean {
		return isReadyEntry(endpoint) && !this.#isDraining(endpoint.id) && !this.#departures.overrides(endpoint.id, position);
	}

	/** Whether an entry is stale: it says `ready`, but the endpoint has left. */
	#isOutdated({state, id}: Endpoint, position: Position): boolean {
		return state === 'ready' && this.#departures.overrides(id, position);
	}

	#removeEntry({endpoint}: Entry, position: Position, now: number): EndpointChange[] {
		const instance = instanceOf(endpoint);
		this.#entries.delete(instance);
		this.#instances.delete(endpoint.id);
		this.#tombstones.set(instance, position);
		this.#departures.add(endpoint.id, position.revision, now);
		return [{endpoint, position, change: 'gone'}];
	}
}

/** Whether an endpoint's entry allows new requests. */
function isReadyEntry({state, isUnreadable}: Endpoint): boolean {
	return state === 'ready' && !isUnreadable;
}
