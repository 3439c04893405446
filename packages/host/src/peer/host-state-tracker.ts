/**
 * Tracks the last logged state of each host, and how long it has been dead.
 * Efficiency: no safety property depends on which hosts are considered alive.
 */
import {type Code} from '@gatehead/schema/codes';
import {type MemberRecord, type MemberState} from '@gatehead/schema/peer-message';
import {type PeerContext} from './peer-context.js';

/** Time in milliseconds after which a dead host that is no longer listed is removed. */
const deadHostRetentionMs = 600_000;

const stateCodes: Record<MemberState, Code> = {
	alive: 'memberAlive', leaving: 'memberLeaving', suspect: 'memberSuspect', dead: 'memberDead',
};

/** Logs state changes of hosts and finds those that can be removed. */
export class HostStateTracker {
	readonly #context: Pick<PeerContext, 'clock' | 'log' | 'timeline'>;
	/** Last logged state of each host. */
	readonly #states = new Map<string, MemberState>();
	readonly #deadSince = new Map<string, number>();

	constructor(context: Pick<PeerContext, 'clock' | 'log' | 'timeline'>) {
		this.#context = context;
	}

	/** Logs a host's state if it has changed. */
	record({host, state, load}: MemberRecord): void {
		const {clock, log, timeline} = this.#context;
		const earlier = this.#states.get(host);
		if (earlier === state) {
			return;
		}

		this.#states.set(host, state);
		if (state === 'dead') {
			this.#deadSince.set(host, clock.now());
		} else {
			this.#deadSince.delete(host);
		}

		log(earlier === 'leaving' && state === 'dead' ? 'memberLeft' : stateCodes[state], {peer: host, load});
		timeline.record({kind: 'memberChanged', peer: host, detail: state});
	}

	/** Removes and returns hosts that have been dead for longer than the retention time and are not listed. */
	removeExpired(listed: ReadonlySet<string>): string[] {
		const now = this.#context.clock.now();
		const expired: string[] = [];
		for (const [host, at] of this.#deadSince) {
			if (now - at > deadHostRetentionMs && !listed.has(host)) {
				this.#deadSince.delete(host);
				this.#states.delete(host);
				expired.push(host);
			}
		}

		return expired;
	}
}
