/**
 * Resolves a request against the configuration: its route, service and
 * workspace, or the error to refuse it with. All refusals decided by the
 * configuration come from here. Safety: a request without a route, with a key
 * that may be revoked, or without a known caller never reaches a socket; a
 * final refusal needs proof that no newer configuration is in force.
 */
import {isFinal} from '@gatehead/policy/relay/final-refusals';
import {type RouteTable} from '@gatehead/policy/relay/route-table';
import {fail, Failure} from '@gatehead/schema/failure';
import {type Route, type Service, type Workspace} from '@gatehead/schema/routing';
import {type RelayContext} from '../core/context.js';
import {type ForwardFacts, type ForwardResolution} from '../core/forward-facts.js';
import {type RoutingState} from '../core/routing-state.js';
import {type Freshness} from './freshness.js';
import {type Credential, type AccessControl} from './access-control.js';

/** Maximum wait for a confirmation of the configuration before a request is refused, in milliseconds: the timeout of one unresponsive host, then of all others in parallel. */
const maxWaitMs = 400;
/** Maximum wait as a share of the caller's timeout; the rest is left for a retry. */
const maxWaitShare = 1 / 4;

/** `Retry-After` of a forwarded request that this host cannot resolve, in milliseconds; the host that forwarded it asks another one first. */
const forwardRetryAfterMs = 100;

/** The parts of a request that decide how it resolves. */
export type IncomingRequest = Credential & {
	readonly authority: string;
	readonly target: string;
	/** The caller's timeout in milliseconds; undefined if it sent none. */
	readonly timeoutMs: number | undefined;
};

/** What a request resolves to. */
export type ResolvedRequest = {
	readonly table: RouteTable;
	readonly route: Route;
	readonly service: Service;
	readonly workspace: Workspace | undefined;
};

export type RequestResolverParts = {
	readonly context: Pick<RelayContext, 'metrics' | 'random'>;
	readonly routing: RoutingState;
	readonly accessControl: AccessControl;
	readonly freshness: Freshness;
	/** `Retry-After` in milliseconds while this host has no configuration. */
	readonly notReadyRetryAfterMs: (request: IncomingRequest) => number;
};

/** Resolves requests against the current configuration. */
export class RequestResolver {
	readonly #parts: RequestResolverParts;

	constructor(parts: RequestResolverParts) {
		this.#parts = parts;
	}

	/** Throws the failure that the request is to be refused with. */
	async resolve(request: IncomingRequest): Promise<ResolvedRequest> {
		const {accessControl, freshness} = this.#parts;
		await accessControl.refreshKeys(request);
		const first = this.#resolveOnce(request);
		if (!(first instanceof Failure)) {
			return first;
		}

		if (!isFinal(first.code)) {
			throw first;
		}

		// A caller does not retry after a final refusal, so a stale configuration must not cause one
		await freshness.refreshForRefusal(request.arrivedAt, Math.min(maxWaitMs, maxWaitShare * (request.timeoutMs ?? Number.POSITIVE_INFINITY)));
		// The confirmation may have brought a newer configuration
		const second = this.#resolveOnce(request);
		if (!(second instanceof Failure)) {
			return second;
		}

		return this.#refuse(second, request.arrivedAt);
	}

	/**
	 * Resolves a request that another host has resolved and forwarded, and whose
	 * key it has checked: to what that host states, since a configuration does not
	 * end requests that were accepted before it. Without such a statement, throws
	 * `notReady` unless this host has the same configuration or a newer one that
	 * still allows the request.
	 */
	resolveForwarded({authority, target}: IncomingRequest, {routingVersion, service: serviceName, workspace: workspaceName}: ForwardFacts, stated: ForwardResolution | undefined): ResolvedRequest {
		const {table, version} = this.#parts.routing;
		if (table !== undefined && stated !== undefined) {
			return {table, ...stated};
		}

		const route = table?.match(authority, target);
		const service = route?.shares.some(share => share.service === serviceName) ? table?.service(serviceName) : undefined;
		const workspace = workspaceName === undefined ? undefined : table?.routing.workspaces?.find(({name}) => name === workspaceName);
		const isKeyMissing = workspaceName !== undefined && workspace === undefined;
		if (table === undefined || version < routingVersion || route === undefined || service === undefined || isKeyMissing) {
			return fail('notReady', {retryAfterMs: forwardRetryAfterMs, detail: `configuration ${version}, resolved by ${routingVersion}`});
		}

		return {
			table, route, service, workspace,
		};
	}

	#refuse(failure: Failure, arrivedAt: number): never {
		const {context: {metrics}, freshness} = this.#parts;
		if (!isFinal(failure.code) || freshness.mayRefuse(arrivedAt)) {
			throw failure;
		}

		metrics.add('refusalsUnproven', {reason: failure.code});
		return fail('refusalUnproven', {retryAfterMs: freshness.retryAfterMs, detail: failure.message});
	}

	#resolveOnce(request: IncomingRequest): ResolvedRequest | Failure {
		const {routing: {table, version}, accessControl, context: {random}, notReadyRetryAfterMs: notReadyMs} = this.#parts;
		if (table === undefined) {
			return new Failure('notReady', {retryAfterMs: notReadyMs(request)});
		}

		const route = table.match(request.authority, request.target);
		if (route === undefined) {
			return new Failure('routeUnknown', {detail: `configuration ${version}`});
		}

		const service = table.chooseService(route, random);
		if (service === undefined) {
			return new Failure('serviceUnknown', {detail: `configuration ${version}`});
		}

		const workspace = accessControl.authenticate(table, route, request);
		return workspace instanceof Failure
			? workspace
			: {
				table, route, service, workspace,
			};
	}
}
