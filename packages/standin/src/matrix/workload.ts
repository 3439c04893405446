/** The callers of a failure test: one model request and one call that may not be repeated, each tried again under its key as callers do. */
import {errorBody, type HostsResponse} from '@gatehead/schema/caller-protocol';
import {wholeAnswer} from '../engine/answer.js';
import {CallerClient, joinEvents, type Reply} from '../utils/caller.js';
import {type Stage} from './stage.js';

const mostTries = 5;
const pauseMs = 150;
const maxTokens = 24;

/** What is called. */
export type CallKind = 'model' | 'label';

/** One caller with all that it was told. */
export type CallerLog = {
	readonly kind: CallKind;
	readonly id: string;
	readonly expected: string;
	readonly replies: Reply[];
	/** "Not run" was told although the endpoints had run it. */
	readonly untrue: string[];
	isDone: boolean;
	isGone: boolean;
	hasWhole: boolean;
};

function bodyOf(kind: CallKind, id: string): Readonly<Record<string, unknown>> {
	return kind === 'model'
		? {
			model: 'model', prompt: `${id} ${'word '.repeat(60)}`, max_tokens: maxTokens, stream: true,
		}
		: {label: id};
}

/** Times that endpoints started a request; ids at the endpoints end in the caller's own name of it. */
export function countRuns({engines, services}: Stage, {kind, id}: Pick<CallerLog, 'kind' | 'id'>): number {
	const books = kind === 'label' ? services.map(each => each.runs) : engines.flatMap(({prefill, decode}) => [prefill.starts, decode.starts]);
	let runs = 0;
	for (const book of books) {
		for (const [request, count] of book) {
			runs += `${request}.`.includes(`~${id}.`) ? count : 0;
		}
	}

	return runs;
}

/** A caller that works through the stage's hosts. */
export class Caller {
	readonly log: CallerLog;
	readonly #stage: Stage;
	readonly #client = new CallerClient('token');
	readonly #body: Readonly<Record<string, unknown>>;
	#hosts: HostsResponse['hosts'] = [];

	constructor(stage: Stage, kind: CallKind, id: string) {
		this.#stage = stage;
		this.#body = bodyOf(kind, id);
		this.log = {
			kind, id, expected: kind === 'model' ? wholeAnswer(String(this.#body.prompt), maxTokens) : JSON.stringify(this.#body), replies: [], untrue: [], isDone: false, isGone: false, hasWhole: false,
		};
	}

	/** Asks living hosts which hosts to use. */
	async lookUp(): Promise<void> {
		for (const {address} of this.#stage.living) {
			const reply = await this.#client.send(address, {method: 'GET', path: '/v1/hosts?hall=south'});
			if (reply.status === 200) {
				const {hosts} = JSON.parse(reply.body) as HostsResponse; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- our own answer
				this.#hosts = hosts;
				return;
			}
		}
	}

	/** Name of the host that the ticket binds the request to. */
	get owner(): string {
		return this.#hosts[0]?.host ?? '';
	}

	/** Sends the call and tries again as a caller would; ends when it knows the outcome. */
	async carryOut(firstTurn = 0): Promise<void> {
		const ticket = this.#hosts[0]?.ticket ?? '';
		for (let index = 0; index < mostTries && !this.log.isGone; index += 1) {
			const reply = await this.#send(firstTurn + index, ticket);
			if (this.#judge(reply)) {
				break;
			}

			await this.#pause();
		}

		this.log.isDone = true;
	}

	/** Leaves: closes all connections. */
	leave(): void {
		this.log.isGone ||= !this.log.isDone;
		this.#client.close();
	}

	async #send(index: number, ticket: string): Promise<Reply> {
		const host = this.#hosts[index % Math.max(1, this.#hosts.length)];
		return this.#client.send(host?.address ?? '127.0.0.1:1', {
			method: 'POST', path: this.log.kind === 'model' ? '/v1/completions' : '/services/labels/print', body: this.#body, key: `${ticket}~${this.log.id}`,
		});
	}

	/** Notes a reply; true when the outcome is known. */
	#judge(reply: Reply): boolean {
		const {log} = this;
		log.replies.push(reply);
		if (reply.status === 200) {
			log.hasWhole = textOf(log.kind, reply) === log.expected;
			return log.kind === 'label' || textOf(log.kind, reply) !== undefined;
		}

		const ran = reply.status === 0 ? undefined : errorBody.safeParse(JSON.parse(reply.body)).data?.error.ran;
		if (ran === 'no' && log.kind === 'label' && countRuns(this.#stage, log) > 0) {
			log.untrue.push(reply.body);
		}

		return ran === 'unknown' && log.kind === 'label';
	}

	async #pause(): Promise<void> {
		const {clock} = this.#stage;
		await new Promise<void>(resolve => {
			clock.after(pauseMs, resolve);
		});
	}
}

/** The text of an answer; undefined where a stream did not end whole. */
export function textOf(kind: CallKind, {body}: Reply): string | undefined {
	if (kind === 'model') {
		return joinEvents(body);
	}

	const {echo} = JSON.parse(body) as {echo?: string}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- said between stand-ins only
	return echo;
}
