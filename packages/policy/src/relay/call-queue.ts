/** Calls that wait at a host for a place at an endpoint, in the order of the latest time at which they must be sent. */

/** A call that waits. */
export type WaitingCall = {
	/** Latest time at which it can be sent and still finish within its target. */
	readonly sendBy: number;
	readonly isReturn: boolean;
};

/** Longest wait, as a share of the target: a rejection after a longer wait is worth no more than a late response. */
const maxWaitShare = 0.25;

/** Latest time at which a call that arrived at `arrivedAt` is sent: it has to finish within the target, and to be rejected early otherwise. */
export function latestSendAt({arrivedAt, targetMs}: {readonly arrivedAt: number; readonly targetMs: number}, finishMs: number): number {
	return arrivedAt + Math.min(maxWaitShare * targetMs, targetMs - finishMs);
}

export class CallQueue<Call extends WaitingCall> {
	#calls: Call[] = [];

	get size(): number {
		return this.#calls.length;
	}

	add(call: Call): void {
		const index = this.#calls.findIndex(each => isAfter(each, call));
		this.#calls.splice(index === -1 ? this.#calls.length : index, 0, call);
	}

	remove(call: Call): void {
		this.#calls = this.#calls.filter(each => each !== call);
	}

	/** Waiting calls in the order in which to send them: callers that return after a rejection, then the most urgent. */
	list(): readonly Call[] {
		return this.#calls;
	}

	/** Removes and returns the calls that can no longer finish in time. */
	expire(now: number): Call[] {
		const expired = this.#calls.filter(({sendBy}) => sendBy <= now);
		this.#calls = this.#calls.filter(({sendBy}) => sendBy > now);
		return expired;
	}

	/** Time at which the next call expires; undefined if none waits. */
	nextExpiry(): number | undefined {
		return this.#calls.length === 0 ? undefined : Math.min(...this.#calls.map(({sendBy}) => sendBy));
	}
}

function isAfter(left: WaitingCall, right: WaitingCall): boolean {
	return left.isReturn === right.isReturn ? left.sendBy > right.sendBy : right.isReturn;
}
