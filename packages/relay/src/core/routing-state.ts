/**
 * The configuration in force at one host. Safety: it never goes back to a
 * lower version in one life of the process, whoever offers one.
 */
import {RouteTable} from '@gatehead/policy/relay/route-table';
import {type Routing} from '@gatehead/schema/routing';
import {type Bookkeeping} from './context.js';

/** Decides what is in force. */
export class RoutingState {
	readonly #context: Bookkeeping;
	readonly #onAdopted: (routing: Routing) => void;
	#table: RouteTable | undefined;

	constructor(context: Bookkeeping, onAdopted: (routing: Routing) => void) {
		this.#context = context;
		this.#onAdopted = onAdopted;
	}

	/** Routes in force; undefined: none is known yet. */
	get table(): RouteTable | undefined {
		return this.#table;
	}

	/** Version in force; 0: none. */
	get version(): number {
		return this.#table?.routing.version ?? 0;
	}

	/** Takes an offer; adopts it where it is newer. */
	offer(routing: Routing, source: string): void {
		const {log, metrics} = this.#context;
		if (routing.version <= this.version) {
			if (routing.version < this.version) {
				log('routingOlder', {offered: routing.version, version: this.version, source});
			}

			return;
		}

		const previous = this.version;
		this.#table = new RouteTable(routing);
		metrics.set('version', routing.version);
		log('routingAdopted', {
			version: routing.version, previous, routes: routing.routes.length, services: routing.services.length, source,
		});
		this.#onAdopted(routing);
	}
}
