/**
 * Requests leases from the keepers of cells for this host's requests, resends
 * unanswered messages and renews its claims on leases in use every tick.
 * Efficiency: a lease that is lost or held too long costs goodput.
 */
import {ignore} from '@gatehead/policy/utils/ignore';
import {selectKeeper, type Cell} from '@gatehead/policy/core/cell';
import {rank} from '@gatehead/policy/core/rendezvous';
import {type Timer} from '@gatehead/policy/utils/clock';
import {Failure, fail} from '@gatehead/schema/failure';
import {
	type LeaseRequest, type LeaseClaim, type MemberRecord, type PeerMessage, type PeerMessageOf,
} from '@gatehead/schema/peer-message';
import {leaseKey} from '@gatehead/policy/scheduler/decode-pool';
import {type Context} from '../core/context.js';
import {type LeaseProvider, type LeaseOutcome, type LeaseId} from '../core/lease-provider.js';
import {type ModelRequest} from '../core/model-request.js';
import {type PeerLinks} from '../peer/peer-links.js';

const retryAfterMs = 1000;
const maxClaimsPerMessage = 5000;

/** Dependencies of `LeaseClient`. */
export type LeaseClientParts = {
	readonly context: Context;
	readonly links: () => PeerLinks<PeerMessage>;
	/** Cells of the bundle in force. */
	readonly cells: () => readonly Cell[];
	/** Hosts that are eligible to keep a cell. */
	readonly candidates: () => readonly MemberRecord[];
};

/** A lease that is requested or held. */
type ClientLease = {
	readonly key: string;
	readonly cell: Cell;
	readonly ask: LeaseRequest;
	readonly askedAt: number;
	stage: LeaseClaim['stage'];
	prefillEngine: string;
	engine: string;
	/** Builds the message that the keeper has yet to answer; undefined while not waiting. */
	pending: (() => PeerMessage) | undefined;
	resolve: (engine: string) => void;
	reject: (failure: Failure) => void;
	unsubscribe: () => void;
	sentAt: number;
};

/** Leases of this host's requests. */
export class LeaseClient implements LeaseProvider {
	readonly #parts: LeaseClientParts;
	readonly #leases = new Map<string, ClientLease>();
	/** Keeper of each cell as of the last `handleKeeperChange`. */
	readonly #keepers = new Map<string, string>();
	#timer: Timer | undefined;
	#isClosed = false;

	constructor(parts: LeaseClientParts) {
		this.#parts = parts;
	}

	/** Number of leases held or requested. */
	get size(): number {
		return this.#leases.size;
	}

	/** Renews claims every tick until `stop`. */
	start(): void {
		const {clock, settings: {timing: {tickMs}}} = this.#parts.context;
		this.#timer = clock.after(tickMs, () => {
			this.renew();
			if (!this.#isClosed) {
				this.start();
			}
		});
	}

	stop(): void {
		this.#isClosed = true;
		this.#timer?.stop();
	}

	async acquirePrefill(model: string, ask: LeaseRequest, signal: AbortSignal): Promise<string> {
		const {clock, self} = this.#parts.context;
		const cell = this.#chooseCell(model, self.host);
		const lease: ClientLease = {
			key: leaseKey(ask), cell, ask, askedAt: clock.now(), stage: 'prefill', prefillEngine: '', engine: '', pending: undefined, resolve: ignore, reject: ignore, unsubscribe: ignore, sentAt: 0,
		};
		this.#leases.set(lease.key, lease);
		return this.#waitForGrant(lease, signal, () => ({
			kind: 'ask', cell: cell.name, ask: {...ask, slackMs: ask.slackMs - (clock.now() - lease.askedAt)},
		}));
	}

	async acquireDecode(leaseName: LeaseId, cachedTokens: number, holdMs: number, signal: AbortSignal): Promise<string> {
		const lease = this.#leases.get(leaseKey(leaseName)) ?? fail('overloaded', {retryAfterMs});
		lease.stage = 'ready';
		const holdEndsAt = this.#parts.context.clock.now() + holdMs;
		return this.#waitForGrant(lease, signal, () => ({
			kind: 'prefilled', cell: lease.cell.name, ...leaseName, cachedTokens, holdMs: Math.max(0, holdEndsAt - this.#parts.context.clock.now()),
		}));
	}

	takeOver({model, caller, promptTokens, maxTokens}: ModelRequest, {request, attempt}: LeaseId, engine: string): void {
		const ask: LeaseRequest = {
			request, attempt, caller: caller.name, priority: caller.priority, promptTokens, maxTokens, blocks: [], slackMs: 0, accepted: true,
		};
		const cell = this.#parts.cells().find(({engines}) => engines.some(each => each.name === engine)) ?? this.#chooseCell(model.name, this.#parts.context.self.host);
		const lease: ClientLease = {
			key: leaseKey(ask), cell, ask, askedAt: 0, stage: 'decode', prefillEngine: engine, engine, pending: undefined, resolve: ignore, reject: ignore, unsubscribe: ignore, sentAt: 0,
		};
		this.#leases.set(lease.key, lease);
		this.#sendClaims(cell, [toClaim(lease)]);
	}

	reportStarted(lease: LeaseId): void {
		this.#notifyKeeper(lease, cell => ({kind: 'started', cell, ...lease}));
	}

	reportFailure(lease: LeaseId, engine: string, lost: boolean): void {
		this.#notifyKeeper(lease, cell => ({
			kind: 'bounced', cell, ...lease, engine, lost,
		}));
	}

	release(lease: LeaseId, {tokens, goodput}: LeaseOutcome): void {
		this.#notifyKeeper(lease, cell => ({
			kind: 'release', cell, ...lease, tokens: Math.max(0, tokens), goodput,
		}));
		this.#leases.delete(leaseKey(lease));
	}

	/** Handles a keeper's response; ignored if its lease is not waiting for one. */
	handleMessage(message: PeerMessageOf<'prefillGrant' | 'decodeGrant' | 'refusal' | 'notKeeper'>): void {
		const lease = this.#leases.get(leaseKey(message));
		if (lease?.pending === undefined) {
			return;
		}

		switch (message.kind) {
			case 'prefillGrant': {
				if (lease.stage === 'prefill') {
					lease.prefillEngine = message.engine;
					this.#stopWaiting(lease);
					lease.resolve(message.engine);
				}

				return;
			}

			case 'decodeGrant': {
				if (lease.stage === 'ready') {
					lease.stage = 'decode';
					lease.engine = message.engine;
					this.#stopWaiting(lease);
					lease.resolve(message.engine);
				}

				return;
			}

			case 'refusal': {
				this.#stopWaiting(lease);
				this.#leases.delete(lease.key);
				lease.reject(new Failure(message.code, {retryAfterMs: message.retryAfterMs}));
				return;
			}

			case 'notKeeper': {
				lease.sentAt = Number.NEGATIVE_INFINITY;
			}
		}
	}

	/** Renews the claims on leases in use, and resends messages that are unanswered for a tick. */
	renew(): void {
		const claims = new Map<Cell, LeaseClaim[]>();
		for (const lease of this.#leases.values()) {
			if (lease.pending !== undefined) {
				this.#resendIfDue(lease);
			}

			if (lease.prefillEngine !== '') {
				const cellClaims = claims.get(lease.cell) ?? [];
				claims.set(lease.cell, cellClaims);
				cellClaims.push(toClaim(lease));
			}
		}

		for (const [cell, cellClaims] of claims) {
			this.#sendClaims(cell, cellClaims.slice(0, maxClaimsPerMessage));
		}
	}

	/** Sends claims and unanswered messages to the new keeper of each cell whose keeper changed. */
	handleKeeperChange(): void {
		for (const cell of this.#parts.cells()) {
			const keeper = this.#keeperOf(cell);
			if (keeper !== undefined && this.#keepers.get(cell.name) !== keeper) {
				this.#keepers.set(cell.name, keeper);
				this.#announceTo(cell);
			}
		}
	}

	#announceTo(cell: Cell): void {
		const leases = [...this.#leases.values()].filter(each => each.cell.name === cell.name);
		this.#sendClaims(cell, leases.filter(each => each.prefillEngine !== '').map(each => toClaim(each)));
		for (const lease of leases) {
			this.#sendPending(lease);
		}
	}

	#sendClaims(cell: Cell, claims: LeaseClaim[]): void {
		const keeper = this.#keeperOf(cell);
		if (keeper !== undefined && claims.length > 0) {
			this.#parts.links().send(keeper, {kind: 'claims', cell: cell.name, claims});
		}
	}

	/** Chooses a cell of a model: one that this host keeps, else by rendezvous hashing, in this host's hall if there is one. */
	#chooseCell(model: string, host: string): Cell {
		const cells = this.#parts.cells().filter(each => each.model === model);
		const {hall} = this.#parts.context.settings;
		// Leases of a cell that this host keeps need no network messages
		const keptHere = cells.find(each => this.#keeperOf(each) === host);
		if (keptHere !== undefined) {
			return keptHere;
		}

		const localCells = cells.filter(each => each.halls.includes(hall));
		const usable = localCells.length > 0 ? localCells : cells;
		const [name] = rank(host, usable.map(each => each.name));
		return usable.find(each => each.name === name) ?? fail('modelUnknown');
	}

	#keeperOf(cell: Cell): string | undefined {
		return selectKeeper(cell, this.#parts.candidates());
	}

	async #waitForGrant(lease: ClientLease, signal: AbortSignal, message: () => PeerMessage): Promise<string> {
		return new Promise((resolve, reject) => {
			lease.resolve = resolve;
			lease.reject = reject;
			lease.pending = message;
			const abandon = () => {
				this.#abandonWait(lease);
				reject(new Failure('callerGone'));
			};

			if (signal.aborted) {
				abandon();
				return;
			}

			signal.addEventListener('abort', abandon, {once: true});
			lease.unsubscribe = () => {
				signal.removeEventListener('abort', abandon);
			};

			this.#sendPending(lease);
		});
	}

	/** Stops waiting after an abort: a queued prefill request is withdrawn, a lease is held until it is released. */
	#abandonWait(lease: ClientLease): void {
		if (lease.pending === undefined) {
			return;
		}

		this.#stopWaiting(lease);
		if (lease.stage === 'prefill') {
			const {request, attempt} = lease.ask;
			this.#notifyKeeper({request, attempt}, cell => ({
				kind: 'withdraw', cell, request, attempt,
			}));
			this.#leases.delete(lease.key);
		}
	}

	#stopWaiting(lease: ClientLease): void {
		lease.pending = undefined;
		lease.unsubscribe();
	}

	#resendIfDue(lease: ClientLease): void {
		const {clock, settings: {timing: {tickMs}}} = this.#parts.context;
		if (clock.now() - lease.sentAt >= tickMs) {
			this.#sendPending(lease);
		}
	}

	#sendPending(lease: ClientLease): void {
		const keeper = this.#keeperOf(lease.cell);
		if (lease.pending === undefined || keeper === undefined) {
			return;
		}

		lease.sentAt = this.#parts.context.clock.now();
		this.#parts.links().send(keeper, lease.pending());
	}

	#notifyKeeper(leaseName: LeaseId, make: (cell: string) => PeerMessage): void {
		const lease = this.#leases.get(leaseKey(leaseName));
		const keeper = lease === undefined ? undefined : this.#keeperOf(lease.cell);
		if (lease !== undefined && keeper !== undefined) {
			this.#parts.links().send(keeper, make(lease.cell.name));
		}
	}
}

function toClaim({ask: {request, attempt, maxTokens, priority, caller}, stage, engine, prefillEngine}: ClientLease): LeaseClaim {
	return {
		request, attempt, stage, engine, prefillEngine, maxTokens, priority, caller, tokens: 0,
	};
}
