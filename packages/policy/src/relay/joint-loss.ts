/**
 * Tells an outage of the directory that this host did not notice from single
 * departures: in one, the entries of most of a service lapse together.
 * Safety: entries that are taken back for it are kept for a short grace alone.
 */
import {type Position} from '@gatehead/schema/position';
import {type Endpoint} from '@gatehead/schema/routing';

/** How long entries are kept that vanish together while the directory seems to answer, in milliseconds. An outage that nobody noticed brings its entries back within the grace behind a return; a real departure of many must be believed before new work to leaving endpoints counts as a fault, two seconds after it, with two sweeps to spare. */
export const massGraceMs = 1500;
/** Share of a service's entries that must vanish within one grace to be read as an outage that this host did not notice: planned work takes fewer at once. */
const massShare = 0.5;
/** Least number of such entries: of two, one may leave and one be lost by chance. */
const massCount = 3;

/** An entry that was removed. */
export type Loss = {
	readonly at: number;
	readonly position: Position;
	readonly endpoint: Endpoint;
};

/** Entries removed lately. */
export class JointLoss {
	readonly #windowMs: number;
	#lost: Loss[] = [];

	/** Losses within `windowMs` of each other count as joint. */
	constructor(windowMs: number) {
		this.#windowMs = windowMs;
	}

	/** Notes a loss; returns all that belong to an outage, given how many endpoints of the service are left. */
	add(loss: Loss, countLeft: () => number): readonly Loss[] {
		const {at, endpoint: {service}} = loss;
		this.#lost = [...this.#lost, loss].filter(each => at - each.at <= this.#windowMs);
		const joint = this.#lost.filter(({endpoint}) => endpoint.service === service);
		if (joint.length < massCount || joint.length < massShare * (joint.length + countLeft())) {
			return [];
		}

		this.#lost = this.#lost.filter(({endpoint}) => endpoint.service !== service);
		return joint;
	}
}
