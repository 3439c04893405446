/** Counts a service's repeats: arrivals beyond the first of each request, over sliding windows and all hosts together. */

/** Bound on the repeats of one service in any window. */
export type RepeatBound = {
	/** Repeats allowed for each request. */
	readonly ratio: number;
	/** Repeats allowed in addition. */
	readonly allowance: number;
	readonly windowMs: number;
};

/** A request that reached an endpoint, whether or not it ran. */
export type CountedArrival = {
	readonly request: string;
	/** On the same clock as the sends of callers, in milliseconds. */
	readonly at: number;
	/** Whether an endpoint accepted it as a prefill; the first of each request does not count. */
	readonly isAcceptedPrefill: boolean;
};

/** The window that comes closest to its bound, or exceeds it most. */
export type WorstWindow = {
	readonly from: number;
	readonly repeats: number;
	readonly allowed: number;
	/** Repeats as a fraction of what is allowed. */
	readonly share: number;
};

/** Instants of all repeats, in order. */
export function listRepeats(arrivals: readonly CountedArrival[]): number[] {
	const prefilled = new Set<string>();
	const arrived = new Set<string>();
	const repeats: number[] = [];
	for (const {request, at, isAcceptedPrefill} of arrivals.toSorted((left, right) => left.at - right.at)) {
		if (isAcceptedPrefill && !prefilled.has(request)) {
			prefilled.add(request);
			continue;
		}

		if (arrived.has(request)) {
			repeats.push(at);
		}

		arrived.add(request);
	}

	return repeats;
}

/** Number of instants from `from` until before `to`, of a list in order. */
function countBetween(instants: readonly number[], from: number, to: number): number {
	return findPlace(instants, to) - findPlace(instants, from);
}

function findPlace(instants: readonly number[], instant: number): number {
	let low = 0;
	let high = instants.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if ((instants[middle] ?? 0) < instant) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}

/** Finds the worst window; `requests` are the instants at which callers sent them. The requests of a window are those in it, in the one before it or in the one half a window earlier, whichever are most. */
export function findWorstWindow(arrivals: readonly CountedArrival[], requests: readonly number[], {ratio, allowance, windowMs}: RepeatBound): WorstWindow {
	const sent = requests.toSorted((left, right) => left - right);
	const repeats = listRepeats(arrivals);
	let worst: WorstWindow = {
		from: 0, repeats: 0, allowed: allowance, share: 0,
	};
	for (const from of repeats) {
		const counted = countBetween(repeats, from, from + windowMs);
		const requestsNear = Math.max(...[0, -windowMs / 2, -windowMs].map(shift => countBetween(sent, from + shift, from + shift + windowMs)));
		const allowed = (ratio * requestsNear) + allowance;
		const share = counted / allowed;
		if (share > worst.share) {
			worst = {
				from, repeats: counted, allowed, share,
			};
		}
	}

	return worst;
}
