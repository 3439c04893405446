/**
 * Tracks stage changes that were ordered but not yet published by the replica.
 * Such replicas count with their new stage, so that a change is not ordered
 * twice. An order that is never carried out expires.
 */
import {type Endpoint} from '@gatehead/schema/routing';
import {type StageChange} from './stage-split.js';

/** Time after which an unfinished order expires, in milliseconds: streams drain for up to ten seconds, then the change itself takes six. */
const orderTimeoutMs = 20_000;

type PendingOrder = {
	readonly stage: StageChange['stage'];
	readonly at: number;
};

/** Pending stage changes ordered by this host. */
export class PendingStageChanges {
	readonly #orders = new Map<string, PendingOrder>();

	/** Records an order sent to an endpoint. */
	add(endpoint: string, stage: StageChange['stage'], now: number): void {
		this.#orders.set(endpoint, {stage, at: now});
	}

	/** Removes an order that the endpoint refused. */
	remove(endpoint: string): void {
		this.#orders.delete(endpoint);
	}

	/** Returns the replicas with pending changes applied. Removes orders that are complete or expired. */
	apply(replicas: readonly Endpoint[], now: number): Endpoint[] {
		return replicas.map(each => {
			const order = this.#orders.get(each.id);
			if (order === undefined || order.stage === each.stage || now - order.at > orderTimeoutMs) {
				this.#orders.delete(each.id);
				return each;
			}

			return {...each, stage: order.stage};
		});
	}
}
