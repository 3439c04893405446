/**
 * The memory of this host for what it receives: receivers wait while there is
 * no room, and after a while the largest one gives way. Safety: a receiver that
 * gives way ends as if its bytes had been too many, so nothing of it is used.
 */
import {IncomingBudget, type Holding, type IncomingPlace} from '@gatehead/policy/relay/incoming-budget';
import {type Timer} from '@gatehead/policy/utils/clock';
import {type BaseContext} from '../core/context.js';

/** Time for which receivers wait before the largest one gives way, in milliseconds: most sound bodies end sooner. */
export const patienceMs = 150;
/** Longest wait of a request's body, in milliseconds. */
const maxRequestWaitMs = 1000;
/** Bytes that have become garbage after which all of it is collected: as many as may be held, within these bounds. */
const minGarbageBytes = 4_194_304;
const maxGarbageBytes = 8_388_608;
/** Share of them after which young garbage is collected. What waited to be read is no longer young. */
const youngShare = 0.25;

/** What is received from, such as a response. */
export type ByteSource = {
	readonly destroyed: boolean;
	once(event: 'close', listener: () => void): unknown;
	off(event: 'close', listener: () => void): unknown;
};

export type IncomingMemoryParts = Pick<BaseContext, 'clock' | 'log'> & {
	readonly metrics: Pick<BaseContext['metrics'], 'add'>;
	readonly limitBytes: number;
	/** Frees the buffers that nothing uses any more; `isYoung`: only those that were in use for a short time. */
	readonly collectGarbage: (isYoung: boolean) => void;
};

/** What a receiver does for others. */
export type ReceiverHandlers = {
	/** Ends the receiver, whose share is released. */
	readonly giveWay: () => void;
	/** Bytes that it holds now; absent: as many as it recorded last. */
	readonly measure?: () => number;
};

/** A receiver that has to wait. */
type Waiter = {
	readonly holding: Holding;
	readonly since: number;
	readonly resume: () => void;
};

/** The part of a host's memory that one receiver takes. */
export class IncomingShare {
	readonly #memory: IncomingMemory;
	readonly #holding: Holding;

	constructor(memory: IncomingMemory, holding: Holding) {
		this.#memory = memory;
		this.#holding = holding;
	}

	/** Whether nothing is held any more, since the receiver ended or gave way. */
	get isReleased(): boolean {
		return !this.#memory.has(this.#holding);
	}

	/** Whether the receiver has to wait before it receives more. */
	get needsRoom(): boolean {
		return !this.#memory.budget.mayReceive(this.#holding);
	}

	/** Records that a part has arrived, and what the receiver holds with it. */
	receive(partBytes: number, heldBytes: number): void {
		this.#memory.receive(this.#holding, partBytes, heldBytes);
	}

	/** Resolves once there is room, or once the source is closed. */
	async waitForRoom(source: ByteSource): Promise<void> {
		if (this.needsRoom && !source.destroyed) {
			await this.#memory.waitForRoom(this.#holding, source);
		}
	}

	/** From now on this receiver gives way to no other. */
	keep(): void {
		this.#memory.budget.keep(this.#holding);
	}

	/** Nothing of what was received is held any more. Later calls change nothing. */
	release(): void {
		this.#memory.release(this.#holding);
	}
}

/** Incoming bytes of one host. */
export class IncomingMemory {
	readonly budget: IncomingBudget;
	readonly #parts: IncomingMemoryParts;
	readonly #receivers = new Map<Holding, ReceiverHandlers>();
	readonly #waiters = new Set<Waiter>();
	/** Bytes that have become garbage since young garbage, and all garbage, was collected. */
	#youngGarbageBytes = 0;
	#garbageBytes = 0;
	readonly #maxGarbageBytes: number;
	#timer: Timer | undefined;

	constructor(parts: IncomingMemoryParts) {
		this.#parts = parts;
		this.budget = new IncomingBudget(parts.limitBytes);
		this.#maxGarbageBytes = Math.min(maxGarbageBytes, Math.max(minGarbageBytes, parts.limitBytes));
	}

	/** Receivers that wait for room. */
	get waiting(): number {
		return this.#waiters.size;
	}

	/** Adds a receiver. */
	open(place: IncomingPlace, handlers: ReceiverHandlers): IncomingShare {
		const holding = this.budget.open(place);
		this.#receivers.set(holding, handlers);
		return new IncomingShare(this, holding);
	}

	has(holding: Holding): boolean {
		return this.#receivers.has(holding);
	}

	receive(holding: Holding, partBytes: number, heldBytes: number): void {
		this.budget.hold(holding, heldBytes);
		this.#collect(partBytes);
	}

	async waitForRoom(holding: Holding, source: ByteSource): Promise<void> {
		this.#parts.metrics.add('incomingWaits', {place: holding.place});
		await new Promise<void>(resolve => {
			const waiter: Waiter = {
				holding, since: this.#parts.clock.now(), resume: () => {
					this.#waiters.delete(waiter);
					source.off('close', waiter.resume);
					resolve();
				},
			};
			this.#waiters.add(waiter);
			source.once('close', waiter.resume);
			this.#resumeWaiters();
			this.#startTimer();
		});
	}

	release(holding: Holding): void {
		this.#receivers.delete(holding);
		this.budget.close(holding);
		this.#resumeWaiters();
	}

	/** Stops waiting. */
	close(): void {
		this.#timer?.stop();
		for (const {resume} of this.#waiters) {
			resume();
		}
	}

	/** Collects garbage once enough bytes have become garbage since the last time. */
	#collect(droppedBytes: number): void {
		this.#youngGarbageBytes += droppedBytes;
		this.#garbageBytes += droppedBytes;
		if (this.#garbageBytes > this.#maxGarbageBytes) {
			this.#garbageBytes = 0;
			this.#youngGarbageBytes = 0;
			this.#parts.collectGarbage(false);
		} else if (this.#youngGarbageBytes > this.#maxGarbageBytes * youngShare) {
			this.#youngGarbageBytes = 0;
			this.#parts.collectGarbage(true);
		}
	}

	#startTimer(): void {
		const {finisher} = this.budget;
		this.#timer ??= this.#parts.clock.after(patienceMs, () => {
			this.#timer = undefined;
			this.#measure();
			this.#rejectOverdue();
			this.#resumeWaiters();
			this.#relieve(finisher !== undefined && this.budget.finisher === finisher);
			if (this.#waiters.size > 0) {
				this.#startTimer();
			}
		});
	}

	/** Requests that have waited too long give way themselves: their callers can go to another host. */
	#rejectOverdue(): void {
		const now = this.#parts.clock.now();
		for (const {holding, since} of this.#waiters) {
			if (holding.place === 'request' && now - since >= maxRequestWaitMs) {
				this.#drop(holding);
			}
		}
	}

	/** Records what receivers hold whose bytes leave by themselves. */
	#measure(): void {
		for (const [holding, {measure}] of this.#receivers) {
			if (measure !== undefined) {
				this.budget.hold(holding, measure());
			}
		}
	}

	/** Makes the largest receivers give way until one that waits can go on; `isStuck`: one at least, since the one that was to end first has not. */
	#relieve(isStuck: boolean): void {
		const {size} = this.#waiters;
		let mustDrop = isStuck;
		while (this.#waiters.size > 0 && (mustDrop || this.#waiters.size === size)) {
			mustDrop = false;
			const largest = this.budget.findLargest();
			if (largest === undefined) {
				return;
			}

			this.#drop(largest);
		}
	}

	#drop(holding: Holding): void {
		const {log, metrics} = this.#parts;
		const {place, heldBytes} = holding;
		metrics.add('incomingDropped', {place});
		log('incomingDropped', {
			place, heldBytes, totalBytes: this.budget.totalBytes, waiting: this.#waiters.size,
		});
		const receiver = this.#receivers.get(holding);
		this.release(holding);
		receiver?.giveWay();
	}

	#resumeWaiters(): void {
		this.budget.finishLargest([...this.#waiters].map(({holding}) => holding));
		for (const {holding, resume} of this.#waiters) {
			if (this.budget.mayReceive(holding)) {
				resume();
			}
		}
	}
}
