/** One failure test on a stage: its callers, whom the faults strike, and what has to be mended at the end. */
import {type StandinEngine} from '../engine/engine-server.js';
import {type Stage, type StagedHost} from './stage.js';
import {Caller} from './workload.js';

/** A scene. */
export class Scene {
	readonly stage: Stage;
	readonly callers: Caller[] = [];
	/** Undoes faults once the callers are done. */
	readonly mends: Array<() => Promise<void> | void> = [];
	/** A process died, was cut off or lost a request to a fault, so that a cut answer is no fault of a planned stop. */
	hasFault = false;
	/** An endpoint that is leaving: since when, and how much work has reached it. */
	leaving: {readonly since: number; readonly countWork: () => number} | undefined;
	#begun = 0;
	#names = 0;

	constructor(stage: Stage) {
		this.stage = stage;
	}

	/** The host that guards the callers' requests. */
	get owner(): StagedHost | undefined {
		return this.stage.hosts.find(each => each.name === this.callers[0]?.owner && !each.isDead);
	}

	/** A decode engine that holds a stream, or the first one. */
	get busyEngine(): StandinEngine | undefined {
		const {engines} = this.stage;
		return engines.find(each => each.decode.size > 0) ?? engines.find(each => each.prefill.listHeld().length > 0) ?? engines[2];
	}

	/** Adds one caller of each kind. */
	async addCallers(): Promise<void> {
		for (const kind of ['model', 'label'] as const) {
			this.#names += 1;
			const caller = new Caller(this.stage, kind, `${kind}${this.#names}`);
			this.callers.push(caller);
			await this.#stepWhile(caller.lookUp());
		}
	}

	/** Lets the callers that have not yet begun send; their work goes on by itself. */
	send(): void {
		for (const caller of this.callers.slice(this.#begun)) {
			void caller.carryOut();
		}

		this.#begun = this.callers.length;
	}

	/** Lets all callers send once more, beginning with their second host. */
	sendAgain(): void {
		for (const caller of this.callers) {
			void caller.carryOut(1);
		}
	}

	/** Publishes the next version with a harmless change. */
	publishNext(): void {
		const version = this.stage.published + 1;
		this.stage.publish(version, bundle => ({...bundle, rules: {...bundle.rules, attempts: 4 + (version % 3)}}));
	}

	/** Starts a planned stop of the callers' host. */
	stopOwner(): void {
		const {owner} = this;
		if (owner !== undefined) {
			void this.#stop(owner);
		}
	}

	/** Steps until the callers know their outcomes. */
	async finish(mostMs: number): Promise<boolean> {
		return this.stage.until(() => this.callers.every(({log}) => log.isDone || log.isGone), mostMs);
	}

	async #stop(owner: StagedHost): Promise<void> {
		await owner.host.stop();
		owner.isDead = true;
	}

	async #stepWhile(work: Promise<void>): Promise<void> {
		let isDone = false;
		const wait = async () => {
			await work;
			isDone = true;
		};

		void wait();
		await this.stage.until(() => isDone, 2000);
	}
}
