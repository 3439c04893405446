/**
 * Asks the keepers of cells for leases on behalf of this host's requests,
 * asks again where a message or a keeper was lost, and claims each tick what
 * is in use. Efficiency: a lease that is wrongly held or lost costs goodput.
 */
import {ignore} from '@gatehead/policy/utils/ignore';
import {selectKeeper, type Cell} from '@gatehead/policy/core/cell';
import {rank} from '@gatehead/policy/core/rendezvous';
import {type Timer} from '@gatehead/policy/utils/clock';
import {Failure, fail} from '@gatehead/schema/failure';
import {
	type LeaseAsk, type LeaseClaim, type MemberRecord, type PeerMessage, type PeerMessageOf,
} from '@gatehead/schema/peer-message';
import {leaseKey} from '@gatehead/policy/scheduler/decode-pool';
import {type Context} from '../core/context.js';
import {type LeaseProvider, type LeaseOutcome, type LeaseId} from '../core/lease-provider.js';
import {type ModelRequest} from '../core/model-request.js';
import {type PeerLinks} from '../peer/peer-links.js';

const comeBackMs = 1000;
/** Most lease claims of one message. */
const mostClaims = 5000;

/** What the client works with. */
export type LeaseClientParts = {
	readonly context: Context;
	readonly links: () => PeerLinks<PeerMessage>;
	/** Cells of the bundle in force. */
	readonly cells: () => readonly Cell[];
	/** Hosts that may keep a cell. */
	readonly candidates: () => readonly MemberRecord[];
};

/** A lease that is asked for or held. */
type Holding = {
	readonly key: string;
	readonly cell: Cell;
	readonly ask: LeaseAsk;
	readonly askedAt: number;
	stage: LeaseClaim['stage'];
	prefillEngine: string;
	engine: string;
	/** Tells the keeper what the holder waits for; undefined while it waits for nothing. */
	message: (() => PeerMessage) | undefined;
	resolve: (engine: string) => void;
	reject: (failure: Failure) => void;
	/** Stops listening for the caller's leaving. */
	unlisten: () => void;
	sentAt: number;
};

/** Leases of this host's requests. */
export class LeaseClient implements LeaseProvider {
	readonly #parts: LeaseClientParts;
	readonly #holdings = new Map<string, Holding>();
	/** Keeper to which each cell's claims last went. */
	readonly #keepers = new Map<string, string>();
	#timer: Timer | undefined;
	#isClosed = false;

	constructor(parts: LeaseClientParts) {
		this.#parts = parts;
	}

	/** Leases held or asked for. */
	get size(): number {
		return this.#holdings.size;
	}

	/** Starts to claim each tick. */
	start(): void {
		const {clock, settings: {timing: {tickMs}}} = this.#parts.context;
		this.#timer = clock.after(tickMs, () => {
			this.renew();
			if (!this.#isClosed) {
				this.start();
			}
		});
	}

	/** Stops. */
	stop(): void {
		this.#isClosed = true;
		this.#timer?.stop();
	}

	async acquirePrefill(model: string, ask: LeaseAsk, signal: AbortSignal): Promise<string> {
		const {clock, self} = this.#parts.context;
		const cell = this.#chooseCell(model, self.host);
		const holding: Holding = {
			key: leaseKey(ask), cell, ask, askedAt: clock.now(), stage: 'prefill', prefillEngine: '', engine: '', message: undefined, resolve: ignore, reject: ignore, unlisten: ignore, sentAt: 0,
		};
		this.#holdings.set(holding.key, holding);
		return this.#wait(holding, signal, () => ({
			kind: 'ask', cell: cell.name, ask: {...ask, slackMs: ask.slackMs - (clock.now() - holding.askedAt)},
		}));
	}

	async acquireDecode(lease: LeaseId, cachedTokens: number, holdMs: number, signal: AbortSignal): Promise<string> {
		const holding = this.#holdings.get(leaseKey(lease)) ?? fail('overloaded', {retryAfterMs: comeBackMs});
		holding.stage = 'ready';
		const lapsesAt = this.#parts.context.clock.now() + holdMs;
		return this.#wait(holding, signal, () => ({
			kind: 'prefilled', cell: holding.cell.name, ...lease, cachedTokens, holdMs: Math.max(0, lapsesAt - this.#parts.context.clock.now()),
		}));
	}

	takeOver({model, caller, promptTokens, maxTokens}: ModelRequest, {request, attempt}: LeaseId, engine: string): void {
		const ask: LeaseAsk = {
			request, attempt, caller: caller.name, priority: caller.priority, promptTokens, maxTokens, blocks: [], slackMs: 0, accepted: true,
		};
		const cell = this.#parts.cells().find(({engines}) => engines.some(each => each.name === engine)) ?? this.#chooseCell(model.name, this.#parts.context.self.host);
		const holding: Holding = {
			key: leaseKey(ask), cell, ask, askedAt: 0, stage: 'decode', prefillEngine: engine, engine, message: undefined, resolve: ignore, reject: ignore, unlisten: ignore, sentAt: 0,
		};
		this.#holdings.set(holding.key, holding);
		this.#claim(cell, [claimOf(holding)]);
	}

	reportStarted(lease: LeaseId): void {
		this.#tell(lease, cell => ({kind: 'started', cell, ...lease}));
	}

	reportFailure(lease: LeaseId, engine: string, lost: boolean): void {
		this.#tell(lease, cell => ({
			kind: 'bounced', cell, ...lease, engine, lost,
		}));
	}

	release(lease: LeaseId, {tokens, goodput}: LeaseOutcome): void {
		this.#tell(lease, cell => ({
			kind: 'release', cell, ...lease, tokens: Math.max(0, tokens), goodput,
		}));
		this.#holdings.delete(leaseKey(lease));
	}

	/** Takes a keeper's answer. */
	hear(message: PeerMessageOf<'prefillGrant' | 'decodeGrant' | 'refusal' | 'notKeeper'>): void {
		const holding = this.#holdings.get(leaseKey(message));
		if (holding?.message === undefined) {
			return;
		}

		switch (message.kind) {
			case 'prefillGrant': {
				if (holding.stage === 'prefill') {
					holding.prefillEngine = message.engine;
					this.#settle(holding);
					holding.resolve(message.engine);
				}

				return;
			}

			case 'decodeGrant': {
				if (holding.stage === 'ready') {
					holding.stage = 'decode';
					holding.engine = message.engine;
					this.#settle(holding);
					holding.resolve(message.engine);
				}

				return;
			}

			case 'refusal': {
				this.#settle(holding);
				this.#holdings.delete(holding.key);
				holding.reject(new Failure(message.code, {retryAfterMs: message.retryAfterMs}));
				return;
			}

			case 'notKeeper': {
				holding.sentAt = Number.NEGATIVE_INFINITY;
			}
		}
	}

	/** Claims what is in use, and asks again for what was not answered. */
	renew(): void {
		const claims = new Map<Cell, LeaseClaim[]>();
		for (const holding of this.#holdings.values()) {
			if (holding.message !== undefined) {
				this.#askAgain(holding);
			}

			if (holding.prefillEngine !== '') {
				const own = claims.get(holding.cell) ?? [];
				claims.set(holding.cell, own);
				own.push(claimOf(holding));
			}
		}

		for (const [cell, own] of claims) {
			this.#claim(cell, own.slice(0, mostClaims));
		}
	}

	/** Tells a cell's new keeper at once what is in use and what is waited for. */
	keepersChanged(): void {
		for (const cell of this.#parts.cells()) {
			const keeper = this.#keeperOf(cell);
			if (keeper !== undefined && this.#keepers.get(cell.name) !== keeper) {
				this.#keepers.set(cell.name, keeper);
				this.#moveTo(cell);
			}
		}
	}

	#moveTo(cell: Cell): void {
		const holdings = [...this.#holdings.values()].filter(each => each.cell.name === cell.name);
		this.#claim(cell, holdings.filter(each => each.prefillEngine !== '').map(each => claimOf(each)));
		for (const holding of holdings) {
			this.#send(holding);
		}
	}

	#claim(cell: Cell, claims: LeaseClaim[]): void {
		const keeper = this.#keeperOf(cell);
		if (keeper !== undefined && claims.length > 0) {
			this.#parts.links().send(keeper, {kind: 'claims', cell: cell.name, claims});
		}
	}

	/** This host's cell of a model: a near one first, the same one as long as the cells stay. */
	#chooseCell(model: string, host: string): Cell {
		const cells = this.#parts.cells().filter(each => each.model === model);
		const {hall} = this.#parts.context.settings;
		// Leases of a cell that this host keeps itself cost no message
		const own = cells.find(each => this.#keeperOf(each) === host);
		if (own !== undefined) {
			return own;
		}

		const near = cells.filter(each => each.halls.includes(hall));
		const usable = near.length > 0 ? near : cells;
		const [name] = rank(host, usable.map(each => each.name));
		return usable.find(each => each.name === name) ?? fail('modelUnknown');
	}

	#keeperOf(cell: Cell): string | undefined {
		return selectKeeper(cell, this.#parts.candidates());
	}

	async #wait(holding: Holding, signal: AbortSignal, message: () => PeerMessage): Promise<string> {
		return new Promise((resolve, reject) => {
			holding.resolve = resolve;
			holding.reject = reject;
			holding.message = message;
			const leave = () => {
				this.#leave(holding);
				reject(new Failure('callerGone'));
			};

			if (signal.aborted) {
				leave();
				return;
			}

			signal.addEventListener('abort', leave, {once: true});
			holding.unlisten = () => {
				signal.removeEventListener('abort', leave);
			};

			this.#send(holding);
		});
	}

	/** Gives up waiting: a request in the line is withdrawn, a lease stays until it is released. */
	#leave(holding: Holding): void {
		if (holding.message === undefined) {
			return;
		}

		this.#settle(holding);
		if (holding.stage === 'prefill') {
			const {request, attempt} = holding.ask;
			this.#tell({request, attempt}, cell => ({
				kind: 'withdraw', cell, request, attempt,
			}));
			this.#holdings.delete(holding.key);
		}
	}

	#settle(holding: Holding): void {
		holding.message = undefined;
		holding.unlisten();
	}

	#askAgain(holding: Holding): void {
		const {clock, settings: {timing: {tickMs}}} = this.#parts.context;
		if (clock.now() - holding.sentAt >= tickMs) {
			this.#send(holding);
		}
	}

	#send(holding: Holding): void {
		const keeper = this.#keeperOf(holding.cell);
		if (holding.message === undefined || keeper === undefined) {
			return;
		}

		holding.sentAt = this.#parts.context.clock.now();
		this.#parts.links().send(keeper, holding.message());
	}

	#tell(lease: LeaseId, make: (cell: string) => PeerMessage): void {
		const holding = this.#holdings.get(leaseKey(lease));
		const keeper = holding === undefined ? undefined : this.#keeperOf(holding.cell);
		if (holding !== undefined && keeper !== undefined) {
			this.#parts.links().send(keeper, make(holding.cell.name));
		}
	}
}

function claimOf({ask: {request, attempt, maxTokens, priority, caller}, stage, engine, prefillEngine}: Holding): LeaseClaim {
	return {
		request, attempt, stage, engine, prefillEngine, maxTokens, priority, caller, tokens: 0,
	};
}
