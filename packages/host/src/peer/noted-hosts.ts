/**
 * What was last noted of each host: its state as told to operators, and since
 * when it is dead, so that it is forgotten one day. Efficiency: nobody's
 * promise rests on who is thought to be alive.
 */
import {type Code} from '@gatehead/schema/codes';
import {type MemberRecord, type MemberState} from '@gatehead/schema/peer-message';
import {type PeerContext} from './peer-context.js';

/** Time after which a dead host that the list no longer names is forgotten. */
const forgetMs = 600_000;

const stateCodes: Record<MemberState, Code> = {
	alive: 'memberAlive', leaving: 'memberLeaving', suspect: 'memberSuspect', dead: 'memberDead',
};

/** The hosts that were noted. */
export class NotedHosts {
	readonly #context: Pick<PeerContext, 'clock' | 'log' | 'timeline'>;
	/** State of each host as last told to operators. */
	readonly #states = new Map<string, MemberState>();
	readonly #deadSince = new Map<string, number>();

	constructor(context: Pick<PeerContext, 'clock' | 'log' | 'timeline'>) {
		this.#context = context;
	}

	/** Tells operators of a host whose state has changed. */
	note({host, state, load}: MemberRecord): void {
		const {clock, log, timeline} = this.#context;
		if (this.#states.get(host) === state) {
			return;
		}

		this.#states.set(host, state);
		if (state === 'dead') {
			this.#deadSince.set(host, clock.now());
		} else {
			this.#deadSince.delete(host);
		}

		log(stateCodes[state], {peer: host, load});
		timeline.record({kind: 'memberChanged', peer: host, detail: state});
	}

	/** Forgets hosts that have been dead for long and that the list no longer names; returns them. */
	forgetGone(listed: ReadonlySet<string>): string[] {
		const now = this.#context.clock.now();
		const gone: string[] = [];
		for (const [host, at] of this.#deadSince) {
			if (now - at > forgetMs && !listed.has(host)) {
				this.#deadSince.delete(host);
				this.#states.delete(host);
				gone.push(host);
			}
		}

		return gone;
	}
}
