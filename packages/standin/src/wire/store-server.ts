/** The platform's store as a stand-in: lists, watches, forgotten history, silence, refusals, a return from a copy. Written from the platform's pages. */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {sendJson, startServer} from '../utils/http.js';

/** An item or its end. */
export type StoreEvent = {
	readonly key: string;
	readonly value?: string;
	readonly revision: number;
	readonly createRev?: number;
	readonly tombstone?: boolean;
	/** Fields of the item as callers see them, where they differ. */
	readonly shown?: Readonly<Record<string, unknown>>;
};

/** How the store misbehaves. */
export type StoreFault = 'none' | 'silent' | 'busy' | 'reset';

/** What a store held at one moment. */
export type StoreCopy = {
	readonly items: ReadonlyMap<string, StoreEvent>;
	readonly history: readonly StoreEvent[];
	readonly revision: number;
};

/** What becomes of the watches that wait in a store which comes back from a copy: they are cut, or never hear anything. */
export type OldWatches = 'cut' | 'silent';

/** A running store. */
export type StandinStore = {
	readonly address: string;
	/** What the store does with calls from now on. */
	setFault(fault: StoreFault): void;
	put(key: string, value: unknown): void;
	/** Puts a value that is no serialized JSON, with fields of its item replaced, as another writer or a faulty store leaves it. */
	putText(key: string, text: string, fields?: Readonly<Record<string, unknown>>): void;
	remove(key: string): void;
	/** Forgets the history: watches from before get 410. */
	compact(): void;
	/** What it holds now. */
	copy(): StoreCopy;
	/** Comes back from a copy: later writes are gone, their revisions are given out again, and a watch from beyond gets 410. */
	restore(copy: StoreCopy, watches?: OldWatches): void;
	/** What a key's writer wrote last, whatever the store has lost since. */
	lastWritten(key: string): unknown;
	/** Calls so far. */
	countCalls(): number;
	kill(): Promise<void>;
};

type Watch = {
	readonly prefix: string;
	readonly after: number;
	readonly response: ServerResponse;
};

/** An item as callers see it. */
function showItem({shown, ...item}: StoreEvent): unknown {
	return {...item, ...shown};
}

/** Items of one page. */
const maxPageItems = 500;
/** Length of the values of one page, in base64 characters; the value that exceeds it is its last. */
const maxPageLength = 1_000_000;

class Store {
	fault: StoreFault = 'none';
	calls = 0;
	/** How often it has come back from a copy; stands on every answer. */
	era = 1;
	/** What writers wrote last, by key: they write it again when the store has lost it. */
	readonly written = new Map<string, unknown>();
	#items = new Map<string, StoreEvent>();
	#history: StoreEvent[] = [];
	readonly #watches = new Set<Watch>();
	#revision = 0;
	#compactedAt = 0;

	write(key: string, value: unknown): void {
		this.written.set(key, value);
		this.writeText(key, JSON.stringify(value));
	}

	writeText(key: string, text: string, fields: Readonly<Record<string, unknown>> = {}): void {
		this.#revision += 1;
		const item: StoreEvent = {
			key, value: Buffer.from(text).toString('base64'), revision: this.#revision, createRev: this.#items.get(key)?.createRev ?? this.#revision, shown: fields,
		};
		this.#items.set(key, item);
		this.#publish(item);
	}

	remove(key: string): void {
		this.written.delete(key);
		this.#revision += 1;
		this.#items.delete(key);
		this.#publish({key, revision: this.#revision, tombstone: true});
	}

	compact(): void {
		this.#history = [];
		this.#compactedAt = this.#revision;
		for (const watch of this.#watches) {
			watch.response.destroy();
		}

		this.#watches.clear();
	}

	copy(): StoreCopy {
		return {items: new Map(this.#items), history: [...this.#history], revision: this.#revision};
	}

	restore({items, history, revision}: StoreCopy, watches: OldWatches): void {
		this.era += 1;
		this.#items = new Map(items);
		this.#history = [...history];
		this.#revision = revision;
		this.#compactedAt = Math.min(this.#compactedAt, revision);
		if (watches === 'cut') {
			for (const watch of this.#watches) {
				watch.response.destroy();
			}
		}

		this.#watches.clear();
	}

	/** One page of a list, in the order of keys. */
	list(prefix: string, after: string): unknown {
		const rest = [...this.#items.values()].filter(({key}) => key.startsWith(prefix) && key > after).toSorted((left, right) => left.key < right.key ? -1 : 1);
		const items: StoreEvent[] = [];
		let length = 0;
		for (const item of rest) {
			if (items.length === maxPageItems || length > maxPageLength) {
				break;
			}

			items.push(item);
			length += item.value?.length ?? 0;
		}

		return {items: items.map(item => showItem(item)), hasMore: items.length < rest.length, asOf: this.#revision};
	}

	watch(watch: Watch, waitMs: number): void {
		if (watch.after < this.#compactedAt || watch.after > this.#revision) {
			sendJson(watch.response, 410, {});
			return;
		}

		if (this.#answer(watch)) {
			return;
		}

		this.#watches.add(watch);
		const timer = setTimeout(() => {
			// A store that says nothing does not end a watch either: its answer would vouch for writes that it has not told
			if (this.fault === 'none' && this.#watches.delete(watch) && !this.#answer(watch)) {
				sendJson(watch.response, 200, {events: [], asOf: this.#revision});
			}
		}, waitMs);
		watch.response.once('close', () => {
			clearTimeout(timer);
			this.#watches.delete(watch);
		});
	}

	#publish(event: StoreEvent): void {
		this.#history.push(event);
		if (this.fault !== 'none') {
			return;
		}

		for (const watch of this.#watches) {
			if (this.#answer(watch)) {
				this.#watches.delete(watch);
			}
		}
	}

	#answer({prefix, after, response}: Watch): boolean {
		const events = this.#history.filter(({key, revision}) => revision > after && key.startsWith(prefix));
		if (events.length > 0) {
			sendJson(response, 200, {events: events.map(event => showItem(event)), asOf: this.#revision});
		}

		return events.length > 0;
	}
}

/** Starts a store. */
export async function startStore(address: string): Promise<StandinStore> {
	const store = new Store();
	const guarded = (run: (url: URL, response: ServerResponse) => void) => (request: {socket: {resetAndDestroy(): unknown}}, response: ServerResponse, url: URL) => {
		store.calls += 1;
		response.setHeader('store-era', store.era);
		const faults: Readonly<Record<StoreFault, () => void>> = {
			none() {
				run(url, response);
			},
			silent() {
				// The caller hears nothing
			},
			busy() {
				sendJson(response, 503, {});
			},
			reset() {
				request.socket.resetAndDestroy();
			},
		};
		faults[store.fault]();
	};

	const server = await startServer({
		'GET /api/kv-range': guarded((url, response) => {
			sendJson(response, 200, store.list(url.searchParams.get('pathPrefix') ?? '', url.searchParams.get('after') ?? ''));
		}),
		'GET /api/kv-watch': guarded((url, response) => {
			store.watch({prefix: url.searchParams.get('pathPrefix') ?? '', after: Number(url.searchParams.get('after')), response}, Number(url.searchParams.get('waitMs')));
		}),
	}, address);
	return {
		address: server.address,
		setFault(fault) {
			store.fault = fault;
		},
		put(key, value) {
			store.write(key, value);
		},
		putText(key, text, fields) {
			store.writeText(key, text, fields);
		},
		remove(key) {
			store.remove(key);
		},
		compact() {
			store.compact();
		},
		copy: () => store.copy(),
		restore(copy, watches = 'cut') {
			store.restore(copy, watches);
		},
		lastWritten: key => store.written.get(key),
		countCalls: () => store.calls,
		kill: server.kill,
	};
}
