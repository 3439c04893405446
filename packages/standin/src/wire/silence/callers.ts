/** Callers over kept connections, who try again after a rejection. */
import {Buffer} from 'node:buffer';
import {Agent, request as httpRequest} from 'node:http';
import {type Duplex} from 'node:stream';
import {setTimeout as pause} from 'node:timers/promises';
import {jitter, pick, type Random} from '@gatehead/policy/utils/random';
import {splitAddress} from '@gatehead/schema/address';
import {longestSilenceMs} from '../client.js';

/** Statuses that promise that a request has not run and never will. */
export const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Part of the idle timeout within which callers reuse an idle connection. */
const idleShare = 0.8;
const gapSpread = 0.5;
const deadlineMs = 1000;
const deadlineSpread = 0.3;
const mostAttempts = 3;
/** Part of the time left for which callers heed `Retry-After`. */
const waitShare = 1 / 3;
const shortestMs = 50;
const millisecondsPerSecond = 1000;

/** One attempt of a caller. */
export type Attempt = {
	readonly id: string;
	readonly isOnce: boolean;
	readonly host: string;
	/** Milliseconds since the epoch. */
	readonly sentAt: number;
	readonly endedAt: number;
	/** 0: no response. */
	readonly status: number;
	readonly isKeptConnection: boolean;
	/** Whether the caller left first, at its deadline or before. */
	readonly hasLeft: boolean;
	/** Whether the caller had neither a response nor an error long after its deadline. */
	readonly hasGivenUp: boolean;
	readonly body: string;
};

/** Keep-alive connections of callers; the one that has been idle for longest is reused first. */
export class CallerPool extends Agent {
	/** Of the newest configuration, in milliseconds. */
	idleTimeoutMs: number;
	readonly #idleSince = new WeakMap<Duplex, number>();
	readonly #used = new WeakSet<Duplex>();

	constructor(idleTimeoutMs: number) {
		super({keepAlive: true, scheduling: 'fifo', maxFreeSockets: 1024});
		this.idleTimeoutMs = idleTimeoutMs;
	}

	/** Closes the connections that have been idle for too long. */
	sweep(): void {
		const now = performance.now();
		for (const socket of Object.values(this.freeSockets).flatMap(sockets => sockets ?? [])) {
			if (now - (this.#idleSince.get(socket) ?? now) > idleShare * this.idleTimeoutMs) {
				socket.destroy();
				socket.emit('agentRemove');
			}
		}
	}

	isKept(socket: Duplex): boolean {
		return this.#used.has(socket);
	}

	/** Called by Node when a request is done. */
	override keepSocketAlive(socket: Duplex): boolean { // eslint-disable-line @typescript-eslint/strict-void-return -- Node uses the return value, which its types omit
		this.#idleSince.set(socket, performance.now());
		// Heeds the time that the host states
		return super.keepSocketAlive(socket) as unknown as boolean; // eslint-disable-line @typescript-eslint/no-confusing-void-expression, @typescript-eslint/no-unsafe-type-assertion -- Node returns a value, which its types omit
	}

	override reuseSocket(...parameters: Parameters<Agent['reuseSocket']>): void {
		super.reuseSocket(...parameters);
		this.#used.add(parameters[0]);
	}
}

/** What callers send. */
export type CallerPlan = {
	readonly random: Random;
	readonly hosts: readonly string[];
	readonly connections: CallerPool;
	/** Share of the requests that have a long body. */
	readonly longBodyShare: number;
	readonly longBodyBytes: number;
	/** Share of the callers that leave at their deadline or before. */
	readonly leavingShare: number;
	/** Time after their deadline for which the others wait, in milliseconds; absent: as long as no busy machine takes. */
	readonly patienceMs?: number;
	readonly paths: readonly string[];
};

async function attempt(plan: CallerPlan, id: string, path: string, leftMs: number): Promise<Attempt & {readonly retryAfterMs: number}> {
	const {random, hosts, connections, longBodyShare, longBodyBytes, leavingShare, patienceMs = longestSilenceMs} = plan;
	const host = pick(random, hosts) ?? '';
	const {ip, port} = splitAddress(host);
	const body = Buffer.alloc(random.next() < longBodyShare ? longBodyBytes : 100, 'x');
	const isLeaving = random.next() < leavingShare;
	const leavesAfterMs = isLeaving ? leftMs * (0.7 + (0.3 * random.next())) : leftMs + patienceMs;
	connections.sweep();
	return new Promise(resolve => {
		const sentAt = Date.now();
		const call = httpRequest({
			host: ip, port, method: 'POST', path, agent: connections, headers: {
				Host: 'calls.example', 'Request-Id': id, 'Deadline-Ms': String(Math.round(leftMs)), 'Content-Length': body.length,
			},
		});
		let hasEndedItself = false;
		let isKeptConnection = false;
		const end = (seen: Partial<Attempt> & {readonly retryAfterMs?: number}) => {
			clearTimeout(leaving);
			resolve({
				id, isOnce: !path.startsWith('/repeatable/'), host, sentAt, endedAt: Date.now(), status: 0, isKeptConnection, hasLeft: hasEndedItself && isLeaving, hasGivenUp: hasEndedItself && !isLeaving, body: '', retryAfterMs: 0, ...seen,
			});
		};

		const leaving = setTimeout(() => {
			hasEndedItself = true;
			call.destroy();
			end({});
		}, leavesAfterMs);
		call.once('socket', socket => {
			isKeptConnection = connections.isKept(socket);
		});
		call.once('response', response => {
			const chunks: Uint8Array[] = [];
			response.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
			});
			response.on('error', () => {
				// A response that breaks off shows as one that is not whole
			});
			response.once('close', () => {
				end({
					status: response.statusCode ?? 0, body: Buffer.concat(chunks).toString('utf8'), retryAfterMs: Number(response.headers['retry-after'] ?? 0) * millisecondsPerSecond,
				});
			});
		});
		call.once('error', () => {
			end({});
		});
		call.end(body);
	});
}

/** Sends a request, and a new attempt with an id of its own after each rejection. */
async function call(plan: CallerPlan, name: string): Promise<Attempt[]> {
	const {random, paths} = plan;
	const path = `${pick(random, paths) ?? ''}${name}`;
	const endsAt = performance.now() + jitter(random, deadlineMs, deadlineSpread);
	const attempts: Attempt[] = [];
	while (attempts.length < mostAttempts) {
		const leftMs = endsAt - performance.now();
		if (leftMs < shortestMs) {
			return attempts;
		}

		const made = await attempt(plan, `${name}-${attempts.length}`, path, leftMs);
		attempts.push(made);
		if (made.hasLeft || !promises.has(made.status)) {
			return attempts;
		}

		await pause(Math.min(made.retryAfterMs, Math.max(0, endsAt - performance.now()) * waitShare));
	}

	return attempts;
}

/** Sends requests at a steady pace until `isOver`; resolves when all have ended. */
export async function sendUntil(plan: CallerPlan, perSecond: number, isOver: () => boolean): Promise<Attempt[]> {
	const calls: Array<Promise<Attempt[]>> = [];
	while (!isOver()) {
		calls.push(call(plan, `q${calls.length}`));
		await pause(jitter(plan.random, millisecondsPerSecond / perSecond, gapSpread));
	}

	const attempts = await Promise.all(calls);
	return attempts.flat();
}
