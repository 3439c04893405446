/**
 * Generated histories of a directory that comes back from copies, read by one
 * host, heard by another, in any order. Once every endpoint has written again
 * what it is, all hosts agree with the directory; and no host that knew an
 * endpoint to be leaving gives it work again before.
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

/** The directory: entries by name, the events of its present history, and a copy. */
class PlayedDirectory {
	epoch = 1;
	revision = 0;
	#entries = new Map<string, Event>();
	#events: Event[] = [];
	#copy: {readonly revision: number; readonly entries: Map<string, Event>; readonly events: readonly Event[]} = {revision: 0, entries: new Map(), events: []};

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
		this.#copy = {revision: this.revision, entries: new Map(this.#entries), events: [...this.#events]};
	}

	restore(): void {
		this.epoch += 1;
		this.revision = this.#copy.revision;
		this.#entries = new Map(this.#copy.entries);
		this.#events = [...this.#copy.events];
	}

	list(): ListedEndpoint[] {
		return [...this.#entries.values()].flatMap(({revision, endpoint}) => endpoint === undefined ? [] : [{epoch: this.epoch, revision, endpoint}]);
	}

	eventsAfter(revision: number): Event[] {
		return this.#events.filter(event => event.revision > revision);
	}
}

/** One host's book and position; what it has known to be leaving. */
class PlayedHost {
	readonly book = new EndpointBook();
	readonly knownLeft = new Set<string>();
	position: Position | undefined;

	/** A watch where the position is of the directory's history, a list otherwise. */
	read(directory: PlayedDirectory, now: number): void {
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

	hear(teller: PlayedHost, now: number): void {
		const {position} = teller;
		if (position === undefined) {
			return;
		}

		const known = this.position;
		this.book.mergeDepartures(teller.book.listDepartures(now), now);
		if (known !== undefined && comparePositions(position, known) !== 'later') {
			return;
		}

		this.#follow(position, now);
		const listed = teller.book.list();
		this.#note(this.book.replace({
			listed: listed.filter(each => known === undefined || isLater(each, known)), ids: new Set(listed.map(each => each.endpoint.id)), position, isWitnessed: true, kept: teller.book.listKept(now),
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
				this.knownLeft.add(endpoint.id);
			}
		}
	}
}

type Deed = {readonly kind: 'start' | 'leave' | 'end' | 'rewrite'; readonly name: number} | {readonly kind: 'copy' | 'restore' | 'readA' | 'readB' | 'tellA' | 'tellB' | 'tick'};

const deeds: Arbitrary<Deed[]> = array(oneof(
	record({kind: constantFrom<'start' | 'leave' | 'end' | 'rewrite'>('start', 'leave', 'end', 'rewrite'), name: nat(names - 1)}),
	record({kind: constantFrom<'copy' | 'restore' | 'readA' | 'readB' | 'tellA' | 'tellB' | 'tick'>('copy', 'restore', 'readA', 'readA', 'readB', 'tellA', 'tellB', 'tick')}),
), {minLength: 20, maxLength: 60, size: 'max'});

/** All of it, and what each endpoint would write of itself. */
class Play {
	readonly directory = new PlayedDirectory();
	readonly hosts = {a: new PlayedHost(), b: new PlayedHost()};
	readonly own = new Map<string, Endpoint>();
	now = 0;
	#starts = 0;

	do(deed: Deed): void {
		const handlers: Readonly<Record<Deed['kind'], (name: string) => void>> = {
			start: name => {
				this.#starts += 1;
				this.#say(name, {
					id: `${name}@${this.#starts}`, instance: name, service, address: '10.0.0.1:80', hall: 'a', state: 'ready', slots: 1,
				});
			},
			leave: name => {
				const endpoint = this.own.get(name);
				if (endpoint?.state === 'ready') {
					this.#say(name, {...endpoint, state: 'leaving'});
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
				this.hosts.b.hear(this.hosts.a, this.now);
			},
			tellB: () => {
				this.hosts.a.hear(this.hosts.b, this.now);
			},
			tick: () => {
				this.now += 100;
				this.sweep();
			},
		};
		handlers[deed.kind]('name' in deed ? `e${deed.name}` : '');
	}

	/** What the directory has lost of an endpoint's word is written again; the entry of one that has ended lapses. */
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

	/** Endpoints that a host gives work to although it knew them to be leaving. */
	listForgotten(): string[] {
		return Object.values(this.hosts).flatMap(({book, knownLeft}) => [...knownLeft].filter(id => book.isReady(id)));
	}

	#say(name: string, endpoint: Endpoint): void {
		this.own.set(name, endpoint);
		this.directory.write(name, endpoint);
	}
}

function listReady(book: EndpointBook): string[] {
	return book.listReady(service).map(({id}) => id).toSorted();
}

describe('histories of a directory that comes back from copies', () => {
	it('hosts agree with it once all have written again, and forget no departure before', () => {
		assert(property(deeds, all => {
			const play = new Play();
			for (const deed of all) {
				play.do(deed);
				expect(play.listForgotten()).toEqual([]);
			}

			for (let name = 0; name < names; name += 1) {
				play.do({kind: 'rewrite', name});
			}

			play.do({kind: 'readA'});
			play.do({kind: 'tellA'});
			play.now += overrideMs + 1;
			play.sweep();
			play.do({kind: 'readA'});
			play.do({kind: 'readB'});
			const wanted = [...play.own.values()].filter(({state}) => state === 'ready').map(({id}) => id).toSorted();
			expect([listReady(play.hosts.a.book), listReady(play.hosts.b.book)]).toEqual([wanted, wanted]);
		}), {numRuns: runs, seed});
	});
});
