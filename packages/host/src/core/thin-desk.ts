/** The first version's decisions: each host by itself picks the engines where it has least in work. Efficiency only. */
import {type Bundle} from '@gatehead/schema/bundle';
import {fail} from '@gatehead/schema/failure';
import {type LeaseAsk} from '@gatehead/schema/peer-message';
import {placers, type Placement} from '@gatehead/policy/baselines/placement';
import {type Random} from '@gatehead/policy/utils/random';
import {type LeaseDesk, type LeaseName} from './lease-desk.js';

const pauseMs = 1000;

function keyOf({request, attempt}: LeaseName): string {
	return `${request} ${attempt}`;
}

/** Keeps count of this host's own work and nothing else. */
export class ThinDesk implements LeaseDesk {
	readonly #bundle: () => Bundle;
	readonly #random: Random;
	readonly #placements = new Map<string, Placement>();

	constructor(bundle: () => Bundle, random: Random) {
		this.#bundle = bundle;
		this.#random = random;
	}

	async askPrefill(model: string, ask: LeaseAsk): Promise<string> {
		const views = this.#bundle().engines.filter(each => each.model === model).map(engine => ({
			engine, reported: 0, own: this.#countOwn(engine.name), isHealthy: true,
		}));
		const placement = placers.thin(views, this.#random) ?? fail('endpointsDown', {retryAfterMs: pauseMs});
		this.#placements.set(keyOf(ask), placement);
		return placement.prefill;
	}

	async askDecode(lease: LeaseName): Promise<string> {
		return this.#placements.get(keyOf(lease))?.decode ?? fail('overloaded', {retryAfterMs: pauseMs});
	}

	started(): void {
		// The thin decisions learn nothing from it
	}

	bounced(lease: LeaseName): void {
		this.#placements.delete(keyOf(lease));
	}

	release(lease: LeaseName): void {
		this.#placements.delete(keyOf(lease));
	}

	#countOwn(engine: string): number {
		let own = 0;
		for (const {prefill, decode} of this.#placements.values()) {
			own += Number(prefill === engine) + Number(decode === engine);
		}

		return own;
	}
}
