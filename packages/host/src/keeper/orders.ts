/**
 * Orders to engines, derived from the bundle in force alone: fenced with its
 * version, idempotent, checked again right before the write, read back by the
 * next report. Safety: an engine that checks refuses an older fence; for one
 * that does not, a window of one write remains and the read-back repairs it.
 */
import {type Bundle, type Engine} from '@gatehead/schema/bundle';
import {type EngineOrder, type EngineReport, type Owner} from '@gatehead/schema/engine-protocol';
import {type BundleStore} from '../core/bundle-store.js';
import {type Context} from '../core/context.js';
import {type EngineClient} from '../core/engine-client.js';

const answerMs = 2000;

/** What the bundle asks of an engine. */
export function orderOf({models, version}: Bundle, {role, model, adapters}: Engine, owner: Owner): EngineOrder {
	const served = models.find(each => each.name === model);
	return {
		fence: version, role, model: {name: model, version: served?.version ?? '', adapters: [...adapters]}, owner,
	};
}

/** Whether a report shows what the order asks for. */
export function isObeyed({fence, role, model}: EngineOrder, report: EngineReport): boolean {
	const served = report.models.find(each => each.name === model.name);
	const hasAdapters = served !== undefined && model.adapters.every(each => served.adapters.includes(each));
	return report.fence >= fence && report.role === role && served?.version === model.version && hasAdapters;
}

/** What orders are sent with. */
export type OrderParts = {
	readonly context: Context;
	readonly client: EngineClient;
	readonly bundles: BundleStore;
	/** Whether this host keeps the engine at this very moment. */
	readonly isKeeper: (engine: string) => boolean;
	/** Called with a fence above the version in force. */
	readonly onHigherFence: (fence: number) => void;
};

/** Sends orders; at most one at a time to an engine. */
export class Orders {
	readonly #parts: OrderParts;
	readonly #open = new Set<string>();

	constructor(parts: OrderParts) {
		this.#parts = parts;
	}

	/** Compares a report with the bundle and orders what is missing. */
	review(engine: Engine, report: EngineReport): void {
		const {bundles, context, onHigherFence} = this.#parts;
		const {inForce} = bundles;
		if (inForce === undefined) {
			return;
		}

		if (report.fence > inForce.bundle.version) {
			onHigherFence(report.fence);
			return;
		}

		const order = orderOf(inForce.bundle, engine, context.self);
		if (!isObeyed(order, report) && !this.#open.has(engine.name)) {
			void this.#send(engine, order);
		}
	}

	async #send({name, address}: Engine, order: EngineOrder): Promise<void> {
		const {context, client, bundles, isKeeper, onHigherFence} = this.#parts;
		this.#open.add(name);
		const abort = new AbortController();
		const timer = context.clock.after(answerMs, () => {
			abort.abort();
		});
		try {
			// The last look before the write: a newer bundle or a lost keepership makes the order void
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
			// The next report shows what is still missing
		} finally {
			timer.stop();
			this.#open.delete(name);
		}
	}
}
