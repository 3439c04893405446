/** Callers of one host before and during its planned stop, and how each of their requests ended. */
import {Agent} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {type Random} from '@gatehead/policy/utils/random';
import {sendRequest, type CallerAnswer} from '../wire/client.js';
import {listStatuses, openCaller, writeRequest} from '../wire/raw-caller.js';
import {type ReplicaLog} from '../wire/replica-server.js';

/** How a request reaches the host. */
export type Arrival = 'kept' | 'new' | 'pipelined' | 'lateBody';

/** One request and its end; times are on the process's steady clock, in milliseconds. */
export type StopRequest = {
	readonly id: string;
	readonly path: string;
	readonly arrival: Arrival;
	/** When its last byte was written. */
	readonly sentAt: number;
	readonly endedAt: number;
	/** 0: the connection closed, or was refused, without a response. */
	readonly status: number;
	readonly isWhole: boolean;
	readonly isConnected: boolean;
};

/** Grace period of a planned stop, in milliseconds. */
export const graceMs = 8000;
/** Time after the start of a stop until which requests may be sent whose runs last until its end. */
const earlyMs = 3000;
/** Time after the start of a stop from which runs may be cut that began early. */
const lateMs = graceMs * 5 / 6;
/** Longest time for which a request that has not run may go without the end of its connection. */
const crossingMs = 200;
/** Longer than any run, and longer than a host takes to stop. */
const deadlineMs = 9000;
/** Time by which a caller's measurement of its deadline is short, in milliseconds. */
const slackMs = 50;

/** What the endpoints know of a request. */
export type RunOutcome = {
	readonly hasRun: boolean;
	/** When its endpoint had delivered the whole response; undefined: it never did. */
	readonly finishedAt: number | undefined;
};

/** Whether a planned stop that began at `stoppedAt` may cut a run: its request was sent early, and its endpoint was still at work near the end of the grace period. */
export function mayCutRun({sentAt, endedAt}: Pick<StopRequest, 'sentAt' | 'endedAt'>, finishedAt: number | undefined, stoppedAt: number): boolean {
	const workedUntil = Math.min(endedAt, finishedAt ?? Number.POSITIVE_INFINITY);
	return sentAt - stoppedAt <= earlyMs && workedUntil - stoppedAt >= lateMs;
}

/** Whether a request was lost to a planned stop that began at `stoppedAt`: its host read it and gave no complete response, though its endpoint had delivered it or the run could end in time. */
export function isLost(request: StopRequest, {hasRun, finishedAt}: RunOutcome, stoppedAt: number): boolean {
	const {sentAt, endedAt, isConnected, isWhole} = request;
	const isDue = endedAt - sentAt >= deadlineMs - slackMs;
	return isConnected && !isWhole && !isDue && !mayCutRun(request, finishedAt, stoppedAt) && (hasRun || endedAt - sentAt > crossingMs);
}

/** The requests that were lost to a planned stop. */
export function findLost(requests: readonly StopRequest[], {runs, finishedAt}: Pick<ReplicaLog, 'runs' | 'finishedAt'>, stoppedAt: number): StopRequest[] {
	const ran = new Set(runs.map(({request}) => request));
	return requests.filter(each => isLost(each, {hasRun: ran.has(each.id), finishedAt: finishedAt.get(each.id)}, stoppedAt));
}

type Sending = {
	readonly address: string;
	readonly id: string;
	readonly path: string;
	readonly agent: Agent;
	readonly random: Random;
};

type End = Pick<StopRequest, 'status' | 'isWhole' | 'isConnected' | 'sentAt'>;

const body = 'question';
const pipelinedRequests = 3;
const pollMs = 5;
const millisecondsPerSecond = 1000;
/** Longest time between the head of a request and the rest of its body, in milliseconds. */
const longestBodyMs = 1500;
const paths = ['/once/1', '/once/1', '/repeatable/1', '/stream/1', '/resumable/1'] as const;
const arrivals: readonly Arrival[] = ['kept', 'kept', 'kept', 'new', 'new', 'new', 'pipelined', 'lateBody'];

const noEnd = {status: 0, isWhole: false, isConnected: false} as const;

function toEnd({status, isWhole, isConnected}: CallerAnswer, sentAt: number): End {
	return {
		status, isWhole, isConnected, sentAt,
	};
}

function withHeaders(text: string): string {
	return text.replace('\r\n', `\r\nDeadline-Ms: ${deadlineMs}\r\nToken-Counts: 100,40\r\n`);
}

async function send({address, id, path, agent}: Sending, isKept: boolean): Promise<End[]> {
	const sentAt = performance.now();
	const answer = await sendRequest({
		address, id, path, agent: isKept ? agent : undefined, headers: {'Deadline-Ms': deadlineMs, 'Token-Counts': '100,40'},
	});
	return [toEnd(answer, sentAt)];
}

/** Whether the text ends with the end of a response. */
function isWholeText(text: string): boolean {
	return text.endsWith('\r\n0\r\n\r\n') || /Content-Length: \d+\r\n(?:[^\r\n]+\r\n)*\r\n[^\r\n]+$/iv.test(text);
}

/** Writes requests on a connection of their own, and waits for the host to close it or for all responses. */
async function sendRaw(address: string, count: number, write: (socket: Awaited<ReturnType<typeof openCaller>>['socket']) => Promise<void>): Promise<End[]> {
	try {
		const {socket, text, ended} = await openCaller(address);
		await write(socket);
		const sentAt = performance.now();
		const isDone = () => listStatuses(text()).length >= count && isWholeText(text());
		const connection = {isEnded: false};
		void ended.then(() => {
			connection.isEnded = true;
		});
		while (!connection.isEnded && !isDone()) {
			await pause(pollMs);
		}

		const statuses = listStatuses(text());
		const isLastWhole = isWholeText(text());
		socket.destroy();
		return Array.from({length: count}, (_, index) => ({
			status: statuses[index] ?? 0, isWhole: index < statuses.length - 1 || (index === statuses.length - 1 && isLastWhole), isConnected: true, sentAt,
		}));
	} catch {
		return Array.from({length: count}, () => ({...noEnd, sentAt: performance.now()}));
	}
}

const senders: Readonly<Record<Arrival, (sending: Sending) => Promise<End[]>>> = {
	kept: async sending => send(sending, true),
	new: async sending => send(sending, false),
	pipelined: async ({address, id, path}) => sendRaw(address, pipelinedRequests, async socket => {
		socket.write(Array.from({length: pipelinedRequests}, (_, index) => withHeaders(writeRequest(path, `${id}.${index}`, body))).join(''));
	}),
	lateBody: async ({address, id, path, random}) => sendRaw(address, 1, async socket => {
		socket.write(withHeaders(writeRequest(path, `${id}.0`, body.slice(0, 1), body.length)));
		await pause(random.next() * longestBodyMs);
		socket.write(body.slice(1));
	}),
};

/** What callers send. */
export type StopTraffic = {
	readonly address: string;
	readonly perSecond: number;
	readonly isGone: () => boolean;
	readonly random: Random;
	/** What the ids of the requests begin with; absent: nothing. */
	readonly prefix?: string;
};

/** Sends requests at a steady rate until the host is gone. */
export async function sendUntilGone({address, perSecond, isGone, random, prefix = ''}: StopTraffic): Promise<StopRequest[]> {
	const agent = new Agent({keepAlive: true});
	const sent: Array<Promise<StopRequest[]>> = [];
	const startedAt = performance.now();
	while (!isGone()) {
		const due = Math.floor((performance.now() - startedAt) * perSecond / millisecondsPerSecond);
		while (sent.length < due) {
			const arrival = arrivals[Math.floor(random.next() * arrivals.length)] ?? 'kept';
			const path = paths[Math.floor(random.next() * paths.length)] ?? '/once/1';
			const id = `${prefix}r${sent.length}`;
			sent.push((async () => {
				const ends = await senders[arrival]({
					address, id, path, agent, random,
				});
				const endedAt = performance.now();
				return ends.map((end, index) => ({
					...end, id: arrival === 'kept' || arrival === 'new' ? id : `${id}.${index}`, path, arrival, endedAt,
				}));
			})());
		}

		await pause(pollMs);
	}

	const ends = await Promise.all(sent);
	agent.destroy();
	return ends.flat();
}
