/**
 * Authenticates requests and charges workspace quotas. Safety: a request with
 * an unknown key, or with one that may be revoked, never reaches a socket.
 */
import {type RouteTable} from '@gatehead/policy/relay/route-table';
import {fail, Failure} from '@gatehead/schema/failure';
import {type Quota, type Route, type Workspace} from '@gatehead/schema/routing';
import {type RequestFacts} from '../core/dialect.js';
import {type RoutingState} from '../core/routing-state.js';
import {type Freshness} from './freshness.js';
import {type WorkspaceQuotas} from './workspace-quotas.js';

/** Maximum wait for a confirmation of the key list, in milliseconds; a host nearby replies within ten, and a caller that is refused early can retry elsewhere early. */
const confirmationWaitMs = 80;
export type AccessControlParts = {
	readonly routing: RoutingState;
	readonly freshness: Freshness;
	readonly quotas: WorkspaceQuotas;
};

/** A request's key and arrival time. */
export type Credential = {
	readonly keyDigest: string | undefined;
	readonly arrivedAt: number;
};

/** Authentication and quotas of requests. */
export class AccessControl {
	readonly #parts: AccessControlParts;

	constructor(parts: AccessControlParts) {
		this.#parts = parts;
	}

	/** Makes sure that the key list is recent enough for a request, if that is possible soon. Call it before looking up the route, since it may bring a newer configuration. */
	async refreshKeys({keyDigest, arrivedAt}: Credential): Promise<void> {
		const {routing: {table}, freshness} = this.#parts;
		if (keyDigest !== undefined && table?.workspaceOf(keyDigest) !== undefined) {
			await freshness.refreshForKeys(arrivedAt, confirmationWaitMs);
		}
	}

	/** Returns the workspace of a request, undefined if the route needs none, or a `callerUnknown` or `keysOutdated` failure. */
	authenticate(table: RouteTable, {isPublic}: Route, {keyDigest, arrivedAt}: Credential): Workspace | Failure | undefined {
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
		return freshness.isConfirmed(arrivedAt) ? workspace : new Failure('keysOutdated', {retryAfterMs: freshness.retryAfterMs});
	}

	/** Charges a request to its workspace's quota and returns the cost, in the quota's unit. Throws `quotaSpent`, or `notReady` while this host does not know its share. */
	async charge(workspace: Workspace | undefined, facts: RequestFacts): Promise<number> {
		if (workspace?.quota === undefined) {
			return 0;
		}

		const cost = costOf(workspace.quota, facts);
		const answer = await this.#parts.quotas.charge(workspace, cost);
		if (answer.kind === 'refused') {
			fail('quotaSpent', {retryAfterMs: answer.waitMs, detail: answer.detail});
		}

		if (answer.kind === 'unknown') {
			fail('notReady', {retryAfterMs: answer.waitMs, detail: 'too few seeds heard of to know the share of a quota'});
		}

		return cost;
	}

	/** Refunds the cost of a request that no endpoint ran. */
	refund(workspace: Workspace | undefined, cost: number): void {
		if (workspace !== undefined && cost > 0) {
			this.#parts.quotas.refund(workspace, cost);
		}
	}
}

function costOf({unit, unnamedTokens}: Quota, {countedTokens}: RequestFacts): number {
	return unit === 'requests' ? 1 : countedTokens ?? unnamedTokens;
}
