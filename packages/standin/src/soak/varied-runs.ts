/** Runs of varied length: most are short, and some take long enough to reach into the end of a planned stop. */
import {type Bed} from './bed.js';

/** How long most runs take, in milliseconds. */
const fastMs = 50;
/** Shortest time that the others take, in milliseconds. */
const leastSlowMs = 2500;
const streamEvents = 6;
const changeMs = 5;

/** Share of the runs that are slow, and how long they take at the most, in milliseconds. */
export type SlowRuns = {
	readonly share: number;
	readonly mostMs: number;
};

/** Changes how long runs take until the returned function is called. */
export function varyRuns({replicas, random}: Pick<Bed, 'replicas' | 'random'>, {share, mostMs}: SlowRuns): () => void {
	const timer = setInterval(() => {
		for (const replica of replicas) {
			replica.workMs = random.next() < share ? leastSlowMs + ((mostMs - leastSlowMs) * random.next()) : fastMs;
			replica.eventGapMs = replica.workMs / streamEvents;
		}
	}, changeMs);
	return () => {
		clearInterval(timer);
	};
}
