/** Sends a mixed burst to a deployment and sums up what its callers saw and its endpoints counted. */
import {targetOf} from '@gatehead/schema/bundle';
import {type Random} from '@gatehead/policy/utils/random';
import {Session, type Verdict} from '../utils/session.js';
import {
	nextArrivalMs, planCall, trafficKinds, type RequestKind,
} from '../utils/traffic.js';
import {type Deployment} from './deployment.js';

/** How hard and how long to call. */
export type BurstPlan = {
	/** Calls a second over time: each step holds for its seconds. */
	readonly steps: ReadonlyArray<{readonly rate: number; readonly seconds: number}>;
	readonly random: Random;
	/** Time that engines get to be free of all memory after the last answer, in milliseconds. */
	readonly settleMs?: number;
};

/** One line of the summary. */
export type KindSummary = {
	readonly kind: string;
	readonly offered: number;
	readonly whole: number;
	readonly refused: number;
	readonly goodput: number;
	readonly ttftP95Ms: number;
};

/** What a burst showed. */
export type BurstSummary = {
	readonly deployment: string;
	readonly kinds: readonly KindSummary[];
	/** Calls that were answered or broke off: all that were not refused. */
	readonly accepted: number;
	readonly whole: number;
	readonly twice: number;
	readonly crossed: number;
	/** Calls told "not run" that ran at a plain service. */
	readonly untrue: number;
	readonly modelOffered: number;
	readonly modelGoodput: number;
	readonly prefillDoneMs: number;
	readonly prefillUsedMs: number;
	/** Streams and results still held at engines when all callers were answered. */
	readonly held: number;
};

const defaultSettleMs = 3000;

async function pause(milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

function openSessions({bundle, hosts}: Deployment): Map<string, Session> {
	const entry = hosts.map(each => each.callerAddress);
	return new Map(bundle.callers.map(({name, priority}) => [name, new Session(`demo-${name}`, entry, targetOf(bundle.rules, priority))]));
}

/** Sends the burst and sums up. */
export async function sendBurst(deployment: Deployment, plan: BurstPlan): Promise<BurstSummary> {
	const verdicts = await callAll(deployment, plan);
	// Results that nobody took lapse by themselves within a second
	await untilReleased(deployment, plan.settleMs ?? defaultSettleMs);
	return summarize(deployment, trafficKinds[deployment.name] ?? [], verdicts);
}

async function untilReleased(deployment: Deployment, settleMs: number): Promise<void> {
	const end = performance.now() + settleMs;
	while (countHeld(deployment) > 0 && performance.now() < end) {
		await pause(100);
	}
}

/** Sends all calls; arrivals do not wait for answers. */
export async function callAll(deployment: Deployment, {steps, random}: BurstPlan): Promise<Verdict[]> {
	const kinds = trafficKinds[deployment.name] ?? [];
	const sessions = openSessions(deployment);
	const open: Array<Promise<Verdict>> = [];
	for (const {rate, seconds} of steps) {
		const end = performance.now() + (seconds * 1000);
		let next = performance.now();
		while (next < end) {
			next += nextArrivalMs(rate, random);
			await pause(next - performance.now());
			const call = planCall(kinds, open.length, random);
			const session = sessions.get(call.kind.caller);
			if (session !== undefined) {
				open.push(session.carryOut(call));
			}
		}
	}

	const verdicts = await Promise.all(open);
	for (const session of sessions.values()) {
		session.close();
	}

	return verdicts;
}

function percentile(values: readonly number[], share: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

function summarizeKind({name}: RequestKind, verdicts: readonly Verdict[]): KindSummary {
	const own = verdicts.filter(each => each.call.kind.name === name);
	const whole = own.filter(each => each.kind === 'whole');
	return {
		kind: name,
		offered: own.length,
		whole: whole.length,
		refused: own.filter(each => each.kind === 'refused').length,
		goodput: own.filter(each => each.isGoodput).length,
		ttftP95Ms: percentile(whole.map(each => each.ttftMs), 0.95),
	};
}

/** Runs at plain services under keys: more than one run of a call that may not be repeated breaks a promise. */
function countTwice({bundle, services}: Deployment): number {
	const guarded = bundle.services.filter(each => !each.repeatable);
	const runs = new Map<string, number>();
	const names = new Set(guarded.flatMap(each => each.replicas.map(replica => replica.name)));
	for (const name of names) {
		for (const [request, count] of services.get(name)?.runs ?? []) {
			if (request.includes('~')) {
				runs.set(request, (runs.get(request) ?? 0) + count);
			}
		}
	}

	return [...runs.values()].filter(count => count > 1).length;
}

/** Guarded calls whose callers were told "not run" although a replica ran them. */
function countUntrue({services}: Deployment, verdicts: readonly Verdict[]): number {
	const ran = new Set([...services.values()].flatMap(each => [...each.runs.keys()].map(id => id.split('~')[1])));
	return verdicts.filter(({kind, ran: told, call}) => kind === 'refused' && told === 'no' && call.kind.needsTicket && ran.has(`call${call.number}`)).length;
}

function countHeld({engines}: Deployment): number {
	return engines.reduce((sum, {prefill, decode}) => sum + prefill.listHeld().length + decode.listHeld().length, 0);
}

function summarize(deployment: Deployment, kinds: readonly RequestKind[], verdicts: readonly Verdict[]): BurstSummary {
	const model = verdicts.filter(each => each.call.expected !== undefined);
	const accepted = verdicts.filter(each => each.kind !== 'refused');
	const works = deployment.engines.map(each => each.prefill.work);
	return {
		deployment: deployment.name,
		kinds: kinds.map(kind => summarizeKind(kind, verdicts)),
		accepted: accepted.length,
		whole: accepted.filter(each => each.kind === 'whole').length,
		twice: countTwice(deployment),
		crossed: verdicts.filter(each => each.kind === 'crossed').length,
		untrue: countUntrue(deployment, verdicts),
		modelOffered: model.length,
		modelGoodput: model.filter(each => each.isGoodput).length,
		prefillDoneMs: works.reduce((sum, {doneMs}) => sum + doneMs, 0),
		prefillUsedMs: works.reduce((sum, {usedMs}) => sum + usedMs, 0),
		held: countHeld(deployment),
	};
}
