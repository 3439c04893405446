/**
 * Manages the cells that are assigned to this host, as bundle and membership
 * change. Efficiency: two hosts that keep the same cell over-commit it until
 * engine refusals and reports correct both schedulers.
 */
import {deriveCells, selectKeeper, type Cell} from '@gatehead/policy/core/cell';
import {type MemberRecord, type PeerMessage} from '@gatehead/schema/peer-message';
import {toCanonicalJson} from '@gatehead/schema/canonical-json';
import {type BundleStore, type AdoptedBundle} from '../core/bundle-store.js';
import {type Canceller} from '../core/canceller.js';
import {type Context} from '../core/context.js';
import {type EngineClient} from '../core/engine-client.js';
import {CellManager, type HolderMessage} from './cell-manager.js';
import {Orders} from './orders.js';

/** Dependencies of `Keeper`. */
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

const noHosts: ReadonlySet<string> = new Set();

/** Keeper of this host's cells. */
export class Keeper {
	/** Cells of the bundle in force. */
	cells: readonly Cell[] = [];
	readonly #parts: KeeperParts;
	readonly #managers = new Map<string, CellManager>();
	readonly #orders: Orders;
	readonly #keepersByModel = new Map<string, ReadonlySet<string>>();
	#keepersCacheKey = '';
	/** Inputs of each cell's manager; the manager is replaced when they change. */
	readonly #serializedInputs = new Map<string, string>();

	constructor(parts: KeeperParts) {
		this.#parts = parts;
		const {context, client, bundles, onHigherFence} = parts;
		this.#orders = new Orders({
			context, client, bundles, onHigherFence, isKeeper: engine => this.#keepsEngine(engine),
		});
		bundles.onAdopted(inForce => {
			this.cells = deriveCells(inForce.bundle);
			this.updateAssignments();
		});
	}

	/** Load of the busiest cell kept here, from 0 to 1. */
	get load(): number {
		let load = 0;
		for (const cell of this.#managers.values()) {
			load = Math.max(load, cell.load);
		}

		return load;
	}

	/** Scheduler state of each cell kept here, for the admin API. */
	describe() {
		return [...this.#managers.values()].map(each => each.describe());
	}

	/** Hosts that keep cells of a model; cached until the bundle or the membership changes. */
	keepersOf(model: string | undefined, membersSequence: number): ReadonlySet<string> {
		if (model === undefined) {
			return noHosts;
		}

		const cacheKey = `${membersSequence} ${this.#parts.bundles.version}`;
		if (this.#keepersCacheKey !== cacheKey) {
			this.#keepersCacheKey = cacheKey;
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

	/** Starts managing cells newly assigned to this host, and stops managing those assigned elsewhere. */
	updateAssignments(): void {
		const {inForce} = this.#parts.bundles;
		if (inForce === undefined) {
			return;
		}

		const assigned = new Map(this.cells.filter(each => this.#isKeeperOf(each)).map(each => [each.name, each]));
		for (const name of this.#managers.keys()) {
			const cell = assigned.get(name);
			if (cell === undefined || this.#serializedInputs.get(name) !== serializeInputs(cell, inForce)) {
				this.#removeCell(name);
			}
		}

		for (const [name, cell] of assigned) {
			if (!this.#managers.has(name)) {
				this.#addCell(cell, inForce);
			}
		}
	}

	/** Handles a lease holder's message; answers `notKeeper` to a request for a cell kept elsewhere. */
	handleMessage(from: string, message: HolderMessage): void {
		const manager = this.#managers.get(message.cell);
		if (manager !== undefined) {
			manager.handleMessage(from, message);
			return;
		}

		if (message.kind === 'ask') {
			const {request, attempt} = message.ask;
			this.#parts.send(from, {
				kind: 'notKeeper', cell: message.cell, request, attempt,
			});
		}
	}

	/** Restarts the timeouts of all cells, after a pause of this process. */
	resetTimeouts(): void {
		for (const cell of this.#managers.values()) {
			cell.resetTimeouts();
		}
	}

	/** Stops managing all cells. */
	stop(): void {
		for (const name of this.#managers.keys()) {
			this.#removeCell(name);
		}
	}

	#isKeeperOf(cell: Cell): boolean {
		return selectKeeper(cell, this.#parts.candidates()) === this.#parts.context.self.host;
	}

	#keepsEngine(engine: string): boolean {
		const cell = this.cells.find(({engines}) => engines.some(each => each.name === engine));
		return cell !== undefined && this.#managers.has(cell.name) && this.#isKeeperOf(cell);
	}

	#removeCell(name: string): void {
		this.#managers.get(name)?.stop();
		this.#managers.delete(name);
		this.#serializedInputs.delete(name);
		this.#parts.context.timeline.record({kind: 'keeperChanged', detail: `lays down ${name}`});
	}

	#addCell(cell: Cell, inForce: AdoptedBundle): void {
		const {context, client, canceller, send, bundles, isLeaving} = this.#parts;
		const manager = new CellManager(cell, inForce.bundle, {
			context, client, canceller, send, isLeaving, orders: this.#orders, findCaller: name => bundles.inForce?.bundle.callers.find(each => each.name === name),
		});
		this.#managers.set(cell.name, manager);
		this.#serializedInputs.set(cell.name, serializeInputs(cell, inForce));
		context.timeline.record({kind: 'keeperChanged', detail: `takes up ${cell.name}`});
		manager.start();
	}
}

/** Serializes the inputs from which a cell's manager is created, for comparison. */
function serializeInputs(cell: Cell, {bundle: {rules, models}}: AdoptedBundle): string {
	return toCanonicalJson({
		cell, rules, models,
	});
}
