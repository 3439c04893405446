/**
 * Sends configuration orders to engines, derived only from the bundle in force.
 * Orders are idempotent, fenced with the bundle's version, checked again
 * immediately before the write and verified by the next report. Safety: an
 * engine that checks fences refuses stale orders; one that does not may apply
 * a stale order sent during that write, until the next report corrects it.
 */
import {type Bundle, type Engine} from '@gatehead/schema/bundle';
import {type EngineOrder, type EngineReport, type Owner} from '@gatehead/schema/engine-protocol';
import {type BundleStore} from '../core/bundle-store.js';
import {type Context} from '../core/context.js';
import {type EngineClient} from '../core/engine-client.js';

const orderTimeoutMs = 2000;

/** Returns the order that configures an engine as the bundle specifies. */
export function createOrder({models, version}: Bundle, {role, model, adapters}: Engine, owner: Owner): EngineOrder {
	const served = models.find(each => each.name === model);
	return {
		fence: version, role, model: {name: model, version: served?.version ?? '', adapters: [...adapters]}, owner,
	};
}

/** Whether a report shows that the engine has applied the order. */
export function isApplied({fence, role, model}: EngineOrder, report: EngineReport): boolean {
	const served = report.models.find(each => each.name === model.name);
	const hasAdapters = served !== undefined && model.adapters.every(each => served.adapters.includes(each));
	return report.fence >= fence && report.role === role && served?.version === model.version && hasAdapters;
}

/** Dependencies of `Orders`. */
export type OrderParts = {
	readonly context: Context;
	readonly client: EngineClient;
	readonly bundles: BundleStore;
	/** Whether this host currently keeps the engine's cell. */
	readonly isKeeper: (engine: string) => boolean;
	/** Called with an engine's fence that is above the version in force. */
	readonly onHigherFence: (fence: number) => void;
};

/** Sends orders, at most one at a time to each engine. */
export class Orders {
	readonly #parts: OrderParts;
	readonly #inFlight = new Set<string>();

	constructor(parts: OrderParts) {
		this.#parts = parts;
	}

	/** Sends an order if the report differs from the bundle. */
	reconcile(engine: Engine, report: EngineReport): void {
		const {bundles, context, onHigherFence} = this.#parts;
		const {inForce} = bundles;
		if (inForce === undefined) {
			return;
		}

		if (report.fence > inForce.bundle.version) {
			onHigherFence(report.fence);
			return;
		}

		const order = createOrder(inForce.bundle, engine, context.self);
		if (!isApplied(order, report) && !this.#inFlight.has(engine.name)) {
			void this.#send(engine, order);
		}
	}

	async #send({name, address}: Engine, order: EngineOrder): Promise<void> {
		const {context, client, bundles, isKeeper, onHigherFence} = this.#parts;
		this.#inFlight.add(name);
		const abort = new AbortController();
		const timer = context.clock.after(orderTimeoutMs, () => {
			abort.abort();
		});
		try {
			// Last check before the write: the order is stale if the bundle or the keeper has changed
			if (bundles.version !== order.fence || !isKeeper(name)) {
				return;
			}

			context.counters.count('ordersSent');
			context.timeline.record({kind: 'orderSent', endpoint: name, bundleVersion: order.fence});
			const {obeyed, fence} = await client.order(address, order, abort.signal);
			if (obeyed) {
				context.timeline.record({kind: 'orderObeyed', endpoint: name, bundleVersion: fence});
			} else if (fence > bundles.version) {
				onHigherFence(fence);
			}
		} catch {
			// The next report triggers another attempt
		} finally {
			timer.stop();
			this.#inFlight.delete(name);
		}
	}
}
