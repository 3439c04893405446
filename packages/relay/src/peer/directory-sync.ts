/**
 * Synchronizes the configuration and endpoints between hosts, for hosts that
 * do not or cannot read the directory. Heartbeats carry versions and
 * positions; a host that is behind requests an update from the sender.
 */
import {type Timer} from '@gatehead/policy/utils/clock';
import {comparePositions, isLater, type Position} from '@gatehead/schema/position';
import {type RelayMessage, type RelayMessageOf} from '@gatehead/schema/relay-message';
import {type RelayContext} from '../core/context.js';
import {type DirectoryWatch} from '../core/directory-watch.js';
import {type FleetParts} from './fleet-parts.js';

/** Time that this host's own watch has to deliver a change that a peer already knows, before it is requested from the peer, in milliseconds: a hundred times the directory's latency, and a fifth of the shortest time in which endpoints that left may get requests. */
export const watchGraceMs = 400;
/** Time for which a host reads the directory itself after a peer sent a position that cannot be compared, in milliseconds: three heartbeat intervals. */
const incomparableMs = 2100;
/** Minimum interval between update requests, and the retry interval, in milliseconds; several network round trips. */
export const requestIntervalMs = 250;
/** Requests sent after one heartbeat; the peer may have failed, and heartbeats from others follow within three intervals. */
const maxRequests = 4;

/** Dependencies of `DirectorySync`. */
export type DirectorySyncParts = Pick<FleetParts, 'endpoints' | 'routing' | 'watch'> & {
	readonly context: Pick<RelayContext, 'clock'>;
	/** Whether this host reads the directory itself. */
	readonly isReader: () => boolean;
	readonly send: (host: string, message: RelayMessage) => void;
	/** Sends a heartbeat to all neighbours at once. */
	readonly announce: () => void;
};

/** State that a peer announced and this host lacks. */
type PeerOffer = {
	readonly host: string;
	readonly position: Position;
	readonly routingVersion: number;
	readonly requestsLeft: number;
};

/** Synchronizes directory state with other hosts. */
export class DirectorySync {
	readonly #parts: DirectorySyncParts;
	/** Latest offer. */
	#offer: PeerOffer | undefined;
	/** Runs until the next request may be sent. */
	#requestTimer: Timer | undefined;
	#incomparableAt = Number.NEGATIVE_INFINITY;
	/** Gives this host's own watch time to deliver a change that a peer already knows. */
	#graceTimer: Timer | undefined;

	constructor(parts: DirectorySyncParts) {
		this.#parts = parts;
	}

	/** Handles a heartbeat; requests an update if the peer is ahead and this host's own watch does not catch up. */
	receiveHeartbeat(host: string, {routingVersion, directoryRevision, directoryEpoch, departures, pauses}: RelayMessageOf<'heartbeat'>): void {
		const {routing, endpoints, watch} = this.#parts;
		for (const pause of pauses) {
			endpoints.mergePause(pause, host);
		}

		endpoints.mergeDepartures(departures, host);
		const own = watch();
		const offered: Position = {epoch: directoryEpoch, revision: directoryRevision};
		this.#recordIncomparable(offered, own);
		const isBehind = directoryRevision >= 0 && this.#isBehind(offered, own);
		const isOtherEpoch = own.position !== undefined && own.position.epoch !== directoryEpoch;
		if (routingVersion > routing.version || (isBehind && (isOtherEpoch || !this.#isReadingDirectory(own)))) {
			this.#request(host, offered, routingVersion);
		} else if (isBehind) {
			this.#requestLater(host, offered, routingVersion);
		}

		if (isBehind && isOtherEpoch) {
			// The watch in progress belongs to an outdated epoch
			own.recheck();
		}
	}

	/** Whether a peer lately sent a position that cannot be compared with this host's, such as one without an epoch from an older version; this host then reads the directory itself. */
	get hasIncomparablePeer(): boolean {
		return this.#parts.context.clock.now() - this.#incomparableAt < incomparableMs;
	}

	/** Stops all timers. */
	close(): void {
		this.#graceTimer?.stop();
		this.#requestTimer?.stop();
	}

	/** Responds to an update request. */
	sendUpdate(host: string, {routingVersion, ...known}: RelayMessageOf<'directoryWanted'>): void {
		const {routing, endpoints, watch, context: {clock}} = this.#parts;
		const listed = endpoints.book.list();
		this.#parts.send(host, {
			kind: 'directory',
			routing: routing.version > routingVersion ? routing.table?.routing : undefined,
			// The position includes a configuration that is not in the update, so the receiver must not confirm its own as the newest
			...(routing.isBehind ? {outdatedVersion: routing.version} : {}),
			...(routing.newestAt === undefined ? {} : {newest: {...routing.newestAt, version: routing.version}}),
			revision: watch().revision,
			epoch: watch().position?.epoch,
			departures: endpoints.book.listDepartures(clock.now()),
			ageMs: watch().ageMs,
			// A host that has just started cannot tell endpoints that left from entries that an outage removed
			isWitnessed: watch().isWitnessed && watch().isSettled,
			endpoints: listed.filter(each => known.revision < 0 || isLater(each, known)),
			ids: listed.map(each => each.endpoint.id),
			kept: endpoints.book.listKept(clock.now()),
		});
	}

	/** Applies an update from another host. */
	applyUpdate(host: string, {routing: offered, outdatedVersion, newest, revision, epoch, departures, ageMs, isWitnessed, endpoints: listed, ids, kept}: RelayMessageOf<'directory'>): void {
		const {routing, endpoints, watch, context: {clock}} = this.#parts;
		const own = watch();
		const position: Position = {epoch, revision};
		if (offered !== undefined && offered.version > routing.version) {
			routing.offer(offered, host, ageMs, revision < 0 ? undefined : position);
			// This host's own watch should have delivered this; its connection may be dead
			own.recheck();
		}

		if (newest !== undefined) {
			routing.recordPeerNewest(newest.version, newest);
		}

		if (revision < 0 || !this.#isBehind(position, own)) {
			return;
		}

		if (outdatedVersion !== undefined && routing.version <= outdatedVersion) {
			routing.markBehind(position);
		}

		const isOtherEpoch = own.position !== undefined && own.position.epoch !== epoch;
		own.followEpoch(position, host);
		endpoints.mergeDepartures(departures, host);
		const changes = endpoints.book.replace({
			listed, ids: new Set(ids), position, isWitnessed, kept,
		}, clock.now());
		endpoints.note(changes, host, ageMs);
		own.advance(position, isWitnessed, ageMs);
		if (changes.length > 0 || isOtherEpoch) {
			// As above: the own watch should have delivered these changes
			own.recheck();
		}

		this.#parts.announce();
	}

	#recordIncomparable(offered: Position, {position}: DirectoryWatch): void {
		if (offered.revision >= 0 && position !== undefined && comparePositions(offered, position) === 'unknown') {
			this.#incomparableAt = this.#parts.context.clock.now();
		}
	}

	/** Whether this host receives changes from the directory itself. */
	#isReadingDirectory(own: DirectoryWatch): boolean {
		return this.#parts.isReader() && own.isHealthy;
	}

	/** Whether an offered position is later than this host's. */
	#isBehind(offered: Position, {position}: DirectoryWatch): boolean {
		return position === undefined || comparePositions(offered, position) === 'later';
	}

	/** Requests an update unless the own watch delivers it in time. */
	#requestLater(host: string, offered: Position, routingVersion: number): void {
		const {watch, context: {clock}} = this.#parts;
		this.#graceTimer ??= clock.after(watchGraceMs, () => {
			this.#graceTimer = undefined;
			if (this.#isBehind(offered, watch())) {
				this.#request(host, offered, routingVersion);
			}
		});
	}

	#request(host: string, position: Position, routingVersion: number): void {
		this.#offer = {
			host, position, routingVersion, requestsLeft: maxRequests,
		};
		this.#sendRequest();
	}

	/** Sends a request now, or when the interval since the last one has passed, so that an offer received in between does not wait for the next heartbeat. */
	#sendRequest(): void {
		const {routing, watch, send, context: {clock}} = this.#parts;
		const offer = this.#offer;
		if (this.#requestTimer !== undefined || offer === undefined || offer.requestsLeft === 0 || !this.#isNeeded(offer)) {
			return;
		}

		this.#offer = {...offer, requestsLeft: offer.requestsLeft - 1};
		send(offer.host, {
			kind: 'directoryWanted', routingVersion: routing.version, revision: watch().revision, epoch: watch().position?.epoch,
		});
		this.#requestTimer = clock.after(requestIntervalMs, () => {
			this.#requestTimer = undefined;
			this.#sendRequest();
		});
	}

	#isNeeded({position, routingVersion}: PeerOffer): boolean {
		const {routing, watch} = this.#parts;
		return routingVersion > routing.version || (position.revision >= 0 && this.#isBehind(position, watch()));
	}
}
