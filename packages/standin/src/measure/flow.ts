/** One request on its way through the fakes, whatever policy decides. */
import {type DecodeOrder, type Owner, type PrefillOrder} from '@gatehead/schema/engine-protocol';
import {type Arrival} from './arrivals.js';
import {type FakeEngine, type FakeHost, type World} from './world.js';

/** Interval at which reports are read, and times that a request is started. */
export const pollMs = 1000;
/** Times that a request is started at engines. */
export const mostAttempts = 4;

/** How one request went. */
export type Outcome = {
	readonly arrival: Arrival;
	state: 'open' | 'refused' | 'whole' | 'failed';
	firstAt: number;
	lastAt: number;
	tokens: number;
	attempts: number;
};

/** A policy under measurement. */
export type Policy = {
	/** Takes a request at a host. */
	arrive(outcome: Outcome, host: FakeHost): void;
	/** Keeps the deciding process from doing anything until `until`. */
	pauseKeeper(until: number): void;
};

/** One request on its way. */
export type Flow = {
	readonly outcome: Outcome;
	readonly host: FakeHost;
	readonly request: string;
	attempt: number;
	handle: string;
	source: FakeEngine | undefined;
};

function ownerOf({name}: FakeHost): Owner {
	return {host: name, incarnation: 1};
}

/** The order that a prefill engine gets. */
export function orderOf({outcome: {arrival: {model, caller, prompt}, tokens}, host, request, attempt}: Flow): PrefillOrder {
	return {
		request, attempt, owner: ownerOf(host), model, priority: caller.priority, prompt, given: Array.from({length: tokens}, (_, n) => String(n)),
	};
}

/** Notes tokens and the end; ends at the wrong number are impossible here. */
export function readStream(world: World, flow: Flow, ended: () => void): (line: {readonly kind: string}) => void {
	const {outcome, host} = flow;
	const {attempt} = flow;
	return ({kind}) => {
		if (host.isLost || flow.attempt !== attempt) {
			return;
		}

		const now = world.clock.now();
		if (kind === 'token') {
			outcome.tokens += 1;
			outcome.firstAt = outcome.firstAt === 0 ? now : outcome.firstAt;
			outcome.lastAt = now;
		}

		if (kind === 'end') {
			outcome.state = 'whole';
			ended();
		}
	};
}

/** The order that a decode engine gets. */
export function decodeOrderOf(flow: Flow): DecodeOrder {
	return {...orderOf(flow), source: {address: flow.source?.traits.name ?? '', handle: flow.handle}, maxTokens: flow.outcome.arrival.maxTokens};
}

/** A request that begins at a host. */
export function makeFlow(outcome: Outcome, host: FakeHost): Flow {
	return {
		outcome, host, request: `r${outcome.arrival.number}`, attempt: 0, handle: '', source: undefined,
	};
}

