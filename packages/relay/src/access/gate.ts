/**
 * Says whose a request is and whether it may run: its key, how fresh the
 * list of keys is, and its workspace's quota. Safety: a request with a key
 * that may have been taken away, or that nobody holds, is put on no socket.
 */
import {type RouteTable} from '@gatehead/policy/relay/route-table';
import {fail, Failure} from '@gatehead/schema/failure';
import {type Quota, type Route, type Workspace} from '@gatehead/schema/routing';
import {type RequestFacts} from '../core/dialect.js';
import {type RoutingState} from '../core/routing-state.js';
import {type Freshness} from './freshness.js';
import {type QuotaDesk} from './quota-desk.js';

/** Time for which a request waits for evidence, in milliseconds: a reader at hand answers in ten, and who is refused sooner is served sooner elsewhere. */
const waitMs = 80;
/** What the gate works with. */
export type GateParts = {
	readonly routing: RoutingState;
	readonly freshness: Freshness;
	readonly quotas: QuotaDesk;
};

/** What a request shows of its caller, and when it arrived. */
export type Credential = {
	readonly keyDigest: string | undefined;
	readonly arrivedAt: number;
};

/** Lets requests in. */
export class Gate {
	readonly #parts: GateParts;

	constructor(parts: GateParts) {
		this.#parts = parts;
	}

	/** Sees to it that the list of keys is fresh enough for a request, as far as that can be had soon. To be called before the request's route is looked up, since it may bring a newer configuration. */
	async prepare({keyDigest, arrivedAt}: Credential): Promise<void> {
		const {routing: {table}, freshness} = this.#parts;
		if (keyDigest !== undefined && table?.workspaceOf(keyDigest) !== undefined) {
			await freshness.proveKeys(arrivedAt, waitMs);
		}
	}

	/** The workspace of a request; undefined where none is asked for. Fails with `callerUnknown` and `keysOutdated`. */
	identify(table: RouteTable, {isPublic}: Route, {keyDigest, arrivedAt}: Credential): Workspace | Failure | undefined {
		if (!table.hasWorkspaces) {
			return undefined;
		}

		const workspace = keyDigest === undefined ? undefined : table.workspaceOf(keyDigest);
		if (isPublic) {
			return workspace;
		}

		if (workspace === undefined) {
			return new Failure('callerUnknown', {detail: `configuration ${table.routing.version}`});
		}

		const {freshness} = this.#parts;
		return freshness.isProven(arrivedAt) ? workspace : new Failure('keysOutdated', {retryAfterMs: freshness.comeBackMs});
	}

	/** Takes a request's cost out of its workspace's quota; returns the cost. Raises `quotaSpent`. */
	async charge(workspace: Workspace | undefined, facts: RequestFacts): Promise<number> {
		if (workspace?.quota === undefined) {
			return 0;
		}

		const cost = costOf(workspace.quota, facts);
		const answer = await this.#parts.quotas.take(workspace, cost);
		if (answer.kind === 'refused') {
			fail('quotaSpent', {retryAfterMs: answer.waitMs, detail: answer.detail});
		}

		return cost;
	}

	/** Gives back what a request cost that ran nowhere. */
	giveBack(workspace: Workspace | undefined, cost: number): void {
		if (workspace !== undefined && cost > 0) {
			this.#parts.quotas.giveBack(workspace, cost);
		}
	}
}

function costOf({unit, unnamedTokens}: Quota, {countedTokens}: RequestFacts): number {
	return unit === 'requests' ? 1 : countedTokens ?? unnamedTokens;
}
