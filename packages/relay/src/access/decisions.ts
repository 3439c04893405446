/**
 * What the configuration says of a request: its route, its service, whose it
 * is; or why not. The one place where a request is refused for the
 * configuration's sake. Safety: a request without a route, with a key that may
 * have been taken away, or of nobody, is put on no socket; a request is called
 * wrong for good only on evidence that no newer configuration is in force.
 */
import {isFinal} from '@gatehead/policy/relay/final-refusals';
import {type RouteTable} from '@gatehead/policy/relay/route-table';
import {fail, Failure} from '@gatehead/schema/failure';
import {type Route, type Service, type Workspace} from '@gatehead/schema/routing';
import {type RelayContext} from '../core/context.js';
import {type RoutingState} from '../core/routing-state.js';
import {type Freshness} from './freshness.js';
import {type Credential, type Gate} from './gate.js';

/** Longest time for which a request waits for evidence before it is refused, in milliseconds: a reader that is silent, and then all others at once. */
const longestWaitMs = 400;
/** Part of the caller's time that it waits at the most: the rest is for another try. */
const waitShare = 1 / 4;

/** What a request asks for. */
export type Ask = Credential & {
	readonly authority: string;
	readonly target: string;
	/** How long the caller waits, in milliseconds; undefined: it does not say. */
	readonly patienceMs: number | undefined;
};

/** What the configuration says of it. */
export type Decision = {
	readonly table: RouteTable;
	readonly route: Route;
	readonly service: Service;
	readonly workspace: Workspace | undefined;
};

/** What decisions are made from. */
export type DecisionParts = {
	readonly context: Pick<RelayContext, 'metrics' | 'random'>;
	readonly routing: RoutingState;
	readonly gate: Gate;
	readonly freshness: Freshness;
	/** When a caller may come back that found no configuration here, in milliseconds. */
	readonly notReadyMs: (ask: Ask) => number;
};

/** Decides by the configuration in force. */
export class Decisions {
	readonly #parts: DecisionParts;

	constructor(parts: DecisionParts) {
		this.#parts = parts;
	}

	/** Raises what the request is refused with. */
	async decide(ask: Ask): Promise<Decision> {
		const {gate, freshness} = this.#parts;
		await gate.prepare(ask);
		const first = this.#look(ask);
		if (!(first instanceof Failure)) {
			return first;
		}

		if (!isFinal(first.code)) {
			throw first;
		}

		// However the news of a configuration is lost or late, who is refused here would not ask again
		await freshness.proveRefusal(ask.arrivedAt, Math.min(longestWaitMs, waitShare * (ask.patienceMs ?? Number.POSITIVE_INFINITY)));
		// A newer configuration may have come with the evidence
		const second = this.#look(ask);
		if (!(second instanceof Failure)) {
			return second;
		}

		return this.#refuse(second, ask.arrivedAt);
	}

	#refuse(failure: Failure, arrivedAt: number): never {
		const {context: {metrics}, freshness} = this.#parts;
		if (!isFinal(failure.code) || freshness.mayRefuse(arrivedAt)) {
			throw failure;
		}

		metrics.add('refusalsUnproven', {reason: failure.code});
		return fail('refusalUnproven', {retryAfterMs: freshness.comeBackMs, detail: failure.message});
	}

	#look(ask: Ask): Decision | Failure {
		const {routing: {table, version}, gate, context: {random}, notReadyMs} = this.#parts;
		if (table === undefined) {
			return new Failure('notReady', {retryAfterMs: notReadyMs(ask)});
		}

		const route = table.match(ask.authority, ask.target);
		if (route === undefined) {
			return new Failure('routeUnknown', {detail: `configuration ${version}`});
		}

		const service = table.draw(route, random);
		if (service === undefined) {
			return new Failure('serviceUnknown', {detail: `configuration ${version}`});
		}

		const workspace = gate.identify(table, route, ask);
		return workspace instanceof Failure
			? workspace
			: {
				table, route, service, workspace,
			};
	}
}
