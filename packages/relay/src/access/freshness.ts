/**
 * Keeps the evidence that this host's configuration is the newest. A host
 * that lets requests in by their keys, or is about to refuse one for good,
 * asks a reader of the directory, which answers with the age of its own
 * evidence; where that one does not answer, the host asks the other readers
 * and the directory itself at once. Safety: evidence counts from the instant
 * of asking on this host's own clock, so that neither a slow message nor a
 * process that stood still makes it look younger than it is.
 */
import {agesFor, type EvidenceAges} from '@gatehead/policy/relay/evidence';
import {mayRefuse} from '@gatehead/policy/relay/final-refusals';
import {type RelayMessageOf} from '@gatehead/schema/relay-message';
import {isOff} from '../core/experiment.js';
import {type DirectoryWatch} from '../core/directory-watch.js';
import {type AccessParts} from './access-parts.js';
import {Questions} from './questions.js';

/** Time that a reader gets to answer, in milliseconds: fifty times the way between halls, since small hosts are busy; the bound leaves room for several. */
const answerMs = 200;
/** Pause after a round of questions in which nobody could tell, in milliseconds: a directory that is away is asked three times a second by each hall's host. */
const againMs = 300;

/** When a caller may come back that was refused because this host alone lacks evidence, in milliseconds: at once, elsewhere. */
const elsewhereMs = 50;
/** The same where other hosts lack it too, in milliseconds: the directory is away, for seconds. */
const awayMs = 2000;

type Answer = RelayMessageOf<'freshness'> & {readonly from: string};

/** What the task works with. */
export type FreshnessParts = AccessParts & {
	readonly watch: () => Pick<DirectoryWatch, 'confirm'>;
	/** Hosts to ask, in order; this one may be among them. */
	readonly listConfirmers: () => readonly string[];
};

/** One host's evidence. */
export class Freshness {
	readonly #parts: FreshnessParts;
	readonly #ages: EvidenceAges;
	readonly #questions: Questions<Answer>;
	#renewing: Promise<void> | undefined;
	#failedAt = Number.NEGATIVE_INFINITY;
	/** In the last round that brought nothing, some peer answered: others know no more either. */
	#isShared = false;
	#isLost = false;

	constructor(parts: FreshnessParts) {
		const {context: {clock, settings: {access}}} = parts;
		this.#parts = parts;
		this.#ages = agesFor(access);
		this.#questions = new Questions(clock);
	}

	/** Whether requests with keys may be let in at all now. */
	get isLost(): boolean {
		return this.#isLost;
	}

	/** Whether other hosts lack evidence too, as far as this one was told. */
	get isShared(): boolean {
		return this.#isShared;
	}

	/** When a caller may come back that is refused for want of evidence, in milliseconds. */
	get comeBackMs(): number {
		return this.#isShared ? awayMs : elsewhereMs;
	}

	/** Whether a request that arrived at an instant may be refused for good. */
	mayRefuse(arrivedAt: number): boolean {
		const {routing} = this.#parts;
		return mayRefuse({
			arrivedAt, confirmedAt: routing.confirmedAt, isBehind: routing.isBehind, mostAgeMs: this.#ages.refusalMs,
		});
	}

	/** Whether known keys may be relied on for a request that arrived at an instant. */
	isProven(arrivedAt: number): boolean {
		return this.#parts.routing.confirmedAt >= arrivedAt - this.#ages.mostMs;
	}

	/** Renews the evidence for keys where it grows old; waits for that, up to a limit, only where it has lapsed. */
	async proveKeys(arrivedAt: number, waitMs: number): Promise<void> {
		if (this.#parts.routing.confirmedAt >= arrivedAt - this.#ages.renewMs) {
			return;
		}

		const renewing = this.#renew();
		if (this.isProven(arrivedAt)) {
			return;
		}

		await this.#wait(renewing, waitMs);
		this.#note(this.isProven(arrivedAt));
	}

	/** Sees to evidence for a refusal, up to a limit; a newer configuration may come with it. */
	async proveRefusal(arrivedAt: number, waitMs: number): Promise<void> {
		if (!this.mayRefuse(arrivedAt)) {
			await this.#wait(this.#renew(), waitMs);
		}
	}

	/** Answers a peer. */
	hearWanted(from: string, {ask, routingVersion, mostAgeMs}: RelayMessageOf<'freshnessWanted'>): void {
		const {watch} = this.#parts;
		const ageMs = this.#ageMs;
		if (ageMs <= Math.min(mostAgeMs, this.#ages.refreshMs)) {
			this.#answer(from, ask, routingVersion);
			return;
		}

		const confirming = watch().confirm();
		if (ageMs <= mostAgeMs) {
			this.#answer(from, ask, routingVersion);
			return;
		}

		void confirming.then(() => {
			this.#answer(from, ask, routingVersion);
		});
	}

	/** Takes a peer's answer. */
	hear(from: string, message: RelayMessageOf<'freshness'>): void {
		this.#questions.answer(message.ask, {...message, from});
	}

	get #ageMs(): number {
		return this.#parts.context.clock.now() - this.#parts.routing.confirmedAt;
	}

	#answer(host: string, ask: number, routingVersion: number): void {
		const {routing, send} = this.#parts;
		const ageMs = this.#ageMs;
		send(host, {
			kind: 'freshness',
			ask,
			...(Number.isFinite(ageMs) && !routing.isBehind ? {ageMs: Math.max(0, ageMs)} : {}),
			...(routing.version > routingVersion && routing.table ? {routing: routing.table.routing} : {}),
		});
	}

	async #renew(): Promise<void> {
		const {clock} = this.#parts.context;
		if (clock.now() - this.#failedAt < againMs) {
			return;
		}

		this.#renewing ??= this.#askAround().finally(() => {
			this.#renewing = undefined;
		});
		return this.#renewing;
	}

	async #askAround(): Promise<void> {
		const {clock} = this.#parts.context;
		const [first, ...others] = this.#listToAsk();
		const hasFirst = await this.#ask(first);
		if (this.#isRecent(clock.now())) {
			this.#isShared = false;
			this.#note(true);
			return;
		}

		// Somebody waits: the others are asked together, since each may be as silent as the first
		const answered = await Promise.all(others.map(async host => this.#ask(host)));
		this.#isShared = hasFirst || answered.includes(true);
		if (this.#isRecent(clock.now())) {
			this.#isShared = false;
			this.#note(true);
			return;
		}

		this.#failedAt = clock.now();
	}

	/** Whether the evidence serves for what comes next, keys and refusals alike. */
	#isRecent(now: number): boolean {
		const {renewMs, refusalMs} = this.#ages;
		return this.#parts.routing.confirmedAt >= now - Math.min(renewMs, refusalMs);
	}

	/** Whether a peer answered, with whatever age; the directory's answer shows in the evidence. */
	async #ask(host: string | undefined): Promise<boolean> {
		if (host === undefined) {
			return false;
		}

		return host === this.#parts.context.self.host ? this.#askDirectory() : this.#askPeer(host);
	}

	/** Readers in the order to ask them, and this host itself at the end, which stands for the directory. */
	#listToAsk(): string[] {
		const {context, listConfirmers} = this.#parts;
		const {self} = context;
		const confirmers = isOff(context, 'peerEvidence') ? [] : listConfirmers();
		const isFirst = confirmers[0] === self.host;
		const peers = confirmers.filter(host => host !== self.host);
		return isFirst ? [self.host, ...peers, self.host] : [...peers, self.host];
	}

	async #askDirectory(): Promise<boolean> {
		await this.#parts.watch().confirm();
		return false;
	}

	/** Whether the peer answered, with whatever age. */
	async #askPeer(host: string): Promise<boolean> {
		const {context: {clock, metrics}, routing, send} = this.#parts;
		const askedAt = clock.now();
		const answer = await this.#questions.ask(answerMs, ask => {
			send(host, {
				kind: 'freshnessWanted', ask, routingVersion: routing.version, mostAgeMs: this.#ages.givenMs,
			});
		});
		metrics.add('evidenceAsked', {outcome: answer === undefined ? 'silent' : 'answered'});
		if (answer === undefined) {
			// It is no neighbour whose heartbeats would show that the link is dead
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

	async #wait(renewing: Promise<void>, waitMs: number): Promise<void> {
		const {clock} = this.#parts.context;
		await new Promise<void>(resolve => {
			const timer = clock.after(waitMs, resolve);
			void renewing.then(() => {
				timer.stop();
				resolve();
			});
		});
	}

	#note(isProven: boolean): void {
		if (isProven !== this.#isLost) {
			return;
		}

		this.#isLost = !isProven;
		const {context: {log}, routing} = this.#parts;
		log(isProven ? 'keysConfirmed' : 'keysOutdatedSince', {version: routing.version, ageMs: Math.round(this.#ageMs), peersKnow: this.#isShared});
	}
}
