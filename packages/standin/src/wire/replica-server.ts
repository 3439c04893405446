/** A replica of the platform as a stand-in: plain, prefill or decode, with faults. Written from the platform's pages. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {seedRandom} from '@gatehead/policy/utils/random';
import {
	readBody, sendJson, startServer, type RunningServer,
} from '../utils/http.js';
import {BodyWriter, type ResponseCut, type ResponseFraming} from './body-writer.js';
import {sendFlood, sendPacedFlood, type Flood} from './flood.js';
import {EngineMemory, type EngineRun} from './engine-memory.js';

/** Events of a whole stream. */
export const streamEvents = 6;
const eventGapMs = 2;
const hexadecimal = 16;
/** Lifetime of a reservation, in milliseconds, as the configuration states it. */
const holdMs = 2000;

/** How a replica misbehaves with the requests that it is sent. */
export type ReplicaFault = 'none' | 'full' | 'reset' | 'silent' | 'error' | 'foreign' | 'unmarked' | 'cut' | 'doubled' | 'emptyPromise' | 'unframedReset' | EndlessFault;

/** How an engine that runs a stream to its end loses the answer: what it generated stays in its memory. */
export type AnswerLoss = 'reset' | 'error' | 'silent';

/** Responses without end. */
export const endlessFaults = ['endlessHead', 'endlessBody'] as const;
export type EndlessFault = typeof endlessFaults[number];

/** Path of plain requests whose responses are large. */
export const largePath = '/repeatable/large';
/** Size of such a response, and pace of a body without end a second, in bytes. */
const largeBytes = 2_000_000;
const floodBytesPerS = 3_000_000;
const endlessHead: Flood = {head: 'HTTP/1.1 200 OK\r\n', repeated: 'X-More: xxxxxxxx\r\n'};
const endlessBody = 'Transfer-Encoding: chunked\r\n\r\n';

/** One run of a request. */
export type Run = {
	readonly request: string;
	readonly replica: string;
	readonly target: string;
	readonly body: string;
	readonly lastEventId: string | undefined;
	/** All headers that came with it, names in small letters and values by turns. */
	readonly headers: readonly string[];
};

/** What a replica states about itself in its answers. */
export type StatedSignals = {
	/** Requests a second that it takes from all hosts together. */
	limitPerS?: number;
	isLeaving?: boolean;
	/** It answers requests with 503 and this `Retry-After`, in seconds. */
	backoffS?: number;
};

/** One request that reached a replica, whether or not it ran. */
export type Arrival = {
	readonly request: string;
	readonly replica: string;
	/** On the process's steady clock, in milliseconds. */
	readonly at: number;
	/** Whether it was answered with a `Retry-After`. */
	readonly isBackedOff: boolean;
	/** Whether the replica accepted it to prefill its prompt only. */
	readonly isAcceptedPrefill: boolean;
};

/** What all replicas of one test share. */
export type ReplicaLog = {
	readonly runs: Run[];
	readonly arrivals: Arrival[];
	/** Prefill results by handle that nobody has taken or freed; handles are unlike those of other replicas, since a proxy may stand before each. */
	readonly results: Map<string, string>;
	/** Requests whose connection closed before their answer was whole. */
	readonly closed: string[];
	/** Headers of the prompts that were read. */
	readonly readings: Array<readonly string[]>;
	readonly orders: Array<{readonly replica: string; readonly holder: string; readonly fence: number}>;
	/** Replicas that ended under a request, in the order of their ends. */
	readonly ended: string[];
	/** When the last whole response to each request was written, on the process's steady clock, in milliseconds. */
	readonly finishedAt: Map<string, number>;
};

/** A log of nothing yet. */
export function makeReplicaLog(): ReplicaLog {
	return {
		runs: [], arrivals: [], results: new Map(), closed: [], readings: [], orders: [], ended: [], finishedAt: new Map(),
	};
}

/** What a replica is made from. */
export type ReplicaParts = {
	readonly id: string;
	readonly stage?: 'prefill' | 'decode';
	readonly slots: number;
	readonly log: ReplicaLog;
	/** Version of its software at the start; absent: `v1` in its entry, and none in its events. */
	readonly softwareVersion?: string | undefined;
	/** Time between two events, in milliseconds; absent: 2. */
	readonly eventGapMs?: number | undefined;
	/** A request with this body ends the replica that begins to run it. */
	readonly crashingBody?: string | undefined;
	/** Ids of prompt parts that end the replica that begins to run them. */
	readonly crashingParts?: readonly string[] | undefined;
	/** Events that are out before such a part ends the replica; absent: none. */
	readonly eventsBeforeCrash?: number | undefined;
};

/** A running replica. */
export type StandinReplica = Omit<ReplicaParts, 'softwareVersion' | 'id' | 'eventGapMs'> & {
	/** A process that starts in place of another one has an id of its own. */
	id: string;
	readonly address: string;
	/** Published in its entry and, as the field `event`, in each event of its streams. */
	softwareVersion: string | undefined;
	/** Time between two events of its streams, in milliseconds. */
	eventGapMs: number;
	/** What it publishes as the instant of its start; a test may make it anything. */
	born: unknown;
	fault: ReplicaFault;
	/** Stated in each answer from now on. */
	signals: StatedSignals;
	/** Time that a plain call takes, in milliseconds. */
	workMs: number;
	/** Share of its requests that it rejects, from 0 to 1; reservations are accepted. */
	rejectedShare: number;
	/** How its responses to callers are framed. */
	framing: ResponseFraming;
	/** Cuts of its next responses, in order; then they are whole. */
	readonly cuts: ResponseCut[];
	/** Whether its runs go on to their end when their connections close, as if it had not noticed. */
	isRunningOn: boolean;
	/** Status with which it rejects lists of what is in memory; undefined: it answers them. */
	listRejection: number | undefined;
	/** Losses of the answers to its next streams, in order; then they are sound. */
	readonly answerLosses: AnswerLoss[];
	/** Ends the server, and loses what is in memory; `revive` starts it on the same address. */
	kill(): Promise<void>;
	revive(): Promise<void>;
};

type Exchange = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly id: string;
	readonly body: string;
};

function headerOf({headers}: IncomingMessage, name: string): string | undefined {
	const value = headers[name];
	return Array.isArray(value) ? value[0] : value;
}

function listHeaders({rawHeaders}: IncomingMessage): string[] {
	return rawHeaders.map((each, index) => index % 2 === 0 ? each.toLowerCase() : each);
}

function writeVersionField(softwareVersion: string | undefined): string {
	return softwareVersion === undefined ? '' : `event: ${softwareVersion}\n`;
}

/** An event of a stream. */
export function writeEvent(id: number, softwareVersion: string | undefined): string {
	return `id: ${id}\n${writeVersionField(softwareVersion)}data: piece ${id}\n\n`;
}

class Replica {
	readonly parts: ReplicaParts;
	fault: ReplicaFault = 'none';
	signals: StatedSignals = {};
	workMs = 0;
	rejectedShare = 0;
	framing: ResponseFraming = 'chunks';
	readonly cuts: ResponseCut[] = [];
	isRunningOn = false;
	listRejection: number | undefined;
	readonly answerLosses: AnswerLoss[] = [];
	eventGapMs: number;
	softwareVersion: string | undefined;
	id: string;
	readonly memory = new EngineMemory();
	#taken = 0;
	#made = 0;
	/** Reservations by name, with the time at which each lapses. */
	readonly #holds = new Map<string, number>();
	readonly #random = seedRandom(1);
	readonly #end: () => void;

	/** `end` ends the whole replica at once. */
	constructor(parts: ReplicaParts, end: () => void) {
		this.parts = parts;
		this.softwareVersion = parts.softwareVersion;
		this.id = parts.id;
		this.eventGapMs = parts.eventGapMs ?? eventGapMs;
		this.#end = end;
	}

	reserve(response: ServerResponse): void {
		this.#dropLapsed();
		if (this.fault === 'full' || this.#taken + this.#holds.size >= this.parts.slots) {
			sendJson(response, 503, {});
			return;
		}

		this.#made += 1;
		const hold = `hold${this.#made}`;
		this.#holds.set(hold, performance.now() + holdMs);
		sendJson(response, 200, {hold});
	}

	drop(hold: string): void {
		this.#holds.delete(hold);
	}

	/** Takes an order to change its part. */
	order(body: string, response: ServerResponse): void {
		const {holder, fence} = JSON.parse(body) as {holder: string; fence: number}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the test's own words
		this.parts.log.orders.push({replica: this.id, holder, fence});
		sendJson(response, 202, {});
	}

	/** Lists what is in memory, as the process does that the caller expects here. */
	list(request: IncomingMessage, response: ServerResponse, describe: () => unknown): void {
		const {fault, id} = this;
		if (fault === 'silent' || fault === 'reset') {
			if (fault === 'reset') {
				request.socket.resetAndDestroy();
			}

			return;
		}

		const isExpected = (headerOf(request, 'expect-instance') ?? id) === id;
		response.setHeader('Replica-Id', id);
		if (this.listRejection !== undefined) {
			sendJson(response, this.listRejection, {});
			return;
		}

		sendJson(response, isExpected ? 200 : 421, isExpected ? describe() : {});
	}

	/** Answers a caller's request that the relay sent here. */
	serve(exchange: Exchange): void {
		const {request, response, id} = exchange;
		if (id !== '') {
			response.setHeader('Request-Id', id);
		}

		if (headerOf(request, 'expect-instance') !== this.id) {
			response.setHeader('Replica-Id', this.id);
			sendJson(response, 421, {});
			return;
		}

		const isRejected = this.fault === 'full' || this.signals.backoffS !== undefined || this.#random.next() < this.rejectedShare;
		this.#state(exchange, isRejected);
		if (isRejected) {
			response.setHeader('Not-Executed', '1');
			sendJson(response, 503, {});
			return;
		}

		if (headerOf(request, 'stage') === 'prefill') {
			this.#prefill(exchange);
			return;
		}

		const hold = headerOf(request, 'kv-hold');
		this.#holds.delete(hold ?? '');
		if (!this.#takeResult(exchange)) {
			response.setHeader('Not-Executed', '1');
			sendJson(response, 503, {});
			return;
		}

		this.parts.log.runs.push({
			request: id, replica: this.id, target: request.url ?? '', body: exchange.body, lastEventId: headerOf(request, 'last-event-id'), headers: listHeaders(request),
		});
		response.once('close', () => {
			if (!response.writableFinished) {
				this.parts.log.closed.push(id);
			}
		});
		response.once('finish', () => {
			this.parts.log.finishedAt.set(id, performance.now());
		});
		if (exchange.body === this.parts.crashingBody || this.#hasCrashingPart(request)) {
			this.#crash(exchange);
			return;
		}

		this.#answer(exchange);
	}

	#dropLapsed(): void {
		for (const [hold, lapsesAt] of this.#holds) {
			if (lapsesAt <= performance.now()) {
				this.#holds.delete(hold);
			}
		}
	}

	/** Notes the request, and puts this replica's signals on its answer. */
	#state({request, response, id}: Exchange, isRejected: boolean): void {
		const {limitPerS, isLeaving, backoffS} = this.signals;
		this.parts.log.arrivals.push({
			request: id, replica: this.id, at: performance.now(), isBackedOff: backoffS !== undefined, isAcceptedPrefill: headerOf(request, 'stage') === 'prefill' && !isRejected && this.fault === 'none',
		});
		if (limitPerS !== undefined) {
			response.setHeader('Server-Limit', String(limitPerS));
		}

		if (isLeaving) {
			response.setHeader('Server-Leaving', '1');
		}

		if (backoffS !== undefined) {
			response.setHeader('Retry-After', String(backoffS));
		}
	}

	#hasCrashingPart(request: IncomingMessage): boolean {
		const shared = (headerOf(request, 'prompt-prefix') ?? '').split(',').slice(0, -1).map(part => part.split(':', 1)[0] ?? '');
		return shared.some(part => this.parts.crashingParts?.includes(part));
	}

	/** The head of the answer is out, and at most some events of it, when the replica ends. */
	#crash({request: {socket}, id}: Exchange): void {
		const events = Array.from({length: this.parts.eventsBeforeCrash ?? 0}, (_, index) => writeEvent(index + 1, undefined)).join('');
		const chunk = events === '' ? '' : `${events.length.toString(hexadecimal)}\r\n${events}\r\n`;
		socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${chunk}`);
		setTimeout(() => {
			if (!this.parts.log.ended.includes(this.id)) {
				this.parts.log.ended.push(this.id);
			}

			this.#end();
		}, eventGapMs);
	}

	#prefill({request, response, id}: Exchange): void {
		const {socket} = request;
		this.parts.log.readings.push(listHeaders(request));
		const faults: Partial<Record<ReplicaFault, () => void>> = {
			reset() {
				response.socket?.resetAndDestroy();
			},
			silent() {
				// The caller hears nothing
			},
			error() {
				sendJson(response, 500, {});
			},
			endlessHead() {
				sendFlood(socket, endlessHead, false);
			},
			endlessBody() {
				sendPacedFlood(socket, `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\n${endlessBody}`, floodBytesPerS);
			},
		};
		const fault = faults[this.fault];
		if (fault !== undefined) {
			fault();
			return;
		}

		this.memory.keepPrompt(headerOf(request, 'prompt-prefix') ?? '');
		this.#made += 1;
		const handle = `${this.id}-${this.#made}`;
		this.parts.log.results.set(handle, id);
		sendJson(response, 200, {prefillHandle: handle, tokens: 1, version: 1});
	}

	/** A result serves once, and only the request that it was made for. */
	#takeResult({request, id}: Exchange): boolean {
		const source = headerOf(request, 'kv-source');
		if (source === undefined) {
			return true;
		}

		const {results} = this.parts.log;
		const handle = source.split('/')[1] ?? '';
		const isOwn = results.get(handle) === id;
		results.delete(handle);
		return isOwn;
	}

	#answer(exchange: Exchange): void {
		const {response, id, request} = exchange;
		const {socket} = request;
		const versionField = this.#versionField;
		const body = `whole answer to ${id}`.padEnd(request.url === largePath ? largeBytes : 0);
		const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Seal: seal\r\n`;
		const faults: Readonly<Record<ReplicaFault, () => void>> = {
			none: () => {
				this.#answerWhole(exchange, body);
			},
			full() {
				// Refused before
			},
			reset() {
				socket.resetAndDestroy();
			},
			silent() {
				// The caller hears nothing
			},
			error() {
				response.writeHead(500, {'Request-Id': id, 'Server-Seal': 'seal'}).end('own failure');
			},
			foreign() {
				response.writeHead(200, {'Request-Id': 'another', 'Server-Seal': 'seal'}).end('for another');
			},
			unmarked() {
				response.writeHead(200, {'Request-Id': id}).end(body);
			},
			cut() {
				const next = Number(headerOf(request, 'last-event-id') ?? 0) + 1;
				const piece = `id: ${next}\n${versionField}data: x\n\nid: ${next + 1}\nd`;
				socket.write(`${head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${piece.length.toString(hexadecimal)}\r\n${piece}\r\n`);
				setTimeout(() => {
					socket.resetAndDestroy();
				}, eventGapMs);
			},
			doubled() {
				socket.write(`${head}Content-Length: ${body.length}\r\n\r\n${body}${head}Content-Length: 5\r\n\r\nwrong`);
			},
			emptyPromise() {
				response.writeHead(503, {'Request-Id': id}).end();
			},
			unframedReset() {
				socket.write(`${head}\r\n${body.slice(0, 5)}`);
				socket.resetAndDestroy();
			},
			endlessHead() {
				sendFlood(socket, endlessHead, false);
			},
			endlessBody: () => {
				const type = this.parts.stage === undefined ? '' : 'Content-Type: text/event-stream\r\n';
				sendPacedFlood(socket, `${head}${type}${endlessBody}`, floodBytesPerS);
			},
		};
		faults[this.fault]();
	}

	#answerWhole({response, id, request}: Exchange, body: string): void {
		const cut = this.cuts.shift();
		if (this.parts.stage === undefined) {
			const answer = () => {
				this.#answerPlain(response, id, body, cut);
			};

			if (this.workMs > 0) {
				setTimeout(answer, this.workMs);
			} else {
				answer();
			}

			return;
		}

		const loss = this.answerLosses.shift();
		if (loss !== undefined) {
			this.#loseAnswer(loss, {response, id, request});
			return;
		}

		this.#taken += 1;
		const run = this.memory.begin(id, headerOf(request, 'prompt-prefix') ?? '', Number(headerOf(request, 'last-event-id') ?? 0));
		response.once('close', () => {
			this.#taken -= 1;
			if (!this.isRunningOn) {
				this.memory.end(run);
			}
		});
		const writer = this.#makeWriter(response, cut);
		response.writeHead(200, {'Request-Id': id, 'Server-Seal': 'seal', 'Content-Type': 'text/event-stream'});
		this.#writeEvents(writer, run);
	}

	#loseAnswer(loss: AnswerLoss, {response, id, request}: Pick<Exchange, 'response' | 'id' | 'request'>): void {
		this.memory.end(this.memory.begin(id, headerOf(request, 'prompt-prefix') ?? '', streamEvents));
		const losses: Readonly<Record<AnswerLoss, () => void>> = {
			reset() {
				request.socket.resetAndDestroy();
			},
			error() {
				response.writeHead(500, {'Request-Id': id, 'Server-Seal': 'seal'}).end('own failure');
			},
			silent() {
				// The caller hears nothing
			},
		};
		losses[loss]();
	}

	#answerPlain(response: ServerResponse, id: string, body: string, cut: ResponseCut | undefined): void {
		const head = {'Request-Id': id, 'Server-Seal': 'seal', 'Keep-Alive': 'timeout=5'};
		if (this.framing === 'chunks' && cut === undefined) {
			response.writeHead(200, head).end(body);
			return;
		}

		const writer = this.#makeWriter(response, cut);
		response.writeHead(200, head);
		writer.write(body);
		writer.end();
	}

	#makeWriter(response: ServerResponse, cut: ResponseCut | undefined): BodyWriter {
		return new BodyWriter({
			response, framing: this.framing, cut, crash: () => {
				this.parts.log.ended.push(this.id);
				this.#end();
			},
		});
	}

	#writeEvents(writer: BodyWriter, run: EngineRun): void {
		const isWatched = !writer.isOver || this.isRunningOn;
		if (run.events >= streamEvents || !isWatched || !this.memory.has(run)) {
			this.memory.end(run);
			writer.end();
			return;
		}

		run.events += 1;
		writer.write(writeEvent(run.events, this.softwareVersion));
		setTimeout(() => {
			this.#writeEvents(writer, run);
		}, this.eventGapMs);
	}

	get #versionField(): string {
		return writeVersionField(this.softwareVersion);
	}
}

/** Starts a replica. */
export async function startReplica(parts: ReplicaParts, address: string): Promise<StandinReplica> {
	const kill = async () => {
		replica.memory.lose();
		await server.kill();
	};

	const replica = new Replica(parts, () => {
		void kill();
	});
	const server: RunningServer = await startServer({
		'GET /api/report'(request, response) {
			replica.list(request, response, () => replica.memory.report(parts.stage));
		},
		'GET /api/kv-list'(request, response) {
			replica.list(request, response, () => replica.memory.list());
		},
		async 'POST /api/hold-take'(request, response) {
			await readBody(request);
			replica.reserve(response);
		},
		async 'POST /api/order'(request, response) {
			replica.order(await readBody(request), response);
		},
	}, address, async (request, response, url) => {
		const [call, name] = url.pathname.split('/').slice(2);
		if (call === 'hold-drop' || call === 'kv-handle') {
			replica.drop(name ?? '');
			parts.log.results.delete(name ?? '');
			sendJson(response, 200, {});
			return;
		}

		const body = await readBody(request);
		replica.serve({
			request, response, id: headerOf(request, 'request-id') ?? '', body: Buffer.from(body).toString('utf8'),
		});
	});
	return {
		...parts,
		address: server.address,
		born: undefined,
		get fault() {
			return replica.fault;
		},
		set fault(fault) {
			replica.fault = fault;
		},
		get signals() {
			return replica.signals;
		},
		set signals(signals) {
			replica.signals = signals;
		},
		get framing() {
			return replica.framing;
		},
		set framing(framing) {
			replica.framing = framing;
		},
		cuts: replica.cuts,
		answerLosses: replica.answerLosses,
		get eventGapMs() {
			return replica.eventGapMs;
		},
		set eventGapMs(milliseconds) {
			replica.eventGapMs = milliseconds;
		},
		get isRunningOn() {
			return replica.isRunningOn;
		},
		set isRunningOn(isRunningOn) {
			replica.isRunningOn = isRunningOn;
		},
		get id() {
			return replica.id;
		},
		set id(id) {
			replica.id = id;
		},
		get listRejection() {
			return replica.listRejection;
		},
		set listRejection(status) {
			replica.listRejection = status;
		},
		get softwareVersion() {
			return replica.softwareVersion;
		},
		set softwareVersion(version) {
			replica.softwareVersion = version;
		},
		get workMs() {
			return replica.workMs;
		},
		set workMs(milliseconds) {
			replica.workMs = milliseconds;
		},
		get rejectedShare() {
			return replica.rejectedShare;
		},
		set rejectedShare(share) {
			replica.rejectedShare = share;
		},
		kill,
		revive: server.revive,
	};
}
