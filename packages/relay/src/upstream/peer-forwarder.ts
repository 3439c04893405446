/**
 * Forwards requests of a service to which this host has lost its links to a
 * host that has not. Safety: a request that may have reached one host is never
 * forwarded to another one, a forwarded request is not forwarded again, and
 * the other host gets only the attempts that are left, all of which count as
 * used unless it states that it did not run the request.
 */
import {type IncomingMessage} from 'node:http';
import {chooseForwardTarget} from '@gatehead/policy/relay/forward-target';
import {ignore} from '@gatehead/policy/utils/ignore';
import {findCode, type Code} from '@gatehead/schema/codes';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type RelayContext} from '../core/context.js';
import {type ResponseFacts} from '../core/dialect.js';
import {isOff} from '../core/experiment.js';
import {
	errorCodeHeader, readForwardId, writeForwardFacts, writeForwardId, writeForwardResolution,
} from '../core/forward-facts.js';
import {readPeerTls, type PeerTls} from '../core/peer-tls.js';
import {notRunStatuses} from '../front/reply.js';
import {timeLeft, type Job} from '../work/job.js';
import {type RetryBudgets} from '../work/retry-budgets.js';
import {
	ConnectionPool, preventReuse, setIdleTimeout, traceConnection, type ConnectionTrace,
} from './connection-pool.js';
import {discardBody, exchange, ExchangeError} from './exchange.js';
import {type Reachability} from './reachability.js';

/** Hosts tried for one request while none has taken it. */
const maxHosts = 3;
/** Time for which a host that did not take a request gets no other, in milliseconds. */
const exclusionMs = 1000;
/** Maximum connections to one host: its callers need descriptors too. */
const maxConnections = 128;
const millisecondsPerSecond = 1000;

/** Errors of another host after which a third one may serve the request. */
const handOverCodes: ReadonlySet<Code> = new Set(['hostStopping', 'notReady', 'tooManyRequests', 'endpointsDown']);

/** Errors after which the other host has sent nothing to an endpoint. */
const unsentCodes: ReadonlySet<Code> = new Set(['hostStopping', 'notReady', 'tooManyRequests']);

/** Outcome of forwarding a request. */
export type ForwardResult
	/** The endpoint's response. The caller calls `end` once, after the body. */
	= | {readonly kind: 'answer'; readonly host: string; readonly response: IncomingMessage; readonly end: (outcome: string) => void}
	/** The request did not run; the other host's error is to be passed on. */
		| {readonly kind: 'refused'; readonly host: string; readonly code: Code; readonly retryAfterMs: number | undefined}
	/** The request may have run. */
		| {readonly kind: 'unknown'; readonly host: string; readonly code: Code; readonly detail: string}
	/** No host took the request; nothing was sent. `isCanceled`: by this host itself, which shows nothing of the others. */
		| {readonly kind: 'unavailable'; readonly isCanceled: boolean};

export type PeerForwarderParts = {
	readonly context: RelayContext;
	readonly reachability: Pick<Reachability, 'isUnreachable'>;
	readonly budgets: RetryBudgets;
	readonly routingVersion: () => number;
	readonly listMembers: () => readonly MemberRecord[];
};

/** What a request carries beyond the caller's own headers. */
export type ForwardOptions = {
	/** Endpoints that the other host may try. */
	readonly attempts: number;
	/** Last event that the caller has, of a stream that continues. */
	readonly lastEventId?: string | undefined;
	/** Software version that the endpoint must run; absent: any. */
	readonly softwareVersion?: string | undefined;
	/** Timeout of the response headers, in milliseconds. */
	readonly headMs: number;
	/** Cancels the forward; absent: the job's signal. */
	readonly signal?: AbortSignal;
	/** Called right before the first byte is written, for each host that is tried. */
	readonly onWrite?: (host: string) => void;
};

/** Progress of a forward, for its log line. */
type ForwardTrace = {
	/** Host that was tried; absent: none. */
	readonly to?: string;
	/** When the request was written. */
	writtenAt?: number;
	connection?: ConnectionTrace;
};

/** Forwards requests to other hosts. */
export class PeerForwarder {
	readonly #parts: PeerForwarderParts;
	readonly #tls: PeerTls | undefined;
	readonly #pools = new Map<string, ConnectionPool>();
	readonly #inFlight = new Map<string, number>();
	/** Hosts that did not take a request, and until when they get none. */
	readonly #excludedUntil = new Map<string, number>();
	/** Forwards so far; numbers their ids. */
	#forwards = 0;

	constructor(parts: PeerForwarderParts) {
		this.#parts = parts;
		this.#tls = readPeerTls(parts.context.settings.keys.tls);
	}

	/** Whether a request has to be forwarded because this host cannot reach its service. */
	isNeeded({service, entryHost}: Pick<Job, 'service' | 'entryHost'>): boolean {
		const {context, reachability} = this.#parts;
		return entryHost === undefined && reachability.isUnreachable(service.name) && !isOff(context, 'forwarding');
	}

	/** Forwards a request to a host that takes it. */
	async send(job: Job, options: ForwardOptions): Promise<ForwardResult> {
		const {context: {metrics, clock}} = this.#parts;
		const {signal = job.signal} = options;
		const startedAt = clock.now();
		let result: ForwardResult = {kind: 'unavailable', isCanceled: false};
		let trace: ForwardTrace = {};
		for (let tried = 0; tried < maxHosts && !signal.aborted; tried += 1) {
			const target = this.#choose(job);
			if (target?.forwardAddress === undefined) {
				break;
			}

			if (trace.to !== undefined) {
				this.#log(job, result, trace, startedAt);
			}

			trace = {to: target.host};
			result = await this.#sendTo(target, target.forwardAddress, job, options, trace);
			const isCanceled = result.kind === 'unavailable' && result.isCanceled;
			const isHandedOver = result.kind === 'refused' && handOverCodes.has(result.code);
			if (isCanceled || (result.kind !== 'unavailable' && !isHandedOver)) {
				break;
			}

			this.#excludedUntil.set(target.host, clock.now() + exclusionMs);
		}

		metrics.add('forwarded', {outcome: result.kind});
		metrics.time('forward', clock.now() - startedAt, {outcome: result.kind});
		this.#log(job, result, trace, startedAt);
		return result;
	}

	/** Closes all connections. */
	close(): void {
		for (const pool of this.#pools.values()) {
			pool.destroy();
		}
	}

	/** Logs what came of one host. */
	#log(job: Job, result: ForwardResult, {to, writtenAt, connection}: ForwardTrace, startedAt: number): void {
		const {context: {log, clock}} = this.#parts;
		const now = clock.now();
		log('forwarded', {
			request: job.id, service: job.service.name, outcome: result.kind, to, ...describe(result), ...connection, sentMs: writtenAt === undefined ? undefined : Math.round(now - writtenAt), tookMs: Math.round(now - startedAt), ageMs: Math.round(now - job.arrivedAt),
		});
	}

	#choose({service}: Job): MemberRecord | undefined {
		const {context: {clock, random, self, settings: {hall}}, listMembers} = this.#parts;
		const now = clock.now();
		for (const [host, until] of this.#excludedUntil) {
			if (until <= now) {
				this.#excludedUntil.delete(host);
			}
		}

		return chooseForwardTarget(listMembers(), {
			self: {host: self.host, hall}, service: service.name, excluded: new Set(this.#excludedUntil.keys()), inFlight: host => this.#inFlight.get(host) ?? 0,
		}, random);
	}

	async #sendTo({host}: MemberRecord, address: string, job: Job, options: ForwardOptions, trace: ForwardTrace): Promise<ForwardResult> {
		const {budgets, context: {clock, dialect, settings: {timing}}} = this.#parts;
		let undoRuns = ignore;
		let isCanceled = false;
		const finish = this.#begin(host);
		this.#forwards += 1;
		const forwardId = String(this.#forwards);
		try {
			const {response, facts} = await exchange({
				address, method: job.method, target: job.target, headers: [...this.#buildHeaders(job, options), ...writeForwardId(forwardId)], body: job.body,
			}, this.#poolOf(address), {
				clock, connectMs: timing.connectMs, headMs: options.headMs, signal: options.signal ?? job.signal, verify: response => readForwardId(response.headers) === forwardId ? dialect.readResponse(response.statusCode ?? 0, response.headers) : undefined, maySend(socket) {
					if (!budgets.admit(job)) {
						isCanceled = true;
						return false;
					}

					trace.writtenAt = clock.now();
					trace.connection = traceConnection(socket);
					undoRuns = job.runs.enter(options.attempts);
					options.onWrite?.(host);
					return true;
				},
			});
			const result = this.#classify(host, job, response, facts, finish);
			if (result.kind === 'refused') {
				undoRuns();
				if (unsentCodes.has(result.code)) {
					budgets.discount(job);
				}
			}

			return result;
		} catch (error) {
			finish();
			const fault = error instanceof ExchangeError ? error : new ExchangeError('reset', true, error);
			if (!fault.mayHaveBeenSent) {
				isCanceled ||= options.signal?.aborted ?? job.signal.aborted;
				return {kind: 'unavailable', isCanceled};
			}

			return {
				kind: 'unknown', host, code: fault.fault === 'silent' || fault.fault === 'aborted' ? 'timeoutSpent' : 'answerLost', detail: fault.message,
			};
		}
	}

	#classify(host: string, job: Job, response: IncomingMessage, facts: ResponseFacts, finish: () => void): ForwardResult {
		const status = response.statusCode ?? 0;
		setIdleTimeout(response.socket, facts.keepAliveMs);
		const code = readErrorCode(response);
		const isForeign = facts.id !== undefined && facts.id !== job.id;
		// Only the other host's own error proves that the request did not run
		const isUnbacked = code === undefined && (notRunStatuses.has(status) || !facts.isMarked);
		if (code === undefined && !isForeign && !isUnbacked) {
			return {
				kind: 'answer', host, response, end: finish,
			};
		}

		finish();
		if (code === undefined) {
			preventReuse(response.socket);
			response.destroy();
			return {
				kind: 'unknown', host, code: 'answerLost', detail: isForeign ? 'the response belongs to another request' : `status ${status} without a mark`,
			};
		}

		discardBody(response, this.#parts.context.clock);
		return notRunStatuses.has(status)
			? {
				kind: 'refused', host, code, retryAfterMs: readRetryAfterMs(response),
			}
			: {
				kind: 'unknown', host, code, detail: `status ${status}`,
			};
	}

	#buildHeaders(job: Job, {attempts, lastEventId, softwareVersion}: ForwardOptions): string[] {
		const {context: {clock, dialect, self}, routingVersion} = this.#parts;
		const length = job.body === undefined ? [] : ['Content-Length', String(job.body.length)];
		return [
			...job.headers,
			...length,
			...dialect.handOverHeaders({remainingMs: Math.floor(timeLeft(job, clock.now())), lastEventId: lastEventId ?? job.facts.lastEventId}),
			...writeForwardResolution(job),
			...writeForwardFacts({
				entryHost: self.host, routingVersion: routingVersion(), service: job.service.name, workspace: job.workspace?.name, attempts, isCallerRetry: job.isCallerRetry ? '1' : '0', softwareVersion,
			}),
		];
	}

	/** Counts a request in flight; the returned function ends it, and does nothing when called again. */
	#begin(host: string): () => void {
		this.#inFlight.set(host, (this.#inFlight.get(host) ?? 0) + 1);
		let isEnded = false;
		return () => {
			if (!isEnded) {
				isEnded = true;
				this.#inFlight.set(host, (this.#inFlight.get(host) ?? 1) - 1);
			}
		};
	}

	#poolOf(address: string): ConnectionPool {
		let pool = this.#pools.get(address);
		if (pool === undefined) {
			pool = new ConnectionPool(maxConnections, () => {
				this.#parts.context.metrics.add('forwardConnections');
			}, this.#tls);
			this.#pools.set(address, pool);
		}

		return pool;
	}
}

function readErrorCode({headers}: IncomingMessage): Code | undefined {
	const value = headers[errorCodeHeader];
	return typeof value === 'string' ? findCode(Number(value)) ?? 'answerLost' : undefined;
}

function readRetryAfterMs({headers}: IncomingMessage): number | undefined {
	const seconds = Number(headers['retry-after']);
	return Number.isFinite(seconds) ? seconds * millisecondsPerSecond : undefined;
}

function describe(result: ForwardResult): Readonly<Record<string, string | number | undefined>> {
	if (result.kind === 'unavailable') {
		return {};
	}

	return result.kind === 'answer' ? {status: result.response.statusCode} : {reason: result.code};
}
