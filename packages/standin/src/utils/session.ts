/** Callers of one deployment: keep the lookup's answer, send planned calls, judge each reply. */
import {setTimeout as pause} from 'node:timers/promises';
import {type Target} from '@gatehead/schema/bundle';
import {errorBody, type HostsResponse} from '@gatehead/schema/caller-protocol';
import {CallerClient, joinEvents, type Reply} from './caller.js';
import {type PlannedCall} from './traffic.js';

/** What became of a call, as its caller sees it. */
export type Verdict = {
	readonly call: PlannedCall;
	readonly kind: 'whole' | 'refused' | 'crossed' | 'broken';
	/** What the caller was told about the run, for a refusal. */
	readonly ran: 'no' | 'yes' | 'unknown';
	readonly code: number;
	readonly ttftMs: number;
	readonly tokenMs: number;
	readonly isGoodput: boolean;
};

const firstTry = 1;
const mostTries = 4;
const retryMs = 150;

function judgeError(call: PlannedCall, {status, body}: Reply): Verdict {
	const parsed = status === 0 ? undefined : errorBody.safeParse(JSON.parse(body));
	const error = parsed?.data?.error;
	return {
		call, kind: error === undefined ? 'broken' : 'refused', ran: error?.ran ?? 'unknown', code: error?.code ?? 0, ttftMs: 0, tokenMs: 0, isGoodput: false,
	};
}

function countTokensIn(text: string): number {
	return text.split(' ').length - 1;
}

function judgeModel(call: PlannedCall, reply: Reply, target: Target): Verdict {
	const text = joinEvents(reply.body);
	const tokenMs = (reply.lastMs - reply.firstMs) / Math.max(1, countTokensIn(text ?? '') - 1);
	const isWhole = text !== undefined && text === call.expected?.();
	return {
		call,
		kind: isWhole ? 'whole' : (text === undefined ? 'broken' : 'crossed'),
		ran: 'yes',
		code: 0,
		ttftMs: reply.firstMs,
		tokenMs,
		isGoodput: isWhole && reply.firstMs <= target.ttftMs && tokenMs <= target.tokenMs,
	};
}

function judgeService(call: PlannedCall, {body, lastMs}: Reply): Verdict {
	const {echo} = JSON.parse(body) as {echo?: string}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- said between stand-ins only
	return {
		call, kind: echo === JSON.stringify(call.body) ? 'whole' : 'crossed', ran: 'yes', code: 0, ttftMs: lastMs, tokenMs: 0, isGoodput: true,
	};
}

/** One caller name's connections and its kept lookup. */
export class Session {
	readonly #client: CallerClient;
	readonly #entry: readonly string[];
	readonly #target: Target;
	#answer: HostsResponse | undefined;
	#keptUntil = 0;
	#turn = 0;

	constructor(token: string, entry: readonly string[], target: Target) {
		this.#client = new CallerClient(token);
		this.#entry = entry;
		this.#target = target;
	}

	/** Sends a call, over up to three addresses with one key, and judges the reply. */
	async carryOut(call: PlannedCall): Promise<Verdict> {
		let hosts = await this.#hosts();
		const first = hosts[this.#turn % Math.max(1, hosts.length)];
		this.#turn += 1;
		const key = call.kind.needsTicket && first !== undefined ? `${first.ticket}~call${call.number}` : undefined;
		let reply: Reply | undefined;
		for (let attempt = firstTry; attempt <= mostTries; attempt += 1) {
			const host = hosts[(this.#turn - 1 + attempt - firstTry) % Math.max(1, hosts.length)];
			reply = await this.#client.send(host?.address ?? '', {
				method: 'POST', path: call.path, body: call.body, key,
			});
			if (reply.status !== 0) {
				break;
			}

			this.#keptUntil = 0;
			await pause(retryMs * attempt);
			hosts = await this.#hosts();
		}

		return this.#judge(call, reply);
	}

	/** Closes connections. */
	close(): void {
		this.#client.close();
	}

	#judge(call: PlannedCall, reply: Reply | undefined): Verdict {
		if (reply?.status !== 200) {
			return judgeError(call, reply ?? {
				status: 0, body: '', firstMs: 0, lastMs: 0,
			});
		}

		return call.expected === undefined ? judgeService(call, reply) : judgeModel(call, reply, this.#target);
	}

	async #hosts(): Promise<HostsResponse['hosts']> {
		if (this.#answer !== undefined && performance.now() < this.#keptUntil) {
			return this.#answer.hosts;
		}

		for (const address of this.#entry) {
			try {
				this.#answer = await this.#client.lookUp(address);
				this.#keptUntil = performance.now() + this.#answer.ttlMs;
				return this.#answer.hosts;
			} catch {
				// The next address may answer
			}
		}

		return this.#answer?.hosts ?? [];
	}
}
