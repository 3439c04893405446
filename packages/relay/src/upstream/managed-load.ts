/**
 * Placement by expected finish where load is managed: observes the pace of
 * endpoints, exchanges it in the load reports, and states the load of a
 * candidate for one request. Otherwise it observes and changes nothing.
 */
import {EndpointPace} from '@gatehead/policy/relay/endpoint-pace';
import {
	batchFactor, callLoad, chooseProbe, decodeLoad, hasSlack, holdFactor, type StreamNeeds,
} from '@gatehead/policy/relay/expected-finish';
import {ReportedCalls} from '@gatehead/policy/relay/reported-calls';
import {type Random} from '@gatehead/policy/utils/random';
import {type LoadReport, type LoadReportDraft, type PaceActivity} from '@gatehead/schema/relay-message';
import {type Endpoint} from '@gatehead/schema/routing';
import {type BaseContext} from '../core/context.js';

/** Digits of the reported times: a tenth of a millisecond. */
const reportedScale = 10;

/** What a request needs of its endpoint; times are in milliseconds. */
export type PlacementNeeds = Omit<StreamNeeds, 'eventMs'> & {
	readonly promptTokens: number;
	/** Whether an earlier search for this request could already have probed; a waiting request is placed at each poll. */
	readonly isRepeated?: boolean;
};

export type ManagedLoadParts = {
	readonly context: Pick<BaseContext, 'clock' | 'log'> & {readonly random: Random};
	/** Whether the active configuration calls for load management. */
	readonly isManaged: () => boolean;
	readonly isKnown: (endpoint: string) => boolean;
};

/** Paces and loads of endpoints where load is managed. */
export class ManagedLoad {
	readonly pace: EndpointPace;
	readonly #parts: ManagedLoadParts;
	readonly #reportedCalls = new ReportedCalls();

	constructor(parts: ManagedLoadParts) {
		this.#parts = parts;
		this.pace = new EndpointPace(({endpoint, activity, fromMs, toMs}) => {
			parts.context.log('paceChanged', {
				endpoint, activity, fromMs: round(fromMs), toMs: round(toMs),
			});
		});
	}

	/** Whether the active configuration calls for load management. */
	get isManaged(): boolean {
		return this.#parts.isManaged();
	}

	/** Load of a candidate. `load`: as it is without load management; for a prefill replica, it includes the prompt. */
	loadOf(endpoint: Endpoint, load: number, needs: PlacementNeeds): number {
		const {id, service, stage} = endpoint;
		const now = this.#parts.context.clock.now();
		if (stage === 'decode') {
			return decodeLoad({fill: load, pace: this.pace.paceOf(id, 'decode', now)}, {...needs, eventMs: this.pace.medianMs(service, 'decode', now)});
		}

		if (stage === undefined) {
			return callLoad({fill: load + this.#reportedFill(endpoint), pace: this.pace.paceOf(id, 'call', now)});
		}

		return load;
	}

	/** Moves an endpoint that needs a probe to the front, for a few of the requests with slack. */
	moveProbe(ordered: readonly Endpoint[], {firstLeftMs, targetMs, isRepeated = false}: PlacementNeeds, mayProbe: (endpoint: Endpoint) => boolean): Endpoint[] {
		if (isRepeated || !hasSlack(firstLeftMs, targetMs)) {
			return [...ordered];
		}

		const now = this.#parts.context.clock.now();
		const eligible = ordered.filter(endpoint => mayProbe(endpoint));
		const targets = eligible.map(({id, stage}) => ({pace: this.pace.paceOf(id, activityOf(stage), now), unobservedMs: this.pace.unobservedMs(id, activityOf(stage), now)}));
		const probed = eligible[chooseProbe(targets, this.#parts.context.random) ?? eligible.length];
		return probed === undefined ? [...ordered] : [probed, ...ordered.filter(({id}) => id !== probed.id)];
	}

	/** Records the time of `units` events, prompt tokens or calls at an endpoint. */
	record({id, service}: Pick<Endpoint, 'id' | 'service'>, activity: PaceActivity, units: number, totalMs: number): void {
		if (this.#parts.isManaged() && this.#parts.isKnown(id)) {
			this.pace.record(service, {
				endpoint: id, activity, units, totalMs,
			}, this.#parts.context.clock.now());
		}
	}

	/** Records the time between events of a stream at a replica of which the fraction `fill` of the memory is in use. */
	recordEvents(endpoint: Pick<Endpoint, 'id' | 'service'>, units: number, totalMs: number, fill: number): void {
		this.record(endpoint, 'decode', units, totalMs / batchFactor(fill));
	}

	/** Factor by which a request holds memory at a replica longer than an average one. */
	holdFactorOf(id: string): number {
		return this.#parts.isManaged() ? holdFactor(this.pace.paceOf(id, 'decode', this.#parts.context.clock.now())) : 1;
	}

	/** Pace of an endpoint in its present stage; 1 where load is not managed. */
	stagePaceOf({id, stage}: Pick<Endpoint, 'id' | 'stage'>): number {
		return this.#parts.isManaged() ? this.pace.paceOf(id, activityOf(stage), this.#parts.context.clock.now()) : 1;
	}

	/** Prefill time per token at an endpoint, in milliseconds; undefined if none was observed or load is not managed. `slowness`: time at a decode replica relative to a prefill replica. */
	prefillTokenMs({id, service, stage}: Pick<Endpoint, 'id' | 'service' | 'stage'>, slowness: number): number | undefined {
		const now = this.#parts.context.clock.now();
		const medianMs = this.#parts.isManaged() ? this.pace.medianMs(service, 'prefill', now) : undefined;
		// Prefills at decode replicas are not observed; a replica that decodes slowly also prefills slowly
		return medianMs === undefined ? undefined : medianMs * slowness * this.pace.paceOf(id, stage === 'decode' ? 'decode' : 'prefill', now);
	}

	/** Observations for the next load report. Call admission reports the calls. */
	collect(service: string): Partial<LoadReportDraft> {
		const paces = this.pace.takeUnreported(service).filter(({activity}) => activity !== 'call').map(each => ({...each, totalMs: round(each.totalMs)}));
		return paces.length === 0 ? {} : {paces};
	}

	/** Handles the load report of a peer. */
	receive(host: string, service: string, {paces, inFlight}: LoadReport, now: number): void {
		this.pace.receive(service, paces.filter(({endpoint}) => this.#parts.isKnown(endpoint)), now);
		this.#reportedCalls.set(service, host, inFlight, now);
	}

	/** Calls that peers have in flight at a plain endpoint, per slot. */
	#reportedFill({id, service, slots}: Endpoint): number {
		return this.#reportedCalls.sum(service, id, this.#parts.context.clock.now()) / Math.max(1, slots);
	}
}

function activityOf(stage: Endpoint['stage']): PaceActivity {
	return stage ?? 'call';
}

function round(durationMs: number): number {
	return Math.round(reportedScale * durationMs) / reportedScale;
}
