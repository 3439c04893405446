/**
 * The keeper task of one host: takes up and lays down cells as bundle and
 * membership change. Efficiency: two hosts that keep one cell at once grant
 * too much for a while; the engines refuse and the reports shrink both.
 */
import {deriveCells, selectKeeper, type Cell} from '@gatehead/policy/core/cell';
import {type MemberRecord, type PeerMessage} from '@gatehead/schema/peer-message';
import {toCanonicalJson} from '@gatehead/schema/canonical-json';
import {type BundleStore, type AdoptedBundle} from '../core/bundle-store.js';
import {type Canceller} from '../core/canceller.js';
import {type Context} from '../core/context.js';
import {type EngineClient} from '../core/engine-client.js';
import {KeptCell, type HolderMessage} from './kept-cell.js';
import {Orders} from './orders.js';

/** What the keeper works with. */
export type KeeperParts = {
	readonly context: Context;
	readonly client: EngineClient;
	readonly canceller: Canceller;
	readonly bundles: BundleStore;
	readonly candidates: () => readonly MemberRecord[];
	readonly send: (host: string, message: PeerMessage) => void;
	readonly onHigherFence: (fence: number) => void;
	readonly isLeaving: (endpoint: string) => boolean;
};

const none: ReadonlySet<string> = new Set();

/** Cells that this host keeps. */
export class Keeper {
	/** Cells of the bundle in force. */
	cells: readonly Cell[] = [];
	readonly #parts: KeeperParts;
	readonly #kept = new Map<string, KeptCell>();
	readonly #orders: Orders;
	readonly #keepersByModel = new Map<string, ReadonlySet<string>>();
	#keepersStamp = '';
	/** Content from which each kept cell was made; a changed cell starts anew. */
	readonly #contents = new Map<string, string>();

	constructor(parts: KeeperParts) {
		this.#parts = parts;
		const {context, client, bundles, onHigherFence} = parts;
		this.#orders = new Orders({
			context, client, bundles, onHigherFence, isKeeper: engine => this.#keepsEngine(engine),
		});
		bundles.onAdopted(inForce => {
			this.cells = deriveCells(inForce.bundle);
			this.review();
		});
	}

	/** Load of the busiest kept cell, from 0 to 1. */
	get load(): number {
		let load = 0;
		for (const cell of this.#kept.values()) {
			load = Math.max(load, cell.load);
		}

		return load;
	}

	/** Numbers for operators. */
	describe() {
		return [...this.#kept.values()].map(each => each.describe());
	}

	/** Hosts that keep cells of a model, worked out once for each change of bundle or members. */
	keepersOf(model: string | undefined, membersSequence: number): ReadonlySet<string> {
		if (model === undefined) {
			return none;
		}

		const stamp = `${membersSequence} ${this.#parts.bundles.version}`;
		if (this.#keepersStamp !== stamp) {
			this.#keepersStamp = stamp;
			this.#keepersByModel.clear();
		}

		let keepers = this.#keepersByModel.get(model);
		if (keepers === undefined) {
			const candidates = this.#parts.candidates();
			keepers = new Set(this.cells.filter(each => each.model === model).flatMap(each => selectKeeper(each, candidates) ?? []));
			this.#keepersByModel.set(model, keepers);
		}

		return keepers;
	}

	/** Takes up cells that fell to this host, lays down those that went elsewhere. */
	review(): void {
		const {inForce} = this.#parts.bundles;
		if (inForce === undefined) {
			return;
		}

		const own = new Map(this.cells.filter(each => this.#isKeeperOf(each)).map(each => [each.name, each]));
		for (const name of this.#kept.keys()) {
			const cell = own.get(name);
			if (cell === undefined || this.#contents.get(name) !== contentOf(cell, inForce)) {
				this.#layDown(name);
			}
		}

		for (const [name, cell] of own) {
			if (!this.#kept.has(name)) {
				this.#takeUp(cell, inForce);
			}
		}
	}

	/** Takes a holder's message; one for a cell kept elsewhere is sent back. */
	hear(from: string, message: HolderMessage): void {
		const kept = this.#kept.get(message.cell);
		if (kept !== undefined) {
			kept.hear(from, message);
			return;
		}

		if (message.kind === 'ask') {
			const {request, attempt} = message.ask;
			this.#parts.send(from, {
				kind: 'notKeeper', cell: message.cell, request, attempt,
			});
		}
	}

	/** Starts all graces anew after this process was paused. */
	wakeLate(): void {
		for (const cell of this.#kept.values()) {
			cell.wakeLate();
		}
	}

	/** Lays down all cells. */
	stop(): void {
		for (const name of this.#kept.keys()) {
			this.#layDown(name);
		}
	}

	#isKeeperOf(cell: Cell): boolean {
		return selectKeeper(cell, this.#parts.candidates()) === this.#parts.context.self.host;
	}

	#keepsEngine(engine: string): boolean {
		const cell = this.cells.find(({engines}) => engines.some(each => each.name === engine));
		return cell !== undefined && this.#kept.has(cell.name) && this.#isKeeperOf(cell);
	}

	#layDown(name: string): void {
		this.#kept.get(name)?.stop();
		this.#kept.delete(name);
		this.#contents.delete(name);
		this.#parts.context.timeline.record({kind: 'keeperChanged', detail: `lays down ${name}`});
	}

	#takeUp(cell: Cell, inForce: AdoptedBundle): void {
		const {context, client, canceller, send, bundles, isLeaving} = this.#parts;
		const kept = new KeptCell(cell, inForce.bundle, {
			context, client, canceller, send, isLeaving, orders: this.#orders, findCaller: name => bundles.inForce?.bundle.callers.find(each => each.name === name),
		});
		this.#kept.set(cell.name, kept);
		this.#contents.set(cell.name, contentOf(cell, inForce));
		context.timeline.record({kind: 'keeperChanged', detail: `takes up ${cell.name}`});
		kept.start();
	}
}

/** All that a kept cell was made from. */
function contentOf(cell: Cell, {bundle: {rules, models}}: AdoptedBundle): string {
	return toCanonicalJson({
		cell, rules, models,
	});
}
