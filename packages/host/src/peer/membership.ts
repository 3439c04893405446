/**
 * Gossip-based membership: heartbeats with a few neighbours, suspicion
 * before a host is declared dead, discovery through the platform's list of
 * hosts, and detection of pauses of this process. Efficiency: no safety
 * property depends on which hosts are considered alive.
 */
import {Members} from '@gatehead/policy/core/members';
import {type Timer} from '@gatehead/policy/utils/clock';
import {jitter, pick} from '@gatehead/policy/utils/random';
import {type Owner} from '@gatehead/schema/engine-protocol';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type ListedHost} from '@gatehead/schema/platform-protocol';
import {createNeighbour, Neighbourhood, type Neighbour} from './neighbourhood.js';
import {HostStateTracker} from './host-state-tracker.js';
import {type PeerContext} from './peer-context.js';
import {type Roster} from './roster.js';

const tickJitter = 0.1;
const loadResolution = 0.25;
/** Minimum time between updates of this host's load, in milliseconds per host of the fleet: bounds the rate of updates of all hosts together. */
const loadUpdateMsPerHost = 100;
const minLoadUpdateMs = 2000;
/** Ticks between probes of a suspect or dead host. */
const probeTicks = 3;
/** Time in milliseconds after which a neighbour without an answer to a heartbeat is reconnected; about twenty times the usual answer time. */
const heartbeatTimeoutMs = 400;
const noEndpoints: ReadonlySet<string> = new Set();

/** The membership part of a heartbeat: member records that the receiver may lack. */
export type Heartbeat = {
	readonly isAnswer: boolean;
	readonly news: readonly MemberRecord[];
};

/** Sends messages to other hosts, without delivery guarantees. */
export type MembershipTransport = {
	heartbeat(host: string, beat: Heartbeat): void;
	/** Sends a host the record that says it is suspect or dead, for it to refute. */
	doubt(host: string, record: MemberRecord): void;
	hello(host: string): void;
	/** Closes the stream to a peer; the next message reconnects. */
	resetLink(host: string): void;
};

/** Dependencies of `Membership`. */
export type MembershipParts = {
	readonly context: PeerContext;
	readonly transport: MembershipTransport;
	/** Creates the reader of the platform's list of hosts; absent if there is no such list. */
	readonly createRoster?: (onRead: (hosts: readonly ListedHost[]) => void) => Roster;
	/** Load of this host, from 0 to 1. */
	readonly measureLoad: () => number;
	/** Called after a change of any member record. */
	readonly onChange: () => void;
	/** Called when a pause of this process is detected. */
	readonly onPause: () => void;
};

/** Membership protocol of one host. */
export class Membership {
	readonly members: Members;
	readonly #parts: MembershipParts;
	readonly #roster: Roster | undefined;
	readonly #neighbourhood = new Neighbourhood();
	readonly #stateTracker: HostStateTracker;
	readonly #suspectedAt = new Map<string, number>();
	readonly #abort = new AbortController();
	#timers: Timer[] = [];
	#lastTickAt = 0;
	#tickCount = 0;
	#loadUpdatedAt = 0;

	constructor(parts: MembershipParts, self: MemberRecord) {
		this.#parts = parts;
		this.#stateTracker = new HostStateTracker(parts.context);
		this.members = new Members(self);
		this.#roster = parts.createRoster?.(hosts => {
			this.#applyRoster(hosts);
		});
	}

	/** Endpoints that the platform lists as leaving. */
	get leavingEndpoints(): ReadonlySet<string> {
		return this.#roster?.leavingEndpoints ?? noEndpoints;
	}

	/** Starts the ticks and the roster. */
	start(): void {
		this.#lastTickAt = this.#parts.context.clock.now();
		this.#scheduleTick();
		this.#roster?.start();
	}

	stop(): void {
		this.#abort.abort();
		this.#roster?.stop();
		for (const timer of this.#timers) {
			timer.stop();
		}
	}

	/** Announces that this host is leaving. */
	leave(): void {
		this.members.updateSelf({state: 'leaving'});
		this.#announce();
	}

	/** Sends a heartbeat that needs no answer to all peers immediately, for example after a bundle was adopted. */
	announceNow(): void {
		this.#announce();
	}

	/** Chosen neighbours that have been silent for more than `silenceMs` milliseconds. */
	listSilent(silenceMs: number): string[] {
		return this.#neighbourhood.listSilent(this.#parts.context.clock.now(), silenceMs);
	}

	/** Whether all chosen neighbours have been silent for more than `silenceMs` milliseconds, and there is at least one: this host may be partitioned from its peers. */
	isPartitioned(silenceMs: number): boolean {
		const {size} = this.#neighbourhood.chosen;
		return size > 0 && this.listSilent(silenceMs).length === size;
	}

	/** Handles the first message of a peer. */
	handleHello(record: MemberRecord): void {
		this.#merge([record]);
	}

	/** Handles a peer's record of this host as suspect or dead, and refutes it with the local record. */
	handleDoubt(from: Owner, record: MemberRecord): void {
		this.members.merge(record);
		this.#parts.transport.hello(from.host);
	}

	/** Handles a heartbeat; answers it unless it is an answer itself or comes from a chosen neighbour. */
	handleHeartbeat(from: Owner, {news, isAnswer}: Heartbeat): void {
		const now = this.#parts.context.clock.now();
		this.#merge(news);
		this.#challengeIfGone(from);
		const chosen = this.#neighbourhood.chosen.get(from.host);
		if (chosen !== undefined) {
			chosen.lastHeardAt = now;
			chosen.lastHeartbeatAt = isAnswer ? chosen.lastHeartbeatAt : now;
			return;
		}

		// Answering an answer would loop forever
		if (!isAnswer) {
			this.#send(from.host, this.#neighbourhood.recordHeartbeat(from.host, now), true);
		}
	}

	/** Handles a broken link; a refused connection means that the peer's process is not running. */
	handleLinkLoss(host: string, isRefused: boolean): void {
		const neighbour = this.#neighbourhood.handleLinkLoss(host);
		if (isRefused) {
			this.#markState(host, 'dead');
			return;
		}

		this.#retry(host, neighbour);
	}

	/** Sends a heartbeat over a new link, at most once per tick: a refused connection then shows that the peer's process is gone. */
	#retry(host: string, neighbour: Neighbour | undefined): void {
		const {clock, settings: {timing: {tickMs}}} = this.#parts.context;
		const now = clock.now();
		if (neighbour === undefined || this.#abort.signal.aborted || now - neighbour.lastRetryAt < tickMs) {
			return;
		}

		neighbour.lastRetryAt = now;
		this.#send(host, neighbour);
	}

	#scheduleTick(): void {
		const {clock, settings: {timing: {tickMs}}, random} = this.#parts.context;
		this.#setTimer(jitter(random, tickMs, tickJitter), () => {
			this.#tick(clock.now());
			this.#scheduleTick();
		});
	}

	#setTimer(delayMs: number, run: () => void): void {
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
		this.#tickCount += 1;
		this.#detectPause(now);
		this.#updateLoad(now);
		this.#neighbourhood.choose(this.members.neighbours(), now);
		this.#updateSuspicions(now);
		this.#probeGoneHost();
		this.#sendHeartbeats();
	}

	/** Detects a pause of this process. The silence of neighbours during a pause proves nothing, so all suspicion starts over. */
	#detectPause(now: number): void {
		const {context, onPause} = this.#parts;
		const {tickMs, lateWakeMs} = context.settings.timing;
		const late = now - this.#lastTickAt - tickMs;
		this.#lastTickAt = now;
		if (late < lateWakeMs) {
			return;
		}

		this.#neighbourhood.resetSilence(now);
		this.#suspectedAt.clear();
		this.members.updateSelf({});
		context.log('lateWake', {lateMs: Math.round(late)});
		context.counters.count('lateWakes');
		context.timeline.record({kind: 'lateWake', detail: `${Math.round(late)} ms`});
		onPause();
	}

	#updateLoad(now: number): void {
		const load = Math.round(this.#parts.measureLoad() / loadResolution) * loadResolution;
		const pauseMs = Math.max(minLoadUpdateMs, this.members.list().length * loadUpdateMsPerHost);
		if (load !== this.members.self.load && now - this.#loadUpdatedAt >= pauseMs) {
			this.#loadUpdatedAt = now;
			this.members.updateSelf({load});
		}
	}

	#updateSuspicions(now: number): void {
		const {suspectMs} = this.#parts.context.settings.timing;
		for (const host of this.#neighbourhood.listSilent(now, suspectMs)) {
			this.#markState(host, 'suspect');
		}

		for (const [host, at] of this.#suspectedAt) {
			if (now - at > suspectMs) {
				this.#suspectedAt.delete(host);
				this.#markState(host, 'dead');
			}
		}

		this.#neighbourhood.removeSilent(now, 2 * suspectMs);
	}

	/** Periodically sends a heartbeat to a random suspect or dead host, so that a partition heals. */
	#probeGoneHost(): void {
		if (this.#tickCount % probeTicks !== 0) {
			return;
		}

		const {random} = this.#parts.context;
		const gone = this.members.list().filter(({state}) => state === 'dead' || state === 'suspect');
		const host = pick(random, gone)?.host;
		if (host !== undefined) {
			// The link may be dead while the host is alive
			this.#parts.transport.resetLink(host);
			this.#send(host, createNeighbour(0));
		}
	}

	#announce(): void {
		for (const [host, neighbour] of [...this.#neighbourhood.chosen, ...this.#neighbourhood.answered]) {
			this.#send(host, neighbour, true);
		}
	}

	/** Sends a heartbeat to each chosen neighbour and schedules the checks for answers. */
	#sendHeartbeats(): void {
		const {clock, settings: {timing: {tickMs}}} = this.#parts.context;
		const sentAt = clock.now();
		for (const [host, neighbour] of this.#neighbourhood.chosen) {
			this.#send(host, neighbour);
		}

		// Two checks per tick: the heartbeat of a neighbour that also chose this host may fall due at any time
		for (const waitMs of [heartbeatTimeoutMs, heartbeatTimeoutMs + (tickMs / 2)]) {
			this.#setTimer(waitMs, () => {
				this.#reconnectOverdue(sentAt, sentAt + waitMs);
			});
		}
	}

	/** Reconnects to neighbours whose heartbeat is overdue, as a connection may die without a reset, and resends all member records. */
	#reconnectOverdue(sentAt: number, wakeAt: number): void {
		const {context: {clock, settings: {timing: {tickMs}}}, transport} = this.#parts;
		const isLate = clock.now() - wakeAt > heartbeatTimeoutMs;
		const overdue = this.#neighbourhood.listOverdue({sentAt, dueAt: wakeAt - heartbeatTimeoutMs, heartbeatMs: (1 + tickJitter) * tickMs});
		// If this process is late itself, answers may be waiting unread
		for (const host of isLate ? [] : overdue) {
			transport.resetLink(host);
			const neighbour = this.#neighbourhood.handleLinkLoss(host);
			if (neighbour !== undefined) {
				this.#send(host, neighbour);
			}
		}
	}

	#send(host: string, neighbour: Neighbour, isAnswer = false): void {
		const news = this.members.listChangedAfter(neighbour.sentSequence);
		neighbour.sentSequence = this.members.sequence;
		this.#parts.transport.heartbeat(host, {isAnswer, news});
	}

	/** Tells a sender that is recorded as suspect or dead, so that it refutes the record. */
	#challengeIfGone({host}: Owner): void {
		const known = this.members.recordOf(host);
		if (known !== undefined && (known.state === 'dead' || known.state === 'suspect')) {
			this.#parts.transport.doubt(host, known);
		}
	}

	#merge(news: readonly MemberRecord[]): void {
		const sequence = this.members.self.counter;
		let isChanged = false;
		for (const record of news) {
			const changed = this.members.merge(record);
			if (changed !== undefined) {
				isChanged = true;
				this.#recordState(changed);
			}
		}

		if (this.members.self.counter !== sequence) {
			this.#announce();
		}

		if (isChanged) {
			this.#parts.onChange();
		}
	}

	#markState(host: string, state: 'suspect' | 'dead'): void {
		const updated = this.members.markState(host, state);
		if (updated === undefined) {
			return;
		}

		if (state === 'suspect') {
			this.#suspectedAt.set(host, this.#parts.context.clock.now());
		}

		this.#recordState(updated);
		this.#announce();
		this.#parts.onChange();
	}

	#recordState(record: MemberRecord): void {
		if (record.state !== 'suspect' && record.state !== 'dead') {
			this.#suspectedAt.delete(record.host);
		}

		this.#stateTracker.record(record);
	}

	/** Removes long-dead hosts that the platform no longer lists, to bound the member list. */
	#removeExpired(listed: ReadonlySet<string>): void {
		for (const host of this.#stateTracker.removeExpired(listed)) {
			this.members.forget(host);
		}
	}

	/** Adds unknown hosts from the platform's list. The state of known hosts follows from heartbeats only. */
	#applyRoster(hosts: readonly ListedHost[]): void {
		this.#removeExpired(new Set(hosts.map(each => each.host)));
		this.#merge(hosts.filter(({host}) => this.members.recordOf(host) === undefined).map(({host, hall, region, callerAddress, peerAddress, adminAddress}) => ({
			host, hall, region, incarnation: 0, counter: 0, state: 'alive', callerAddress, peerAddress, adminAddress, load: 0,
		})));
	}
}
