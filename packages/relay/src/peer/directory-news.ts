/**
 * What hosts tell each other of the configuration and of endpoints, so that a
 * host which does not read the directory, or cannot, knows them as well.
 * Efficiency: versions and positions decide what is believed, not who said it.
 */
import {type Timer} from '@gatehead/policy/utils/clock';
import {comparePositions, isLater, type Position} from '@gatehead/schema/position';
import {type RelayMessage, type RelayMessageOf} from '@gatehead/schema/relay-message';
import {type RelayContext} from '../core/context.js';
import {type DirectoryWatch} from '../core/directory-watch.js';
import {type FleetParts} from './fleet-parts.js';

/** Time that the own watch gets to bring what a peer knows already, in milliseconds: a hundred times the way to the directory, and a fifth of the shortest bound on leaving endpoints. */
export const ownNewsMs = 400;
/** Time for which a host that has heard of a position in no history that it can name reads the directory itself, in milliseconds: three ticks, the time after which a silent host is suspect. */
const unplacedMs = 2100;
/** Least time between two questions, and until an unanswered one is put again, in milliseconds: several times the way to any peer and back. */
export const askAgainMs = 250;
/** Questions after one heartbeat: whoever offered the news may be gone since, and the next heartbeat of another comes within three ticks. */
const mostQuestions = 4;

/** What the news are made from, and where they go. */
export type DirectoryNewsParts = Pick<FleetParts, 'endpoints' | 'routing' | 'watch'> & {
	readonly context: Pick<RelayContext, 'clock'>;
	/** Whether this host reads the directory itself. */
	readonly isReader: () => boolean;
	readonly send: (host: string, message: RelayMessage) => void;
	/** Tells the neighbours at once that there is something new. */
	readonly announce: () => void;
};

/** What a peer knows beyond this host, and how often it may still be asked. */
type Offer = {
	readonly host: string;
	readonly position: Position;
	readonly routingVersion: number;
	readonly questions: number;
};

/** Compares with other hosts, asks them and answers them. */
export class DirectoryNews {
	readonly #parts: DirectoryNewsParts;
	/** The latest news that were offered. */
	#offer: Offer | undefined;
	/** Runs from one question to the earliest next. */
	#pause: Timer | undefined;
	#unplacedAt = Number.NEGATIVE_INFINITY;
	/** Waits for the own watch to bring what a peer knows already. */
	#late: Timer | undefined;

	constructor(parts: DirectoryNewsParts) {
		this.#parts = parts;
	}

	/** Asks a peer for what it knows and this host does not: what the directory would say itself in a moment is not asked for. */
	compare(host: string, {routingVersion, directoryRevision, directoryEpoch, departures, pauses}: RelayMessageOf<'heartbeat'>): void {
		const {routing, endpoints, watch} = this.#parts;
		for (const pause of pauses) {
			endpoints.hearPause(pause, host);
		}

		endpoints.hearDepartures(departures, host);
		const own = watch();
		const offered: Position = {epoch: directoryEpoch, revision: directoryRevision};
		this.#noteUnplaced(offered, own);
		const isLate = directoryRevision >= 0 && this.#isLate(offered, own);
		const isOtherHistory = own.position !== undefined && own.position.epoch !== directoryEpoch;
		if (routingVersion > routing.version || (isLate && (isOtherHistory || !this.#hearsItself(own)))) {
			this.#want(host, offered, routingVersion);
		} else if (isLate) {
			this.#wantLater(host, offered, routingVersion);
		}

		if (isLate && isOtherHistory) {
			// The own watch belongs to a history that is over
			own.doubt();
		}
	}

	/** Whether hosts that speak to this one say where they stand in a way that cannot be placed, as hosts of an earlier version: then it has to see for itself. */
	get hearsUnplaced(): boolean {
		return this.#parts.context.clock.now() - this.#unplacedAt < unplacedMs;
	}

	/** Stops waiting for the own watch. */
	close(): void {
		this.#late?.stop();
		this.#pause?.stop();
	}

	/** Tells a host that asked what it lacks. */
	give(host: string, {routingVersion, ...known}: RelayMessageOf<'directoryWanted'>): void {
		const {routing, endpoints, watch, context: {clock}} = this.#parts;
		if (routing.isBehind) {
			// It would pass on a revision without the configuration that belongs to it
			return;
		}

		const listed = endpoints.book.list();
		this.#parts.send(host, {
			kind: 'directory',
			routing: routing.version > routingVersion ? routing.table?.routing : undefined,
			revision: watch().revision,
			epoch: watch().position?.epoch,
			departures: endpoints.book.listDepartures(clock.now()),
			ageMs: watch().ageMs,
			isWitnessed: watch().isWitnessed,
			endpoints: listed.filter(each => known.revision < 0 || isLater(each, known)),
			ids: listed.map(each => each.endpoint.id),
			kept: endpoints.book.listKept(clock.now()),
		});
	}

	/** Takes over what a host has told. */
	take(host: string, {routing: offered, revision, epoch, departures, ageMs, isWitnessed, endpoints: listed, ids, kept}: RelayMessageOf<'directory'>): void {
		const {routing, endpoints, watch, context: {clock}} = this.#parts;
		const own = watch();
		if (offered !== undefined && offered.version > routing.version) {
			routing.offer(offered, host, ageMs);
			// The own watch should have said so: its connection may be cut in silence
			own.doubt();
		}

		const position: Position = {epoch, revision};
		if (revision < 0 || !this.#isLate(position, own)) {
			return;
		}

		const isOtherHistory = own.position !== undefined && own.position.epoch !== epoch;
		own.follow(position, host);
		endpoints.hearDepartures(departures, host);
		const changes = endpoints.book.replace({
			listed, ids: new Set(ids), position, isWitnessed, kept,
		}, clock.now());
		endpoints.note(changes, host, ageMs);
		own.hear(position, isWitnessed, ageMs);
		if (changes.length > 0 || isOtherHistory) {
			// The same holds for endpoints
			own.doubt();
		}

		this.#parts.announce();
	}

	#noteUnplaced(offered: Position, {position}: DirectoryWatch): void {
		if (offered.revision >= 0 && position !== undefined && comparePositions(offered, position) === 'unknown') {
			this.#unplacedAt = this.#parts.context.clock.now();
		}
	}

	/** Whether this host hears of changes from the directory itself. */
	#hearsItself(own: DirectoryWatch): boolean {
		return this.#parts.isReader() && own.isAnswered;
	}

	/** Whether this host knows less of the directory than what is offered. */
	#isLate(offered: Position, {position}: DirectoryWatch): boolean {
		return position === undefined || comparePositions(offered, position) === 'later';
	}

	/** Asks unless the own watch has brought it meanwhile. */
	#wantLater(host: string, offered: Position, routingVersion: number): void {
		const {watch, context: {clock}} = this.#parts;
		this.#late ??= clock.after(ownNewsMs, () => {
			this.#late = undefined;
			if (this.#isLate(offered, watch())) {
				this.#want(host, offered, routingVersion);
			}
		});
	}

	#want(host: string, position: Position, routingVersion: number): void {
		this.#offer = {
			host, position, routingVersion, questions: mostQuestions,
		};
		this.#ask();
	}

	/** Puts the next question at once, or as soon as the last one is old enough: what is offered in between must not wait for the next heartbeat. */
	#ask(): void {
		const {routing, watch, send, context: {clock}} = this.#parts;
		const offer = this.#offer;
		if (this.#pause !== undefined || offer === undefined || offer.questions === 0 || !this.#lacks(offer)) {
			return;
		}

		this.#offer = {...offer, questions: offer.questions - 1};
		send(offer.host, {
			kind: 'directoryWanted', routingVersion: routing.version, revision: watch().revision, epoch: watch().position?.epoch,
		});
		this.#pause = clock.after(askAgainMs, () => {
			this.#pause = undefined;
			this.#ask();
		});
	}

	#lacks({position, routingVersion}: Offer): boolean {
		const {routing, watch} = this.#parts;
		return routingVersion > routing.version || (position.revision >= 0 && this.#isLate(position, watch()));
	}
}
