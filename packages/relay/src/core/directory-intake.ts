/**
 * Takes over what the directory was read to say: lists replace, single changes
 * are applied, what cannot be read is written down. Safety: each change is
 * placed in the history that its answer belongs to.
 */
import {type Position} from '@gatehead/schema/position';
import {type Endpoints} from '../upstream/endpoints.js';
import {type Bookkeeping} from './context.js';
import {type Change, type Changes} from './directory.js';
import {type RoutingState} from './routing-state.js';

/** What is taken over, and where it goes. */
export type IntakeParts = {
	readonly context: Bookkeeping;
	readonly endpoints: Endpoints;
	readonly routing: RoutingState;
	/** The configuration was written at a position. */
	readonly onRouting: (position: Position) => void;
};

/** A change and where it stands. */
type Placed<Kind extends Change['kind']> = {
	readonly change: Extract<Change, {kind: Kind}>;
	readonly epoch: number | undefined;
};
type Takers = {readonly [Kind in Change['kind']]: (placed: Placed<Kind>) => void};

/** One host's taking over. */
export class DirectoryIntake {
	readonly #parts: IntakeParts;
	/** What is done with each kind of change. */
	readonly #takers: Takers = {
		routing: ({change: {revision, routing}, epoch}) => {
			this.#parts.onRouting({epoch, revision});
			this.#parts.routing.offer(routing, 'directory');
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
			this.#noteUnreadable('endpoint', detail, instance);
			endpoints.note(endpoints.book.hide(instance, {epoch, revision}, this.#now), 'watch');
		},
		routingUnreadable: ({change: {detail}}) => {
			this.#noteUnreadable('routing', detail);
			this.#parts.routing.fallBehind();
		},
		unreadable: ({change: {detail}}) => {
			this.#noteUnreadable('item', detail);
		},
	};

	constructor(parts: IntakeParts) {
		this.#parts = parts;
	}

	/** Takes over a whole list. */
	replace({changes, position}: Changes): void {
		const {endpoints} = this.#parts;
		const listed = changes.flatMap(change => change.kind === 'endpoint' ? [{epoch: position.epoch, revision: change.revision, endpoint: change.endpoint}] : []);
		// What cannot be read is there all the same
		const hidden = changes.flatMap(change => change.kind === 'endpointUnreadable' ? endpoints.book.idsOf(change.instance) : []);
		const ids = new Set([...listed.map(each => each.endpoint.id), ...hidden]);
		endpoints.note(endpoints.book.replace({listed, ids, position}, this.#now), 'list');
	}

	/** Takes over changes, one after the other. */
	apply({changes, position: {epoch}}: Changes): void {
		for (const change of changes) {
			this.#take(change, epoch);
		}
	}

	get #now(): number {
		return this.#parts.context.clock.now();
	}

	#take<Kind extends Change['kind']>(change: Extract<Change, {kind: Kind}> & {readonly kind: Kind}, epoch: number | undefined): void {
		const take: (placed: Placed<Kind>) => void = this.#takers[change.kind];
		take({change, epoch});
	}

	#noteUnreadable(item: string, detail: string, endpoint?: string): void {
		const {log, metrics} = this.#parts.context;
		metrics.add('directoryUnreadable', {item});
		log('directoryUnreadable', {item, endpoint, detail});
	}
}
