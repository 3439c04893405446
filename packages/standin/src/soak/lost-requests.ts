/** Requests that were read whole and got neither an answer nor a rejection, although nothing excuses it. */
import {type HostEnd, type HostProcess} from './host-process.js';
import {mayCutRun} from './stop-traffic.js';

/** One request as its caller saw it; times are on the process's steady clock, in milliseconds. */
export type Attempt = {
	readonly id: string;
	readonly path: string;
	readonly host: Pick<HostProcess, 'name' | 'ends'>;
	readonly sentAt: number;
	readonly endedAt: number;
	/** Time that the caller gave it, in milliseconds. */
	readonly deadlineMs: number;
	readonly status: number;
	readonly isWhole: boolean;
	/** Whether the connection was ever established. */
	readonly isConnected: boolean;
	/** Whether the caller closed the connection first. */
	readonly hasLeft: boolean;
};

/** What happened beside the requests. */
export type Circumstances = {
	/** Times at which endpoints may have broken responses off. */
	readonly breaks: ReadonlyArray<{readonly from: number; readonly to: number}>;
	/** Timeouts of the routes, each with the time at which it was published. */
	readonly timeouts: ReadonlyArray<{readonly at: number; readonly timeoutMs: number}>;
	/** Ids of the requests that reached an endpoint. */
	readonly arrived: ReadonlySet<string>;
	/** When endpoints had delivered the whole response to a request, by its id. */
	readonly finishedAt: ReadonlyMap<string, number>;
};

/** Time for which a cause precedes what its callers see, in milliseconds. */
const slackMs = 100;
/** Time for which an endpoint that broke off keeps its effects: connections to it that are found out later, in milliseconds. */
const breakEffectMs = 1500;
/** Time in which all hosts have a configuration, in milliseconds. */
const configurationMs = 2000;

/** The shortest time that a route may have given a request. */
function shortestMs({sentAt, endedAt, deadlineMs}: Attempt, timeouts: Circumstances['timeouts']): number {
	const inForce = timeouts.filter(({at}, index) => at <= endedAt && (timeouts[index + 1]?.at ?? Number.POSITIVE_INFINITY) + configurationMs >= sentAt);
	return Math.min(deadlineMs, ...inForce.map(({timeoutMs}) => timeoutMs));
}

/** Whether the end of a host's process excuses the end of a request. */
function isExcusedBy({signal, at, endedAt: goneAt}: HostEnd, {id, sentAt, endedAt}: Attempt, {arrived, finishedAt}: Circumstances): boolean {
	if (at > endedAt + slackMs || (goneAt ?? Number.POSITIVE_INFINITY) + slackMs < sentAt) {
		return false;
	}

	return signal === 'SIGKILL' || !arrived.has(id) || mayCutRun({sentAt, endedAt}, finishedAt.get(id), at);
}

/** Requests without an answer, a rejection or an excuse, each in a sentence. */
export function findLostRequests(attempts: readonly Attempt[], circumstances: Circumstances): string[] {
	const {breaks, timeouts} = circumstances;
	const lost = attempts.filter(attempt => {
		const {sentAt, endedAt, isWhole, isConnected, hasLeft, host: {ends}} = attempt;
		if (isWhole || hasLeft || !isConnected) {
			return false;
		}

		const isDue = endedAt - sentAt + slackMs >= shortestMs(attempt, timeouts);
		const isBroken = breaks.some(({from, to}) => from <= endedAt && to + breakEffectMs >= sentAt);
		return !isDue && !isBroken && !ends.some(end => isExcusedBy(end, attempt, circumstances));
	});
	return lost.map(({id, path, status, sentAt, endedAt, host: {name}}) => `${id} ${path} at ${name} had ${status === 0 ? 'no answer' : `a cut ${status}`} after ${Math.round(endedAt - sentAt)} ms`);
}
