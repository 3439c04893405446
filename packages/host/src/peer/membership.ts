/**
 * Membership of one host: heartbeats with a few neighbours, suspicion before
 * death, the platform's lagging list as a roster, and notice of own late
 * wake-ups. Efficiency: nobody's promise rests on who is thought to be alive.
 */
import {Members} from '@gatehead/policy/core/members';
import {type Timer} from '@gatehead/policy/utils/clock';
import {jitter, pick} from '@gatehead/policy/utils/random';
import {type Owner} from '@gatehead/schema/engine-protocol';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type ListedHost} from '@gatehead/schema/platform-protocol';
import {makeNeighbour, Neighbourhood, type Neighbour} from './neighbourhood.js';
import {NotedHosts} from './noted-hosts.js';
import {type PeerContext} from './peer-context.js';
import {type Roster} from './roster.js';

const tickSpread = 0.1;
const loadStep = 0.25;
/** Least time between two changes of the own load, for each host of the fleet, so that all hosts' news stay within a fixed rate. */
const loadNewsMsPerHost = 100;
const leastLoadNewsMs = 2000;
/** Ticks between tries to reach a host that is thought to be gone. */
const healTicks = 3;
/** Time that a neighbour gets to answer a heartbeat before its link is given up for a new one, in milliseconds: twenty times what an answer takes. */
const linkAnswerMs = 400;
const none: ReadonlySet<string> = new Set();

/** What a heartbeat says of hosts; what else it carries is its sender's own. */
export type Heartbeat = {
	readonly isAnswer: boolean;
	readonly news: readonly MemberRecord[];
};

/** How membership speaks to other hosts. Whether a word arrives is not known. */
export type Voice = {
	heartbeat(host: string, beat: Heartbeat): void;
	/** Tells a host what is wrongly thought of it, so that it refutes that. */
	doubt(host: string, record: MemberRecord): void;
	hello(host: string): void;
	/** Closes the stream to a peer; the next message reconnects. */
	renew(host: string): void;
};

/** What membership works with. */
export type MembershipParts = {
	readonly context: PeerContext;
	readonly voice: Voice;
	/** Makes the reader of a published list of hosts, where there is one. */
	readonly makeRoster?: (onRead: (hosts: readonly ListedHost[]) => void) => Roster;
	/** Own load from 0 to 1. */
	readonly measureLoad: () => number;
	/** Called at each change of what is known of any host. */
	readonly onChange: () => void;
	/** Called when this process finds that it was paused. */
	readonly onLateWake: () => void;
};

/** The membership task. */
export class Membership {
	readonly members: Members;
	readonly #parts: MembershipParts;
	readonly #roster: Roster | undefined;
	readonly #neighbourhood = new Neighbourhood();
	readonly #noted: NotedHosts;
	readonly #suspectedAt = new Map<string, number>();
	readonly #abort = new AbortController();
	#timers: Timer[] = [];
	#tickAt = 0;
	#ticks = 0;
	#loadAt = 0;

	constructor(parts: MembershipParts, self: MemberRecord) {
		this.#parts = parts;
		this.#noted = new NotedHosts(parts.context);
		this.members = new Members(self);
		this.#roster = parts.makeRoster?.(hosts => {
			this.#takeRoster(hosts);
		});
	}

	/** Endpoints that the platform's list calls leaving. */
	get leavingEndpoints(): ReadonlySet<string> {
		return this.#roster?.leavingEndpoints ?? none;
	}

	/** Starts ticks and reads of the roster. */
	start(): void {
		this.#tickAt = this.#parts.context.clock.now();
		this.#scheduleTick();
		this.#roster?.start();
	}

	/** Stops. */
	stop(): void {
		this.#abort.abort();
		this.#roster?.stop();
		for (const timer of this.#timers) {
			timer.stop();
		}
	}

	/** Tells all that this host is leaving. */
	leave(): void {
		this.members.updateSelf({state: 'leaving'});
		this.#announce();
	}

	/** Sends what is new to all neighbours at once, as after the adoption of a bundle. */
	announceNow(): void {
		this.#announce();
	}

	/** Neighbours whose heartbeats this host awaits, and that were silent for so long. */
	listSilent(silenceMs: number): string[] {
		return this.#neighbourhood.listSilent(this.#parts.context.clock.now(), silenceMs);
	}

	/** Whether all neighbours were silent for so long: this host may be cut off from its peers alone. */
	hearsNobody(silenceMs: number): boolean {
		const {size} = this.#neighbourhood.chosen;
		return size > 0 && this.listSilent(silenceMs).length === size;
	}

	/** Takes a peer's first words. */
	hello(record: MemberRecord): void {
		this.#merge([record]);
	}

	/** Takes a peer's doubt about this host and answers it with the own record, which refutes it. */
	doubt(from: Owner, record: MemberRecord): void {
		this.members.merge(record);
		this.#parts.voice.hello(from.host);
	}

	/** Takes a heartbeat and answers it where the sender chose this host. */
	heartbeat(from: Owner, {news, isAnswer}: Heartbeat): void {
		const now = this.#parts.context.clock.now();
		this.#merge(news);
		this.#vouch(from);
		const chosen = this.#neighbourhood.chosen.get(from.host);
		if (chosen !== undefined) {
			chosen.heardAt = now;
			chosen.beatAt = isAnswer ? chosen.beatAt : now;
			return;
		}

		// Two hosts that answered each other's answers would never stop
		if (!isAnswer) {
			this.#send(from.host, this.#neighbourhood.answer(from.host, now), true);
		}
	}

	/** Takes note of a broken link; a refused connection means that the process is not there. */
	lost(host: string, isRefused: boolean): void {
		const neighbour = this.#neighbourhood.lose(host);
		if (isRefused) {
			this.#judge(host, 'dead');
			return;
		}

		this.#retry(host, neighbour);
	}

	/** One more word tells a broken link from a process that is gone; once a tick, so that a dead address costs little. */
	#retry(host: string, neighbour: Neighbour | undefined): void {
		const {clock, settings: {timing: {tickMs}}} = this.#parts.context;
		const now = clock.now();
		if (neighbour === undefined || this.#abort.signal.aborted || now - neighbour.retriedAt < tickMs) {
			return;
		}

		neighbour.retriedAt = now;
		this.#send(host, neighbour);
	}

	#scheduleTick(): void {
		const {clock, settings: {timing: {tickMs}}, random} = this.#parts.context;
		this.#after(jitter(random, tickMs, tickSpread), () => {
			this.#tick(clock.now());
			this.#scheduleTick();
		});
	}

	#after(delayMs: number, run: () => void): void {
		if (this.#abort.signal.aborted) {
			return;
		}

		const timer: Timer = this.#parts.context.clock.after(delayMs, () => {
			this.#timers = this.#timers.filter(each => each !== timer);
			run();
		});
		this.#timers.push(timer);
	}

	#tick(now: number): void {
		this.#ticks += 1;
		this.#noticePause(now);
		this.#updateLoad(now);
		this.#neighbourhood.choose(this.members.neighbours(), now);
		this.#suspect(now);
		this.#heal();
		this.#beat();
	}

	/** A process that slept knows nothing of the meantime: it may suspect nobody and must learn anew. */
	#noticePause(now: number): void {
		const {context, onLateWake} = this.#parts;
		const {tickMs, lateWakeMs} = context.settings.timing;
		const late = now - this.#tickAt - tickMs;
		this.#tickAt = now;
		if (late < lateWakeMs) {
			return;
		}

		this.#neighbourhood.hearAll(now);
		this.#suspectedAt.clear();
		this.members.updateSelf({});
		context.log('lateWake', {lateMs: Math.round(late)});
		context.counters.count('lateWakes');
		context.timeline.record({kind: 'lateWake', detail: `${Math.round(late)} ms`});
		onLateWake();
	}

	#updateLoad(now: number): void {
		const load = Math.round(this.#parts.measureLoad() / loadStep) * loadStep;
		const pauseMs = Math.max(leastLoadNewsMs, this.members.list().length * loadNewsMsPerHost);
		if (load !== this.members.self.load && now - this.#loadAt >= pauseMs) {
			this.#loadAt = now;
			this.members.updateSelf({load});
		}
	}

	#suspect(now: number): void {
		const {suspectMs} = this.#parts.context.settings.timing;
		for (const host of this.#neighbourhood.listSilent(now, suspectMs)) {
			this.#judge(host, 'suspect');
		}

		for (const [host, at] of this.#suspectedAt) {
			if (now - at > suspectMs) {
				this.#suspectedAt.delete(host);
				this.#judge(host, 'dead');
			}
		}

		this.#neighbourhood.forget(now, 2 * suspectMs);
	}

	/** Now and then one host that is thought to be gone is spoken to, so that a split heals by itself. */
	#heal(): void {
		if (this.#ticks % healTicks !== 0) {
			return;
		}

		const {random} = this.#parts.context;
		const gone = this.members.list().filter(({state}) => state === 'dead' || state === 'suspect');
		const host = pick(random, gone)?.host;
		if (host !== undefined) {
			// What silenced the link that there was may have left the host alive
			this.#parts.voice.renew(host);
			this.#send(host, makeNeighbour(0));
		}
	}

	#announce(): void {
		for (const [host, neighbour] of [...this.#neighbourhood.chosen, ...this.#neighbourhood.answered]) {
			this.#send(host, neighbour, true);
		}
	}

	/** The heartbeat proper, which the chosen neighbours answer. */
	#beat(): void {
		const {clock, settings: {timing: {tickMs}}} = this.#parts.context;
		const sentAt = clock.now();
		for (const [host, neighbour] of this.#neighbourhood.chosen) {
			this.#send(host, neighbour);
		}

		// Twice a tick: neighbours that beat by themselves may fall due at any time
		for (const waitMs of [linkAnswerMs, linkAnswerMs + (tickMs / 2)]) {
			this.#after(waitMs, () => {
				this.#renewOverdue(sentAt, sentAt + waitMs);
			});
		}
	}

	/** Open connections may die in silence, without a reset. Neighbours whose word is overdue are spoken to again over new ones, with all news since the start. */
	#renewOverdue(sentAt: number, wakeAt: number): void {
		const {context: {clock, settings: {timing: {tickMs}}}, voice} = this.#parts;
		const isLate = clock.now() - wakeAt > linkAnswerMs;
		const overdue = this.#neighbourhood.listOverdue({sentAt, dueAt: wakeAt - linkAnswerMs, beatMs: (1 + tickSpread) * tickMs});
		// Where this process is late itself, answers may wait unread
		for (const host of isLate ? [] : overdue) {
			voice.renew(host);
			const neighbour = this.#neighbourhood.lose(host);
			if (neighbour !== undefined) {
				this.#send(host, neighbour);
			}
		}
	}

	#send(host: string, neighbour: Neighbour, isAnswer = false): void {
		const news = this.members.listChangedAfter(neighbour.sent);
		neighbour.sent = this.members.sequence;
		this.#parts.voice.heartbeat(host, {isAnswer, news});
	}

	/** Whoever speaks is there: a host thought to be gone is told so and refutes it. */
	#vouch({host}: Owner): void {
		const known = this.members.recordOf(host);
		if (known !== undefined && (known.state === 'dead' || known.state === 'suspect')) {
			this.#parts.voice.doubt(host, known);
		}
	}

	#merge(news: readonly MemberRecord[]): void {
		const sequence = this.members.self.counter;
		let isChanged = false;
		for (const record of news) {
			const changed = this.members.merge(record);
			if (changed !== undefined) {
				isChanged = true;
				this.#note(changed);
			}
		}

		if (this.members.self.counter !== sequence) {
			this.#announce();
		}

		if (isChanged) {
			this.#parts.onChange();
		}
	}

	#judge(host: string, state: 'suspect' | 'dead'): void {
		const judged = this.members.markState(host, state);
		if (judged === undefined) {
			return;
		}

		if (state === 'suspect') {
			this.#suspectedAt.set(host, this.#parts.context.clock.now());
		}

		this.#note(judged);
		this.#announce();
		this.#parts.onChange();
	}

	#note(record: MemberRecord): void {
		if (record.state !== 'suspect' && record.state !== 'dead') {
			this.#suspectedAt.delete(record.host);
		}

		this.#noted.note(record);
	}

	/** Hosts that have been gone for long and that the list no longer names are forgotten, so that replaced names do not pile up. */
	#forgetGone(listed: ReadonlySet<string>): void {
		for (const host of this.#noted.forgetGone(listed)) {
			this.members.forget(host);
		}
	}

	/** Learns of hosts from the platform's list; hosts that it calls leaving or leaves out are judged by their heartbeats alone. */
	#takeRoster(hosts: readonly ListedHost[]): void {
		this.#forgetGone(new Set(hosts.map(each => each.host)));
		this.#merge(hosts.filter(({host}) => this.members.recordOf(host) === undefined).map(({host, hall, region, callerAddress, peerAddress, adminAddress}) => ({
			host, hall, region, incarnation: 0, counter: 0, state: 'alive', callerAddress, peerAddress, adminAddress, load: 0,
		})));
	}
}
