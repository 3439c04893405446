/**
 * Replicas that took an order to change their part and have not published the
 * new one yet: they count as changed, so that one change is not ordered twice.
 * Efficiency: an order that came to nothing is forgotten after a while.
 */
import {type Endpoint} from '@gatehead/schema/routing';
import {type StageChange} from './stage-split.js';

/** Longest time until a replica that took an order publishes its new part, in milliseconds: its streams end first, the longest after ten seconds, and the change takes six. */
const mostChangeMs = 20_000;

type Order = {
	readonly stage: StageChange['stage'];
	readonly at: number;
};

/** The orders of one host. */
export class OrdersUnderWay {
	readonly #orders = new Map<string, Order>();

	/** Notes an order that goes out. */
	begin(endpoint: string, stage: StageChange['stage'], now: number): void {
		this.#orders.set(endpoint, {stage, at: now});
	}

	/** Notes that an order was not taken. */
	fail(endpoint: string): void {
		this.#orders.delete(endpoint);
	}

	/** Replicas with the parts that they have or will have; forgets orders that are carried out, or too old. */
	apply(replicas: readonly Endpoint[], now: number): Endpoint[] {
		return replicas.map(each => {
			const order = this.#orders.get(each.id);
			if (order === undefined || order.stage === each.stage || now - order.at > mostChangeMs) {
				this.#orders.delete(each.id);
				return each;
			}

			return {...each, stage: order.stage};
		});
	}
}
