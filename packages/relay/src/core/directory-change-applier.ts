/**
 * Applies what was read from the directory: lists replace the known endpoints,
 * single changes are applied in order, unreadable items are logged. Safety:
 * each change is recorded under the epoch of the response that contained it.
 */
import {type Position} from '@gatehead/schema/position';
import {type Endpoints} from '../upstream/endpoints.js';
import {type BaseContext} from './context.js';
import {type Change, type Changes} from './directory.js';
import {type RoutingState} from './routing-state.js';

/** Dependencies of `DirectoryChangeApplier`. */
export type DirectoryChangeApplierParts = {
	readonly context: BaseContext;
	readonly endpoints: Endpoints;
	readonly routing: RoutingState;
	/** Called with the position at which the configuration was written. */
	readonly onRoutingWrite: (position: Position) => void;
	/** Whether the configuration that a read returns is the newest as far as the directory can tell. */
	readonly canConfirm: () => boolean;
};

/** A change and the response that contained it. */
type VersionedChange<Kind extends Change['kind']> = {
	readonly change: Extract<Change, {kind: Kind}>;
	readonly epoch: number | undefined;
	/** Position of the list that contained the change; absent for single changes. */
	readonly listedAt: Position | undefined;
};
type ChangeHandlers = {readonly [Kind in Change['kind']]: (versioned: VersionedChange<Kind>) => void};

/** Applies directory changes to the endpoints and the configuration of one host. */
export class DirectoryChangeApplier {
	readonly #parts: DirectoryChangeApplierParts;
	readonly #handlers: ChangeHandlers = {
		routing: ({change, epoch, listedAt}) => {
			const {onRoutingWrite, canConfirm, routing} = this.#parts;
			const writtenAt = {epoch, revision: change.revision};
			onRoutingWrite(writtenAt);
			routing.offer(change.routing, 'directory', 0, writtenAt);
			if (canConfirm()) {
				routing.recordNewest(change.routing, listedAt ?? writtenAt);
			}
		},
		endpoint: ({change: {revision, endpoint}, epoch}) => {
			const {endpoints} = this.#parts;
			endpoints.note(endpoints.book.put({epoch, revision, endpoint}, this.#now), 'watch');
		},
		endpointGone: ({change: {instance, revision}, epoch}) => {
			const {endpoints} = this.#parts;
			endpoints.note(endpoints.book.remove(instance, {epoch, revision}, this.#now), 'watch');
		},
		endpointUnreadable: ({change: {instance, revision, detail}, epoch}) => {
			const {endpoints} = this.#parts;
			this.#reportUnreadable('endpoint', detail, instance);
			endpoints.note(endpoints.book.markUnreadable(instance, {epoch, revision}, this.#now), 'watch');
		},
		routingUnreadable: ({change: {revision, detail}, epoch}) => {
			this.#reportUnreadable('routing', detail);
			this.#parts.routing.markBehind({epoch, revision});
		},
		unreadable: ({change: {detail}}) => {
			this.#reportUnreadable('item', detail);
		},
	};

	constructor(parts: DirectoryChangeApplierParts) {
		this.#parts = parts;
	}

	/** Replaces the known endpoints by a full list. */
	replace({changes, position}: Changes): void {
		const {endpoints} = this.#parts;
		const listed = changes.flatMap(change => change.kind === 'endpoint' ? [{epoch: position.epoch, revision: change.revision, endpoint: change.endpoint}] : []);
		// An unreadable entry still exists, so its endpoints must not be removed
		const unreadable = changes.flatMap(change => change.kind === 'endpointUnreadable' ? endpoints.book.idsOf(change.instance) : []);
		const ids = new Set([...listed.map(each => each.endpoint.id), ...unreadable]);
		endpoints.note(endpoints.book.replace({listed, ids, position}, this.#now), 'list');
	}

	/** Applies changes in order. `isList`: they are a full list, which holds as of its position. */
	apply({changes, position}: Changes, isList: boolean): void {
		const listedAt = isList ? position : undefined;
		for (const change of changes) {
			this.#applyChange({change, epoch: position.epoch, listedAt});
		}
	}

	get #now(): number {
		return this.#parts.context.clock.now();
	}

	#applyChange<Kind extends Change['kind']>(versioned: VersionedChange<Kind> & {readonly change: {readonly kind: Kind}}): void {
		const handle: (versioned: VersionedChange<Kind>) => void = this.#handlers[versioned.change.kind];
		handle(versioned);
	}

	#reportUnreadable(item: string, detail: string, endpoint?: string): void {
		const {log, metrics} = this.#parts.context;
		metrics.add('directoryUnreadable', {item});
		log('directoryUnreadable', {item, endpoint, detail});
	}
}
