/**
 * What hosts tell each other of the configuration and of endpoints, so that a
 * host which does not read the directory, or cannot, knows them as well.
 * Efficiency: versions and revisions decide what is believed, not who said it.
 */
import {type Timer} from '@gatehead/policy/utils/clock';
import {type RelayMessage, type RelayMessageOf} from '@gatehead/schema/relay-message';
import {type FleetParts} from './fleet-parts.js';

/** Time that the own watch gets to bring what a peer knows already, in milliseconds: a hundred times the way to the directory, and a fifth of the shortest bound on leaving endpoints. */
const ownNewsMs = 400;
/** Least time between two questions, in milliseconds: several times the way to any peer and back. */
const askAgainMs = 250;

/** What the news are made from, and where they go. */
export type DirectoryNewsParts = Omit<FleetParts, 'measureLoad'> & {
	/** Whether this host reads the directory itself. */
	readonly isReader: () => boolean;
	readonly send: (host: string, message: RelayMessage) => void;
	/** Tells the neighbours at once that there is something new. */
	readonly announce: () => void;
};

/** Compares with other hosts, asks them and answers them. */
export class DirectoryNews {
	readonly #parts: DirectoryNewsParts;
	#askedAt = Number.NEGATIVE_INFINITY;
	/** Waits for the own watch to bring what a peer knows already. */
	#late: Timer | undefined;

	constructor(parts: DirectoryNewsParts) {
		this.#parts = parts;
	}

	/** Asks a peer for what it knows and this host does not: what the directory would say itself in a moment is not asked for. */
	compare(host: string, {routingVersion, directoryRevision, pauses}: RelayMessageOf<'heartbeat'>): void {
		const {routing, endpoints, watch, isReader, context: {clock}} = this.#parts;
		for (const pause of pauses) {
			endpoints.hearPause(pause, host);
		}

		const own = watch();
		const hearsItself = isReader() && !own.isDown;
		if (routingVersion > routing.version || (directoryRevision > own.revision && !hearsItself)) {
			this.#ask(host);
		} else if (directoryRevision > own.revision) {
			this.#late ??= clock.after(ownNewsMs, () => {
				this.#late = undefined;
				if (directoryRevision > own.revision) {
					this.#ask(host);
				}
			});
		}
	}

	/** Stops waiting for the own watch. */
	close(): void {
		this.#late?.stop();
	}

	/** Tells a host that asked what it lacks. */
	give(host: string, {routingVersion, revision}: RelayMessageOf<'directoryWanted'>): void {
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
			isWitnessed: watch().isWitnessed,
			endpoints: listed.filter(each => each.revision > revision),
			ids: listed.map(each => each.endpoint.id),
			kept: endpoints.book.listKept(clock.now()),
		});
	}

	/** Takes over what a host has told. */
	take(host: string, {routing: offered, revision, isWitnessed, endpoints: listed, ids, kept}: RelayMessageOf<'directory'>): void {
		const {routing, endpoints, watch, context: {clock}} = this.#parts;
		if (offered !== undefined) {
			routing.offer(offered, host);
		}

		const own = watch();
		if (revision > own.revision) {
			const changes = endpoints.book.replace({
				listed, ids: new Set(ids), revision, isWitnessed, kept,
			}, clock.now());
			endpoints.note(changes, host);
			own.hear(revision, isWitnessed);
			if (changes.length > 0) {
				// The own watch should have said so: its connection may be cut in silence
				own.doubt();
			}

			this.#parts.announce();
		}
	}

	#ask(host: string): void {
		const {routing, watch, context: {clock}} = this.#parts;
		if (clock.now() - this.#askedAt > askAgainMs) {
			this.#askedAt = clock.now();
			this.#parts.send(host, {kind: 'directoryWanted', routingVersion: routing.version, revision: watch().revision});
		}
	}
}
