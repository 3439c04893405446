/**
 * Traces that runs left in the memory of engines, as hosts read them after
 * their start: kept here and at a few hosts that a trace's key determines, and
 * found again at any host. Safety: a host that replies includes all traces that
 * it has under a key, so that engines which contradict each other show.
 */
import {RunTraces, type RunTrace} from '@gatehead/policy/relay/run-traces';
import {type StreamOrigin} from '@gatehead/policy/relay/stream-records';
import {type Timer} from '@gatehead/policy/utils/clock';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type RelayMessage, type RelayMessageOf} from '@gatehead/schema/relay-message';
import {PeerRequests} from '../access/peer-requests.js';
import {type RelayContext} from '../core/context.js';
import {type RunSurvey} from '../upstream/run-survey.js';
import {RecordHolders} from './record-holders.js';

/** Maximum keys at one host. */
const maxKeys = 100_000;
/** Maximum services and versions of engines that have not answered, in one message. */
const maxUnheard = 100;
/** Maximum traces in one message. */
const maxBatch = 1000;
/** Timeout of a question, in milliseconds: hosts that have just started reply once they have asked their engines. */
const questionTimeoutMs = 500;
const sweepIntervalMs = 5000;

type Reply = RelayMessageOf<'tracesFound'>;
type SentTrace = Reply['traces'][number];

/** The traces of some keys. */
export type TraceFinding = {
	readonly traces: readonly RunTrace[];
	/** Whether no host will learn more of these keys: all that asked engines have replied, or the time in which they do is over. */
	readonly isComplete: boolean;
	/** Services and versions of which more may be learned; undefined: of any. */
	readonly unheard: readonly StreamOrigin[] | undefined;
};

export type TraceRegistryParts = {
	readonly context: Pick<RelayContext, 'clock' | 'log' | 'metrics' | 'self'>;
	readonly send: (host: string, message: RelayMessage) => void;
	/** Asks engines after the start of this host. */
	readonly survey: () => Pick<RunSurvey, 'whenComplete' | 'isOver' | 'listUnheard'>;
};

/** Registry of one host. */
export class TraceRegistry {
	readonly #parts: TraceRegistryParts;
	readonly #traces = new RunTraces(maxKeys);
	readonly #holders: RecordHolders;
	readonly #questions: PeerRequests<Reply>;
	#sweepTimer: Timer | undefined;

	constructor(parts: TraceRegistryParts) {
		const {clock, self} = parts.context;
		this.#parts = parts;
		this.#questions = new PeerRequests(clock, {extendsLateTimeouts: true});
		this.#holders = new RecordHolders({
			clock, self: self.host, resend: (host, keys) => {
				const now = clock.now();
				this.#send(host, keys.flatMap(key => this.#traces.get(key, now)));
			},
		});
	}

	/** Number of keys held here. */
	get size(): number {
		return this.#traces.size;
	}

	/** Starts the periodic removal of expired traces. */
	start(): void {
		const {clock} = this.#parts.context;
		this.#sweepTimer = clock.after(sweepIntervalMs, () => {
			this.#traces.sweep(clock.now());
			this.#holders.sweep(clock.now());
			this.start();
		});
	}

	/** Stops all timers. */
	close(): void {
		this.#holders.close();
		this.#sweepTimer?.stop();
	}

	/** Replaces the member list. */
	setMembers(members: readonly MemberRecord[]): void {
		this.#holders.setMembers(members);
	}

	/** Keeps traces that this host has read from an engine, here and at their holders. Those get all traces of a key: they may have become holders since an earlier one. */
	record(traces: readonly RunTrace[]): void {
		const {clock} = this.#parts.context;
		const byHost = new Map<string, RunTrace[]>();
		for (const trace of traces) {
			if (!this.#hold(trace)) {
				continue;
			}

			const known = this.#traces.get(trace.key, clock.now());
			for (const host of this.#holders.add(trace.key, trace.expiresAt)) {
				const sent = byHost.get(host) ?? [];
				sent.push(...known);
				byHost.set(host, sent);
			}
		}

		for (const [host, sent] of byHost) {
			this.#send(host, sent);
		}
	}

	/** Finds the traces of some keys, here and at other hosts. */
	async find(keys: string[]): Promise<TraceFinding> {
		const {context: {clock}, send} = this.#parts;
		const survey = this.#parts.survey();
		const hosts = new Set(keys.flatMap(key => this.#holders.listFirst(key)));
		const [isSurveyed, ...replies] = await Promise.all([survey.whenComplete(), ...[...hosts].map(async host => this.#questions.send(questionTimeoutMs, ask => {
			send(host, {kind: 'tracesWanted', ask, keys});
		}))]);
		const now = clock.now();
		const received = replies.flatMap(reply => (reply?.traces ?? []).map(trace => toTrace(trace, now)));
		// Holders have been sent what hosts learn, but cannot tell who will learn more
		const hasAskedAll = survey.isOver || this.#holders.listOthers(hosts).every(({isSurveying}) => isSurveying !== true);
		const isComplete = isSurveyed && hasAskedAll && replies.every(reply => reply?.isComplete === true);
		return {
			traces: [...this.#listOwn(keys), ...received],
			isComplete,
			unheard: isComplete ? [] : combineUnheard(hasAskedAll ? [isSurveyed ? [] : survey.listUnheard(), ...replies.map(reply => reply?.isComplete === true ? [] : reply?.unheard)] : [undefined]),
		};
	}

	/** Holds the traces of another host. */
	receiveTraces({traces}: RelayMessageOf<'runTraces'>): void {
		const now = this.#parts.context.clock.now();
		for (const trace of traces) {
			this.#hold(toTrace(trace, now));
		}
	}

	/** Answers a question of another host, once this host has asked its engines. */
	async receiveQuestion(from: string, {ask, keys}: RelayMessageOf<'tracesWanted'>): Promise<void> {
		const survey = this.#parts.survey();
		const isComplete = await survey.whenComplete();
		const now = this.#parts.context.clock.now();
		this.#parts.send(from, {
			kind: 'tracesFound', ask, isComplete, unheard: limitUnheard(survey.listUnheard()), traces: this.#listOwn(keys).map(trace => toMessage(trace, now)),
		});
	}

	/** Handles the response to a question. */
	receiveFound(message: Reply): void {
		this.#questions.settle(message.ask, message);
	}

	#listOwn(keys: readonly string[]): RunTrace[] {
		const now = this.#parts.context.clock.now();
		return keys.flatMap(key => this.#traces.get(key, now));
	}

	#hold(trace: RunTrace): boolean {
		const isHeld = this.#traces.add(trace);
		if (!isHeld) {
			this.#parts.context.metrics.add('runTracesDropped');
		}

		return isHeld;
	}

	#send(host: string, traces: readonly RunTrace[]): void {
		const {context: {clock}, send} = this.#parts;
		const now = clock.now();
		for (let start = 0; start < traces.length; start += maxBatch) {
			send(host, {kind: 'runTraces', traces: traces.slice(start, start + maxBatch).map(trace => toMessage(trace, now))});
		}
	}
}

/** What fits into a message; undefined, which is any, if there is more. */
function limitUnheard(unheard: StreamOrigin[] | undefined): StreamOrigin[] | undefined {
	return unheard !== undefined && unheard.length > maxUnheard ? undefined : unheard;
}

/** What several hosts have not heard; undefined if one of them cannot tell. */
function combineUnheard(lists: ReadonlyArray<readonly StreamOrigin[] | undefined>): StreamOrigin[] | undefined {
	const told = lists.filter(list => list !== undefined);
	return told.length < lists.length ? undefined : told.flat();
}

function toMessage({expiresAt, ...trace}: RunTrace, now: number): SentTrace {
	return {...trace, leftMs: Math.max(0, expiresAt - now)};
}

function toTrace({leftMs, ...trace}: SentTrace, now: number): RunTrace {
	return {...trace, expiresAt: now + leftMs};
}
