/**
 * What this host's own connections show about its links to endpoints: which
 * endpoints it has heard from, and which attempts to reach them failed. Tells
 * a host without links from endpoints that are down one by one. Efficiency: a
 * wrong verdict costs a hop or a probe, never a second run.
 */

/** Time without any byte from a group of endpoints, after a request was sent to one of them, after which its links are probed, in milliseconds. */
const silenceMs = 700;
/** Failed endpoints after which a larger group counts as unreachable. */
const sampleSize = 8;

type ContactRecord = {
	/** Time of the last byte or established connection. */
	contactAt: number;
	/** Start of the last attempt to connect that failed. */
	failedFrom: number;
	/** Time of the first request since the last contact; undefined: none was sent. */
	awaitingSince: number | undefined;
};

/** State of a group of endpoints. `doubtful`: `candidates` have to be probed to decide. */
export type GroupVerdict
	= | {readonly kind: 'reachable'}
		| {readonly kind: 'doubtful'; readonly candidates: readonly string[]}
		| {readonly kind: 'unreachable'};

/** Evidence of contact with endpoints, by endpoint id. */
export class EndpointContacts {
	readonly #records = new Map<string, ContactRecord>();

	/** Records that a request is about to be sent. */
	recordSend(id: string, now: number): void {
		this.#getOrAdd(id).awaitingSince ??= now;
	}

	/** Records a byte of a response or an established connection. */
	recordContact(id: string, now: number): void {
		const record = this.#getOrAdd(id);
		record.contactAt = now;
		record.awaitingSince = undefined;
	}

	/** Records a failed attempt to connect that began at `from`. */
	recordFailure(id: string, from: number): void {
		const record = this.#getOrAdd(id);
		record.failedFrom = Math.max(record.failedFrom, from);
	}

	/** Judges a group of endpoints that serve the same requests. Failures count only if nothing was heard from the group since the attempt began. */
	judge(ids: readonly string[], now: number): GroupVerdict {
		const records = ids.map(id => ({id, record: this.#records.get(id)}));
		const contactAt = Math.max(...records.map(({record}) => record?.contactAt ?? Number.NEGATIVE_INFINITY));
		const failed = new Set(records.filter(({record}) => record !== undefined && record.failedFrom > contactAt).map(({id}) => id));
		if (failed.size >= Math.min(sampleSize, Math.max(1, ids.length))) {
			return {kind: 'unreachable'};
		}

		const isSilent = records.some(({record}) => record?.awaitingSince !== undefined && record.awaitingSince > contactAt && now - record.awaitingSince > silenceMs);
		if (failed.size === 0 && !isSilent) {
			return {kind: 'reachable'};
		}

		return {kind: 'doubtful', candidates: ids.filter(id => !failed.has(id)).slice(0, sampleSize - failed.size)};
	}

	/** Removes an endpoint that has left. */
	forget(id: string): void {
		this.#records.delete(id);
	}

	#getOrAdd(id: string): ContactRecord {
		let record = this.#records.get(id);
		if (record === undefined) {
			record = {contactAt: Number.NEGATIVE_INFINITY, failedFrom: Number.NEGATIVE_INFINITY, awaitingSince: undefined};
			this.#records.set(id, record);
		}

		return record;
	}
}
