/**
 * Records the software version at which streams begin, at this host and at a
 * few others that a stream's key determines, and finds it again at any host.
 * Nothing is written anywhere else, so a record is lost with the last of its
 * holders. Safety: a record is exact, as it is made from the endpoint that sent
 * the first event; whether there is none is only known from hosts that reply.
 */
import {StreamRecords, type StreamOrigin, type StreamRecord} from '@gatehead/policy/relay/stream-records';
import {type VersionHistory, type VersionView} from '@gatehead/policy/relay/version-history';
import {type Timer} from '@gatehead/policy/utils/clock';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type RelayMessage, type RelayMessageOf} from '@gatehead/schema/relay-message';
import {PeerRequests} from '../access/peer-requests.js';
import {type RelayContext} from '../core/context.js';
import {RecordHolders} from './record-holders.js';

/** Holders that acknowledge a record; the first acknowledgement is enough. */
const acknowledgingCount = 2;
/** Timeout of an acknowledgement, in milliseconds: many times the latency between halls, and little compared with the time to a stream's first event. */
const recordTimeoutMs = 50;
/** Timeouts of the two rounds of questions, in milliseconds; links to hosts of other subsets may have to be opened. */
const roundTimeoutsMs = [150, 250] as const;
/** Maximum records at one host; bounds the memory that callers can fill. */
const maxRecords = 100_000;
/** Maximum records in one message. */
const maxBatch = 1000;
const sweepIntervalMs = 5000;

type Reply = RelayMessageOf<'streamFound'>;
type KeyedRecord = RelayMessageOf<'streamRecords'>['records'][number];

/** What is known about a stream. */
export type StreamFinding = {
	readonly record: StreamRecord | undefined;
	/** Host that had the record. */
	readonly source: string | undefined;
	/** Versions that the hosts which replied have seen. */
	readonly views: readonly VersionView[];
	/** Hosts asked, and those that did not reply in time, were lost within the time looked back, or were found during the search: a host that is cut off keeps its records. */
	readonly asked: number;
	readonly silent: number;
};

/** A question about a stream. */
export type StreamQuestion = {
	/** Undefined: only the versions are asked for. */
	readonly key: string | undefined;
	readonly service: string;
	/** Time to look back for versions, in milliseconds. */
	readonly windowMs: number;
};

export type StreamRegistryParts = {
	readonly context: Pick<RelayContext, 'clock' | 'log' | 'metrics' | 'self'>;
	readonly versions: VersionHistory;
	readonly send: (host: string, message: RelayMessage) => void;
};

/** Registry of one host. */
export class StreamRegistry {
	readonly #parts: StreamRegistryParts;
	readonly #records = new StreamRecords(maxRecords);
	readonly #holders: RecordHolders;
	readonly #acknowledgements: PeerRequests<true>;
	readonly #questions: PeerRequests<Reply>;
	/** Hosts that are not lost; replaced with each change. */
	#present: ReadonlySet<string> = new Set();
	/** When hosts were lost that have neither returned nor restarted since. */
	readonly #lostAt = new Map<string, number>();
	#sweepTimer: Timer | undefined;

	constructor(parts: StreamRegistryParts) {
		const {clock, self} = parts.context;
		this.#parts = parts;
		this.#holders = new RecordHolders({
			clock, self: self.host, resend: (host, keys) => {
				this.#resend(host, keys);
			},
		});
		this.#acknowledgements = new PeerRequests(clock);
		this.#questions = new PeerRequests(clock, {extendsLateTimeouts: true});
	}

	/** Number of records held here. */
	get size(): number {
		return this.#records.size;
	}

	/** Starts the periodic removal of expired records. */
	start(): void {
		const {clock} = this.#parts.context;
		this.#sweepTimer = clock.after(sweepIntervalMs, () => {
			this.#sweep();
			this.start();
		});
	}

	/** Stops all timers. */
	close(): void {
		this.#holders.close();
		this.#sweepTimer?.stop();
	}

	/** Replaces the member list. Records of this host are sent to hosts that have become holders since. */
	setMembers(members: readonly MemberRecord[]): void {
		this.#holders.setMembers(members);
		this.#present = new Set(members.filter(({state}) => state !== 'dead').map(({host}) => host));
		for (const {host, state} of members) {
			if (state !== 'dead') {
				this.#lostAt.delete(host);
			} else if (!this.#lostAt.has(host)) {
				this.#lostAt.set(host, this.#parts.context.clock.now());
			}
		}
	}

	/** Records where a stream began, to be kept for `lifeMs` milliseconds; resolves once another host holds the record, or none does in time. */
	async record(key: string, origin: StreamOrigin, lifeMs: number): Promise<void> {
		const {context: {clock, metrics}, send} = this.#parts;
		const startedAt = clock.now();
		const record: StreamRecord = {...origin, expiresAt: startedAt + lifeMs, isAmbiguous: false};
		this.#hold(key, record);
		const holders = this.#holders.add(key, record.expiresAt);
		if (holders.length === 0) {
			metrics.add('streamRecords', {outcome: 'alone'});
			return;
		}

		const acknowledgements = holders.map(async (host, index) => {
			const message: RelayMessageOf<'streamRecords'> = {kind: 'streamRecords', records: [this.#toMessage(key, record)]};
			if (index >= acknowledgingCount) {
				send(host, message);
				return undefined;
			}

			return this.#acknowledgements.send(recordTimeoutMs, ask => {
				send(host, {...message, ask});
			});
		});
		const isHeld = await findFirst(acknowledgements, acknowledged => acknowledged === true);
		metrics.add('streamRecords', {outcome: isHeld === undefined ? 'unacknowledged' : 'held'});
		metrics.time('streamRecord', clock.now() - startedAt);
	}

	/** Finds where a stream began: here, at its holders, then at other hosts. Resolves as soon as one has a record. */
	async find(question: StreamQuestion): Promise<StreamFinding> {
		const {context: {clock, self}} = this.#parts;
		const known = question.key === undefined ? undefined : this.#records.get(question.key, clock.now());
		if (known !== undefined) {
			return {
				record: known, source: self.host, views: [], asked: 0, silent: 0,
			};
		}

		const replies: Reply[] = [];
		const presentBefore = this.#present;
		let asked = 0;
		for (const [round, hosts] of this.#holders.listRounds(question.key ?? question.service).entries()) {
			asked += hosts.length;
			const found = await this.#askHosts(hosts, question, roundTimeoutsMs[round] ?? 0, replies);
			if (found !== undefined) {
				return {...found, asked, silent: 0};
			}
		}

		// Hosts that have returned or joined since the start of the search were not asked
		const unasked = [...this.#present].filter(host => !presentBefore.has(host)).length;
		return {
			record: undefined, source: undefined, views: replies, asked, silent: asked - replies.length + this.#countLost(question.windowMs) + unasked,
		};
	}

	/** Finds a record here or at its first holders, without a search through all hosts; undefined if none of them has one in time. */
	async findAtHolders(question: StreamQuestion & {readonly key: string}): Promise<StreamRecord | undefined> {
		const known = this.#records.get(question.key, this.#parts.context.clock.now());
		if (known !== undefined) {
			return known;
		}

		const [holders] = this.#holders.listRounds(question.key);
		const found = await this.#askHosts(holders, question, roundTimeoutsMs[0], []);
		return found?.record;
	}

	/** Holds the records of another host. */
	receiveRecords(from: string, {ask, records}: RelayMessageOf<'streamRecords'>): void {
		const {context: {clock}, send} = this.#parts;
		for (const {key, leftMs, ...record} of records) {
			this.#hold(key, {...record, expiresAt: clock.now() + leftMs});
		}

		if (ask !== undefined) {
			send(from, {kind: 'streamRecordsHeld', ask});
		}
	}

	/** Handles the acknowledgement of a record. */
	receiveHeld({ask}: RelayMessageOf<'streamRecordsHeld'>): void {
		this.#acknowledgements.settle(ask, true);
	}

	/** Answers a question of another host. */
	receiveQuestion(from: string, {ask, key, service, windowMs}: RelayMessageOf<'streamWanted'>): void {
		const {context: {clock}, versions, send} = this.#parts;
		const now = clock.now();
		const record = key === undefined ? undefined : this.#records.get(key, now);
		const {versions: seen, coverageMs} = versions.view(service, windowMs, now);
		send(from, {
			kind: 'streamFound', ask, versions: [...seen], coverageMs, ...(record === undefined ? {} : {record: toRecordMessage(record, now)}),
		});
	}

	/** Handles the response to a question. */
	receiveFound(message: Reply): void {
		this.#questions.settle(message.ask, message);
	}

	/** Asks hosts at once; adds their replies to `replies`. Resolves with the first record, or once all have replied or are silent. */
	async #askHosts(hosts: readonly string[], question: StreamQuestion, timeoutMs: number, replies: Reply[]): Promise<Pick<StreamFinding, 'record' | 'source' | 'views'> | undefined> {
		const {context: {clock}, send} = this.#parts;
		const answers = hosts.map(async host => {
			const reply = await this.#questions.send(timeoutMs, ask => {
				send(host, {kind: 'streamWanted', ask, ...question});
			});
			if (reply === undefined) {
				return undefined;
			}

			replies.push(reply);
			return {host, reply};
		});
		const found = await findFirst(answers, answer => answer?.reply.record !== undefined);
		if (found?.reply.record === undefined) {
			return undefined;
		}

		const {leftMs, ...record} = found.reply.record;
		return {record: {...record, expiresAt: clock.now() + leftMs}, source: found.host, views: []};
	}

	/** Number of hosts that were lost in the last `windowMs` milliseconds. */
	#countLost(windowMs: number): number {
		const now = this.#parts.context.clock.now();
		return [...this.#lostAt.values()].filter(at => now - at < windowMs).length;
	}

	#hold(key: string, record: StreamRecord): void {
		const {context: {clock, log, metrics}} = this.#parts;
		const removed = this.#records.set(key, record, clock.now());
		if (removed > 0) {
			metrics.add('streamRecordsDropped', {}, removed);
			log('streamRecordsFull', {records: this.#records.size});
		}
	}

	/** Sends records that this host made to a host that has become their holder. */
	#resend(host: string, keys: readonly string[]): void {
		const {context: {clock}, send} = this.#parts;
		const now = clock.now();
		const records = keys.flatMap(key => {
			const record = this.#records.get(key, now);
			return record === undefined ? [] : [this.#toMessage(key, record)];
		});
		for (let start = 0; start < records.length; start += maxBatch) {
			send(host, {kind: 'streamRecords', records: records.slice(start, start + maxBatch)});
		}
	}

	#sweep(): void {
		const now = this.#parts.context.clock.now();
		this.#records.sweep(now);
		this.#holders.sweep(now);
	}

	#toMessage(key: string, record: StreamRecord): KeyedRecord {
		return {key, ...toRecordMessage(record, this.#parts.context.clock.now())};
	}
}

function toRecordMessage({expiresAt, ...record}: StreamRecord, now: number) {
	return {...record, leftMs: Math.max(0, expiresAt - now)};
}

/** Resolves with the first result that fits, or with undefined once all are there. */
async function findFirst<Result>(results: ReadonlyArray<Promise<Result>>, fits: (result: Result) => boolean): Promise<Result | undefined> {
	return new Promise((resolve, reject) => {
		let open = results.length;
		const settle = (result: Result) => {
			open -= 1;
			if (fits(result)) {
				resolve(result);
			} else if (open === 0) {
				resolve(undefined);
			}
		};

		for (const each of results) {
			each.then(settle, reject);
		}

		if (open === 0) {
			resolve(undefined);
		}
	});
}
