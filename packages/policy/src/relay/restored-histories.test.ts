/**
 * Property test of directory restores from backups, with two hosts that read
 * the directory or each other's state. After a restore, hosts must not send
 * work to endpoints that they knew to be leaving, and must agree with the
 * directory once all endpoints have registered again.
 */
import {describe, it} from 'node:test';
import {comparePositions, isLater, type Position} from '@gatehead/schema/position';
import {type Endpoint, type ListedEndpoint} from '@gatehead/schema/routing';
import {expect} from 'earl';
import {
	array, assert, constantFrom, nat, oneof, property, record, type Arbitrary,
} from 'fast-check';
import {overrideMs} from './departures.js';
import {EndpointBook} from './endpoint-book.js';

const runs = 2000;
const seed = 1;
const names = 2;
const service = 's';

type Event = {readonly name: string; readonly revision: number; readonly endpoint: Endpoint | undefined};

/** Simulated directory: entries by name, the events of its current epoch, and a backup. */
class SimulatedDirectory {
	epoch = 1;
	revision = 0;
	#entries = new Map<string, Event>();
	#events: Event[] = [];
	#backup: {readonly revision: number; readonly entries: Map<string, Event>; readonly events: readonly Event[]} = {revision: 0, entries: new Map(), events: []};

	get position(): Position {
		return {epoch: this.epoch, revision: this.revision};
	}

	write(name: string, endpoint: Endpoint | undefined): void {
		this.revision += 1;
		const event = {name, revision: this.revision, endpoint};
		this.#events.push(event);
		if (endpoint === undefined) {
			this.#entries.delete(name);
		} else {
			this.#entries.set(name, event);
		}
	}

	entryOf(name: string): Endpoint | undefined {
		return this.#entries.get(name)?.endpoint;
	}

	copy(): void {
		this.#backup = {revision: this.revision, entries: new Map(this.#entries), events: [...this.#events]};
	}

	restore(): void {
		this.epoch += 1;
		this.revision = this.#backup.revision;
		this.#entries = new Map(this.#backup.entries);
		this.#events = [...this.#backup.events];
	}

	list(): ListedEndpoint[] {
		return [...this.#entries.values()].flatMap(({revision, endpoint}) => endpoint === undefined ? [] : [{epoch: this.epoch, revision, endpoint}]);
	}

	eventsAfter(revision: number): Event[] {
		return this.#events.filter(event => event.revision > revision);
	}
}

/** Simulated host: its endpoint book, its position, and the endpoints that it knew to be leaving. */
class SimulatedHost {
	readonly book = new EndpointBook();
	readonly knownLeaving = new Set<string>();
	position: Position | undefined;

	/** Reads events if the position is in the current epoch, and a full list otherwise. */
	read(directory: SimulatedDirectory, now: number): void {
		const {position} = directory;
		const known = this.position;
		if (known !== undefined && known.epoch === position.epoch) {
			for (const {name, revision, endpoint} of directory.eventsAfter(known.revision)) {
				const at = {epoch: position.epoch, revision};
				this.#note(endpoint === undefined ? this.book.remove(name, at, now) : this.book.put({...at, endpoint}, now));
			}
		} else {
			this.#follow(position, now);
			const listed = directory.list();
			this.#note(this.book.replace({listed, ids: new Set(listed.map(each => each.endpoint.id)), position}, now));
		}

		this.position = position;
	}

	readFrom(source: SimulatedHost, now: number): void {
		const {position} = source;
		if (position === undefined) {
			return;
		}

		const known = this.position;
		this.book.mergeDepartures(source.book.listDepartures(now), now);
		if (known !== undefined && comparePositions(position, known) !== 'later') {
			return;
		}

		this.#follow(position, now);
		const listed = source.book.list();
		this.#note(this.book.replace({
			listed: listed.filter(each => known === undefined || isLater(each, known)), ids: new Set(listed.map(each => each.endpoint.id)), position, isWitnessed: true, kept: source.book.listKept(now),
		}, now));
		this.position = position;
	}

	#follow(position: Position, now: number): void {
		if (this.position !== undefined && this.position.epoch !== position.epoch) {
			this.book.directoryRestored(position, now);
		}
	}

	#note(changes: ReturnType<EndpointBook['replace']>): void {
		for (const {endpoint, change} of changes) {
			if (change === 'leaving') {
				this.knownLeaving.add(endpoint.id);
			}
		}
	}
}

type Action = {readonly kind: 'start' | 'leave' | 'end' | 'rewrite'; readonly name: number} | {readonly kind: 'copy' | 'restore' | 'readA' | 'readB' | 'tellA' | 'tellB' | 'tick'};

const actions: Arbitrary<Action[]> = array(oneof(
	record({kind: constantFrom<'start' | 'leave' | 'end' | 'rewrite'>('start', 'leave', 'end', 'rewrite'), name: nat(names - 1)}),
	record({kind: constantFrom<'copy' | 'restore' | 'readA' | 'readB' | 'tellA' | 'tellB' | 'tick'>('copy', 'restore', 'readA', 'readA', 'readB', 'tellA', 'tellB', 'tick')}),
), {minLength: 20, maxLength: 60, size: 'max'});

/** Simulation of the directory, the hosts, and the endpoints' own state. */
class Simulation {
	readonly directory = new SimulatedDirectory();
	readonly hosts = {a: new SimulatedHost(), b: new SimulatedHost()};
	readonly own = new Map<string, Endpoint>();
	now = 0;
	#starts = 0;

	do(action: Action): void {
		const handlers: Readonly<Record<Action['kind'], (name: string) => void>> = {
			start: name => {
				this.#starts += 1;
				this.#register(name, {
					id: `${name}@${this.#starts}`, instance: name, service, address: '10.0.0.1:80', hall: 'a', state: 'ready', slots: 1,
				});
			},
			leave: name => {
				const endpoint = this.own.get(name);
				if (endpoint?.state === 'ready') {
					this.#register(name, {...endpoint, state: 'leaving'});
				}
			},
			end: name => {
				if (this.own.delete(name)) {
					this.directory.write(name, undefined);
				}
			},
			rewrite: name => {
				this.rewrite(name);
			},
			copy: () => {
				this.directory.copy();
			},
			restore: () => {
				this.directory.restore();
			},
			readA: () => {
				this.hosts.a.read(this.directory, this.now);
			},
			readB: () => {
				this.hosts.b.read(this.directory, this.now);
			},
			tellA: () => {
				this.hosts.b.readFrom(this.hosts.a, this.now);
			},
			tellB: () => {
				this.hosts.a.readFrom(this.hosts.b, this.now);
			},
			tick: () => {
				this.now += 100;
				this.sweep();
			},
		};
		handlers[action.kind]('name' in action ? `e${action.name}` : '');
	}

	/** Restores an endpoint's lost entry, or removes the entry of an endpoint that has stopped. */
	rewrite(name: string): void {
		const endpoint = this.own.get(name);
		const entry = this.directory.entryOf(name);
		if (entry?.id !== endpoint?.id || entry?.state !== endpoint?.state) {
			this.directory.write(name, endpoint);
		}
	}

	sweep(): void {
		this.hosts.a.book.sweep(this.now);
		this.hosts.b.book.sweep(this.now);
	}

	/** Returns endpoints that a host considers ready although it knew them to be leaving. */
	listReadyLeavers(): string[] {
		return Object.values(this.hosts).flatMap(({book, knownLeaving}) => [...knownLeaving].filter(id => book.isReady(id)));
	}

	#register(name: string, endpoint: Endpoint): void {
		this.own.set(name, endpoint);
		this.directory.write(name, endpoint);
	}
}

function listReady(book: EndpointBook): string[] {
	return book.listReady(service).map(({id}) => id).toSorted();
}

describe('directory restores from backups', () => {
	it('keep known departures, and hosts agree with the directory after all endpoints register again', () => {
		assert(property(actions, sequence => {
			const simulation = new Simulation();
			for (const action of sequence) {
				simulation.do(action);
				expect(simulation.listReadyLeavers()).toEqual([]);
			}

			for (let name = 0; name < names; name += 1) {
				simulation.do({kind: 'rewrite', name});
			}

			simulation.do({kind: 'readA'});
			simulation.do({kind: 'tellA'});
			simulation.now += overrideMs + 1;
			simulation.sweep();
			simulation.do({kind: 'readA'});
			simulation.do({kind: 'readB'});
			const wanted = [...simulation.own.values()].filter(({state}) => state === 'ready').map(({id}) => id).toSorted();
			expect([listReady(simulation.hosts.a.book), listReady(simulation.hosts.b.book)]).toEqual([wanted, wanted]);
		}), {numRuns: runs, seed});
	});
});
