/**
 * Bounds the bytes that a host holds of what others send it, summed over all
 * places that receive. Near the bound receivers wait, those that hold much
 * first; where waiting does not help, the one that holds the most gives way.
 * Safety: the sum exceeds the bound only by one large body that has the host
 * to itself, and by what had arrived before its receiver could wait.
 */

/** Where bytes are received: responses of endpoints to calls, prefills and control calls, events of streams, responses of other hosts, request bodies. */
export type IncomingPlace = 'response' | 'prefill' | 'control' | 'stream' | 'forward' | 'request';

/** Bytes up to which a receiver is small and goes on while large ones wait. */
const smallBytes = 65_536;
/** Bytes up to which a receiver never waits: their number is bounded by that of requests. */
const freeBytes = 8192;
/** Share of the bound by which small receivers, and the one that is to be finished, may exceed it. */
const excessShare = 0.25;
/** Share of the bound up to which all others may hold bytes while a receiver has the host to itself. */
const aloneShare = 0.25;
/** Share of the bound for requests, which are held until their responses have ended. */
const requestShare = 0.5;

/** Bytes that one receiver holds. */
export type Holding = {
	readonly place: IncomingPlace;
	readonly heldBytes: number;
};

type Entry = {
	readonly place: IncomingPlace;
	heldBytes: number;
	isKept: boolean;
};

/** Incoming bytes of one host. */
export class IncomingBudget {
	readonly limitBytes: number;
	readonly #entries = new Map<Holding, Entry>();
	#totalBytes = 0;
	#requestBytes = 0;
	#peakBytes = 0;
	/** Receiver that goes on before others, since its end makes room. */
	#finisher: Holding | undefined;

	constructor(limitBytes: number) {
		this.limitBytes = limitBytes;
	}

	/** Bytes held now. */
	get totalBytes(): number {
		return this.#totalBytes;
	}

	/** Most bytes that were held at a time. */
	get peakBytes(): number {
		return this.#peakBytes;
	}

	/** Receiver that goes on before others. */
	get finisher(): Holding | undefined {
		return this.#finisher;
	}

	/** Bytes by place, without places that hold none. */
	get bytesByPlace(): ReadonlyMap<IncomingPlace, number> {
		const sums = new Map<IncomingPlace, number>();
		for (const {place, heldBytes} of this.#entries.values()) {
			if (heldBytes > 0) {
				sums.set(place, (sums.get(place) ?? 0) + heldBytes);
			}
		}

		return sums;
	}

	/** Adds a receiver that holds nothing yet. */
	open(place: IncomingPlace): Holding {
		const entry: Entry = {place, heldBytes: 0, isKept: false};
		this.#entries.set(entry, entry);
		return entry;
	}

	/** Records what a receiver holds now; does nothing once it is closed. */
	hold(holding: Holding, heldBytes: number): void {
		const entry = this.#entries.get(holding);
		if (entry !== undefined) {
			this.#add(entry, heldBytes - entry.heldBytes);
			entry.heldBytes = heldBytes;
		}
	}

	/** From now on the holding gives way to no other: what it holds is in use. */
	keep(holding: Holding): void {
		const entry = this.#entries.get(holding);
		if (entry !== undefined) {
			entry.isKept = true;
			this.#finisher = this.#finisher === holding ? undefined : this.#finisher;
		}
	}

	/** Removes a receiver; later calls change nothing. */
	close(holding: Holding): void {
		this.hold(holding, 0);
		this.#entries.delete(holding);
		this.#finisher = this.#finisher === holding ? undefined : this.#finisher;
	}

	/** Whether a receiver may take more bytes now. One that is closed may: nothing of it is held. */
	mayReceive(holding: Holding): boolean {
		const {place, heldBytes} = holding;
		const isAlone = this.#totalBytes - heldBytes <= this.limitBytes * aloneShare;
		if (isAlone || heldBytes <= freeBytes || !this.#entries.has(holding)) {
			return true;
		}

		if (heldBytes <= smallBytes || holding === this.#finisher) {
			return this.#totalBytes <= this.limitBytes * (1 + excessShare);
		}

		return this.#totalBytes <= this.limitBytes && !(place === 'request' && this.#requestBytes > this.limitBytes * requestShare);
	}

	/** Lets the largest of some receivers go on before others, unless one does. */
	finishLargest(holdings: Iterable<Holding>): void {
		if (this.#finisher !== undefined) {
			return;
		}

		for (const holding of holdings) {
			if (holding.heldBytes > (this.#finisher?.heldBytes ?? 0)) {
				this.#finisher = holding;
			}
		}
	}

	/** The receiver that gives way first: the one that holds the most, but of those that must not; undefined if there is none. */
	findLargest(): Holding | undefined {
		let largest: Entry | undefined;
		for (const entry of this.#entries.values()) {
			if (!entry.isKept && entry.heldBytes > Math.max(freeBytes, largest?.heldBytes ?? 0)) {
				largest = entry;
			}
		}

		return largest;
	}

	#add({place}: Entry, bytes: number): void {
		this.#totalBytes += bytes;
		this.#requestBytes += place === 'request' ? bytes : 0;
		this.#peakBytes = Math.max(this.#peakBytes, this.#totalBytes);
	}
}
