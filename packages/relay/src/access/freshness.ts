/**
 * Tracks when this host's configuration was last confirmed to be the newest. A
 * host that accepts keys, or is about to send a final refusal, asks a host
 * that reads the directory, which replies with the age of its own
 * confirmation; if that host does not reply, the others and the directory are
 * asked in parallel. Safety: a confirmation counts from the time of the query
 * by this host's own clock, so neither a delayed message nor a suspended
 * process makes it look more recent than it is.
 */
import {computeAges, type EvidenceAges} from '@gatehead/policy/relay/evidence';
import {mayRefuse} from '@gatehead/policy/relay/final-refusals';
import {type RelayMessageOf} from '@gatehead/schema/relay-message';
import {isOff} from '../core/experiment.js';
import {type DirectoryWatch} from '../core/directory-watch.js';
import {type AccessParts} from './access-parts.js';
import {PeerRequests} from './peer-requests.js';

/** Timeout of a query to another host, in milliseconds; allows for busy hosts, and is short enough for several queries within the revocation bound. */
const responseTimeoutMs = 200;
/** Pause after a round of queries that confirmed nothing, in milliseconds; limits the load on a directory that is recovering. */
const retryDelayMs = 300;

/** `Retry-After` if only this host lacks a confirmation, in milliseconds: another host can serve the retry at once. */
const retryElsewhereMs = 50;
/** `Retry-After` if other hosts lack a confirmation too, in milliseconds: the directory is down, typically for seconds. */
const retryLaterMs = 2000;

type FreshnessReply = RelayMessageOf<'freshness'> & {readonly from: string};

export type FreshnessParts = AccessParts & {
	readonly watch: () => Pick<DirectoryWatch, 'confirm'>;
	/** Hosts to query, in order of preference; may include this one. */
	readonly listConfirmers: () => readonly string[];
};

/** Freshness of this host's configuration. */
export class Freshness {
	readonly #parts: FreshnessParts;
	readonly #ages: EvidenceAges;
	readonly #requests: PeerRequests<FreshnessReply>;
	#refreshing: Promise<void> | undefined;
	#failedAt = Number.NEGATIVE_INFINITY;
	/** Whether a peer replied in the last round that confirmed nothing, so that other hosts lack a confirmation too. */
	#hasStalePeers = false;
	#isUnconfirmed = false;

	constructor(parts: FreshnessParts) {
		const {context: {clock, settings: {access}}} = parts;
		this.#parts = parts;
		this.#ages = computeAges(access);
		this.#requests = new PeerRequests(clock);
	}

	/** Whether the confirmation is too old to accept requests with keys, as last checked. */
	get isUnconfirmed(): boolean {
		return this.#isUnconfirmed;
	}

	/** Whether other hosts, as far as known, lack a confirmation too. */
	get hasStalePeers(): boolean {
		return this.#hasStalePeers;
	}

	/** `Retry-After` for requests refused for lack of a confirmation, in milliseconds. */
	get retryAfterMs(): number {
		return this.#hasStalePeers ? retryLaterMs : retryElsewhereMs;
	}

	/** Whether a request that arrived at the given time may get a final refusal. */
	mayRefuse(arrivedAt: number): boolean {
		const {routing} = this.#parts;
		return mayRefuse({
			arrivedAt, confirmedAt: routing.confirmedAt, isBehind: routing.isBehind, maxAgeMs: this.#ages.refusalMs,
		});
	}

	/** Whether the key list is recent enough for a request that arrived at the given time. */
	isConfirmed(arrivedAt: number): boolean {
		return this.#parts.routing.confirmedAt >= arrivedAt - this.#ages.maxMs;
	}

	/** Refreshes an aging confirmation in the background; waits for the refresh, up to `waitMs`, only if the confirmation has expired. */
	async refreshForKeys(arrivedAt: number, waitMs: number): Promise<void> {
		if (this.#parts.routing.confirmedAt >= arrivedAt - this.#ages.renewMs) {
			return;
		}

		const refreshing = this.#refresh();
		if (this.isConfirmed(arrivedAt)) {
			return;
		}

		await this.#wait(refreshing, waitMs);
		this.#recordState(this.isConfirmed(arrivedAt));
	}

	/** Refreshes the confirmation for a final refusal, waiting up to `waitMs`; may bring a newer configuration. */
	async refreshForRefusal(arrivedAt: number, waitMs: number): Promise<void> {
		if (!this.mayRefuse(arrivedAt)) {
			await this.#wait(this.#refresh(), waitMs);
		}
	}

	/** Replies to a host that asks for a confirmation. */
	handleRequest(from: string, {ask, routingVersion, mostAgeMs}: RelayMessageOf<'freshnessWanted'>): void {
		const {watch} = this.#parts;
		const ageMs = this.#ageMs;
		if (ageMs <= Math.min(mostAgeMs, this.#ages.refreshMs)) {
			this.#respond(from, ask, routingVersion);
			return;
		}

		const confirming = watch().confirm();
		if (ageMs <= mostAgeMs) {
			this.#respond(from, ask, routingVersion);
			return;
		}

		void confirming.then(() => {
			this.#respond(from, ask, routingVersion);
		});
	}

	/** Handles the reply to a query. */
	handleReply(from: string, message: RelayMessageOf<'freshness'>): void {
		this.#requests.settle(message.ask, {...message, from});
	}

	get #ageMs(): number {
		return this.#parts.context.clock.now() - this.#parts.routing.confirmedAt;
	}

	#respond(host: string, ask: number, routingVersion: number): void {
		const {routing, send} = this.#parts;
		const ageMs = this.#ageMs;
		send(host, {
			kind: 'freshness',
			ask,
			...(Number.isFinite(ageMs) && !routing.isBehind ? {ageMs: Math.max(0, ageMs)} : {}),
			...(routing.version > routingVersion && routing.table ? {routing: routing.table.routing} : {}),
		});
	}

	async #refresh(): Promise<void> {
		const {clock} = this.#parts.context;
		if (clock.now() - this.#failedAt < retryDelayMs) {
			return;
		}

		this.#refreshing ??= this.#queryHosts().finally(() => {
			this.#refreshing = undefined;
		});
		return this.#refreshing;
	}

	async #queryHosts(): Promise<void> {
		const {clock} = this.#parts.context;
		const [first, ...others] = this.#listTargets();
		const hasFirstAnswered = await this.#query(first);
		if (this.#isRecent(clock.now())) {
			this.#hasStalePeers = false;
			this.#recordState(true);
			return;
		}

		// Requests are waiting, and the others may be unresponsive too, so they are queried in parallel
		const answered = await Promise.all(others.map(async host => this.#query(host)));
		this.#hasStalePeers = hasFirstAnswered || answered.includes(true);
		if (this.#isRecent(clock.now())) {
			this.#hasStalePeers = false;
			this.#recordState(true);
			return;
		}

		this.#failedAt = clock.now();
	}

	/** Whether the confirmation is recent enough both for keys and for final refusals. */
	#isRecent(now: number): boolean {
		const {renewMs, refusalMs} = this.#ages;
		return this.#parts.routing.confirmedAt >= now - Math.min(renewMs, refusalMs);
	}

	/** Whether a peer replied, with a confirmation of any age; false for the directory, whose reply updates `confirmedAt`. */
	async #query(host: string | undefined): Promise<boolean> {
		if (host === undefined) {
			return false;
		}

		return host === this.#parts.context.self.host ? this.#queryDirectory() : this.#queryPeer(host);
	}

	/** Hosts in the order to query them, ending with this host, which stands for the directory. */
	#listTargets(): string[] {
		const {context, listConfirmers} = this.#parts;
		const {self} = context;
		const confirmers = isOff(context, 'peerEvidence') ? [] : listConfirmers();
		const isFirst = confirmers[0] === self.host;
		const peers = confirmers.filter(host => host !== self.host);
		return isFirst ? [self.host, ...peers, self.host] : [...peers, self.host];
	}

	async #queryDirectory(): Promise<boolean> {
		await this.#parts.watch().confirm();
		return false;
	}

	/** Whether the peer replied, with a confirmation of any age. */
	async #queryPeer(host: string): Promise<boolean> {
		const {context: {clock, metrics}, routing, send} = this.#parts;
		const askedAt = clock.now();
		const answer = await this.#requests.send(responseTimeoutMs, ask => {
			send(host, {
				kind: 'freshnessWanted', ask, routingVersion: routing.version, mostAgeMs: this.#ages.peerAnswerMs,
			});
		});
		metrics.add('evidenceAsked', {outcome: answer === undefined ? 'silent' : 'answered'});
		if (answer === undefined) {
			// No heartbeats are exchanged with this host, so only the timeout reveals a broken link
			this.#parts.renew(host);
			return false;
		}

		if (answer.routing !== undefined) {
			routing.offer(answer.routing, host);
		}

		if (answer.ageMs !== undefined) {
			routing.confirm(askedAt - answer.ageMs);
		}

		return true;
	}

	async #wait(refreshing: Promise<void>, waitMs: number): Promise<void> {
		const {clock} = this.#parts.context;
		await new Promise<void>(resolve => {
			const timer = clock.after(waitMs, resolve);
			void refreshing.then(() => {
				timer.stop();
				resolve();
			});
		});
	}

	#recordState(isConfirmed: boolean): void {
		if (isConfirmed !== this.#isUnconfirmed) {
			return;
		}

		this.#isUnconfirmed = !isConfirmed;
		const {context: {log}, routing} = this.#parts;
		log(isConfirmed ? 'keysConfirmed' : 'keysOutdatedSince', {version: routing.version, ageMs: Math.round(this.#ageMs), peersKnow: this.#hasStalePeers});
	}
}
