/** Callers of the soak and of the demo, and what must hold for each of their requests. */
import {Agent} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {
	jitter, pick, seedRandom, shuffle, type Random,
} from '@gatehead/policy/utils/random';
import {fail} from '@gatehead/schema/failure';
import {findWorstWindow} from '../utils/repeat-count.js';
import {sendRequest, type CallerAnswer} from '../wire/client.js';
import {StreamCaller} from '../wire/stream-caller.js';
import {type Bed} from './bed.js';
import {toTime} from './event-log.js';
import {type Attempt} from './lost-requests.js';

const requestGapMs = 12;
/** Deadline that callers state where nothing else is given, in milliseconds. */
const defaultDeadlineMs = 3000;
const spread = 0.5;
const paths = ['/once/1', '/repeatable/1', '/stream/1', '/resumable/1'];
/** Statuses that promise that a request has not run. */
const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** A request and its answer. */
export type Sent = {
	readonly id: string;
	readonly path: string;
	/** On the process's steady clock, in milliseconds. */
	readonly sentAt: number;
	readonly answer: CallerAnswer;
	readonly attempt: Attempt;
};

async function send({hosts, random, events}: Bed, id: string, agent: Agent | undefined, deadlineMs: number): Promise<Sent> {
	const path = pick(random, paths) ?? '';
	const host = pickHost(random, hosts);
	const sentAt = performance.now();
	const answer = await sendRequest({
		address: host.caller, id, path, agent, headers: {'Deadline-Ms': deadlineMs},
	});
	events.add({
		event: 'answered', request: id, path, sentAt: toTime(sentAt), status: answer.status, isWhole: answer.isWhole, tookMs: Math.round(performance.now() - sentAt),
	});
	return {
		id, path, sentAt, answer, attempt: {
			...answer, id, path, host, sentAt, endedAt: performance.now(), deadlineMs, hasLeft: false,
		},
	};
}

function pickHost(random: Random, hosts: Bed['hosts']): Bed['hosts'][number] {
	const host = pick(random, hosts);
	return host ?? fail('internal', {detail: 'no hosts'});
}

/** Sends requests at a steady pace until told that it is over; on connections that stay in use until their process is gone where callers keep them. */
export async function sendUntil(bed: Bed, isOver: () => boolean, keepsConnections = false, deadlineMs = defaultDeadlineMs): Promise<Sent[]> {
	const agent = keepsConnections ? new Agent({keepAlive: true}) : undefined;
	const sent: Array<Promise<Sent>> = [];
	while (!isOver()) {
		sent.push(send(bed, `r${sent.length}`, agent, deadlineMs));
		await pause(jitter(bed.random, requestGapMs, spread));
	}

	const all = await Promise.all(sent);
	agent?.destroy();
	return all;
}

/** Whether a whole stream has each event once, in order. */
function isInOrder(body: string): boolean {
	const ids = [...body.matchAll(/^id: (?<id>\d+)$/gmv)].map(({groups}) => Number(groups?.id));
	return ids.length === 6 && ids.every((id, index) => id === index + 1);
}

/** What is wrong with one request, if anything. */
export function judge({id, path, answer}: Sent, runs: number): string | undefined {
	const {status, isWhole, body, headers} = answer;
	const isOnce = path === '/once/1' || path === '/stream/1';
	const isPlain = path === '/once/1' || path === '/repeatable/1';
	const isServed = status === 200 && isWhole;
	const rules: ReadonlyArray<readonly [boolean, string]> = [
		[answer.isGivenUp, 'had neither an answer nor its end'],
		[isOnce && runs > 1, `ran ${runs} times`],
		[isOnce && runs > 0 && promises.has(status), `ran and was answered ${status}`],
		[isServed && headers['request-id'] !== id, 'has the answer of another request'],
		[isServed && isPlain && body !== `whole answer to ${id}`, `has a wrong body: ${body}`],
		// A replica that doubles its answers gives a stream's caller the whole text in place of events
		[isServed && !isPlain && !isInOrder(body) && body !== `whole answer to ${id}`, `has lost or doubled events: ${body}`],
		[status >= 300 && status < 500 && !promises.has(status), `was answered ${status}`],
	];
	for (const [isBroken, text] of rules) {
		if (isBroken) {
			return `${id} ${path} ${text}`;
		}
	}

	return undefined;
}

/** Runs by request, from what the replicas saw. */
export function countRuns({log}: Bed): ReadonlyMap<string, number> {
	const runs = new Map<string, number>();
	for (const {request} of log.runs) {
		runs.set(request, (runs.get(request) ?? 0) + 1);
	}

	return runs;
}

/** As the settings of the hosts have it. */
const retryBound = {ratio: 0.2, allowance: 58, windowMs: 10_000};
/** Requests of these callers; those of the checks behind the last fault are not counted. */
const countedId = /^[rs]\d/v;

/** Services whose repeats exceed the retry budget in some window. */
export function findExcessRepeats({log, replicas}: Bed, sent: readonly Sent[], streamsSentAt: readonly number[]): string[] {
	const plainIds = new Set(replicas.filter(({stage}) => stage === undefined).map(({id}) => id));
	return ['plain', 'model'].flatMap(service => {
		const isPlain = service === 'plain';
		const arrivals = log.arrivals.filter(({replica, request}) => plainIds.has(replica) === isPlain && countedId.test(request));
		const requests = sent.filter(({path}) => (path === '/once/1' || path === '/repeatable/1') === isPlain).map(({sentAt}) => sentAt);
		const {repeats, allowed} = findWorstWindow(arrivals, isPlain ? requests : [...requests, ...streamsSentAt], retryBound);
		return repeats > allowed ? [`${service}: ${repeats} repeats in ${retryBound.windowMs} ms, ${allowed} allowed`] : [];
	});
}

/** Interval between two streams that their callers resume, in milliseconds. */
const streamGapMs = 25;
/** Chance of a caller to close its connection in the middle of a stream. */
const leaveShare = 0.3;
const maxResumptions = 4;
/** Attempts of a patient caller that no host answers, and the pause after each, in milliseconds: longer than all hosts are away. */
const maxUnanswered = 20;
const unansweredPauseMs = 250;

/** Streams of callers that resume them. */
export type StreamReport = {
	readonly streams: number;
	/** Attempts that resumed a stream, and those after which it had more events or was complete. */
	readonly resumed: number;
	readonly goneOn: number;
	/** When their attempts were sent. */
	readonly sentAt: readonly number[];
	/** Each broken promise, in a sentence. */
	readonly broken: readonly string[];
	readonly attempts: readonly Attempt[];
};

/** How long streams are played, and by whom. */
export type StreamPlan = {
	readonly isOver: () => boolean;
	/** Whether callers retry while all hosts are down. */
	readonly isPatient: boolean;
};

/** A stream that its caller resumes at one host after the other. Its connections stay in use until their process is gone. */
async function playStream({hosts, firstEventListeners, events}: Bed, name: string, random: Random, agent: Agent, isPatient: boolean): Promise<Omit<StreamReport, 'streams'>> {
	const caller = new StreamCaller(name, undefined, agent);
	caller.leavesAt = random.next() < leaveShare ? 1 + Math.floor(random.next() * 4) : Number.POSITIVE_INFINITY;
	const host = pickHost(random, hosts);
	const attemptHosts = [host];
	await caller.begin(host.caller);
	if (caller.events.length > 0) {
		firstEventListeners.shift()?.(host);
	}

	await caller.ended;
	let resumed = 0;
	let goneOn = 0;
	let answered = 0;
	while (answered < maxResumptions && resumed < answered + maxUnanswered && !caller.isComplete && caller.events.length > 0) {
		const before = caller.events.length;
		caller.leavesAt = random.next() < leaveShare ? before + 1 : Number.POSITIVE_INFINITY;
		const next = pickHost(random, hosts);
		attemptHosts.push(next);
		const {status, retryAfterMs} = await caller.resumeOnce(next.caller);
		const isAnswered = status !== 0 || !isPatient;
		resumed += 1;
		answered += isAnswered ? 1 : 0;
		goneOn += caller.events.length > before ? 1 : 0;
		await pause(retryAfterMs ?? (isAnswered ? 0 : unansweredPauseMs));
	}

	events.addStream(caller);
	const broken = [
		...(caller.hasGivenUp ? [`${name} had neither an answer nor its end`] : []),
		...(caller.versions.size > 1 ? [`${name} has events of the versions ${[...caller.versions].join(', ')}`] : []),
		...(caller.isInOrder ? [] : [`${name} has lost or doubled events: ${caller.events.map(({id}) => id).join(' ')}`]),
	];
	const attempts = caller.ends.map((end, index) => {
		const sentAt = caller.sentAt[index] ?? 0;
		return {
			...end, id: `${name}-${index}`, path: '/resumable/1', host: attemptHosts[index] ?? host, sentAt, endedAt: sentAt + end.tookMs, deadlineMs: caller.deadlineMs,
		};
	});
	return {
		resumed, goneOn, sentAt: caller.sentAt, broken, attempts,
	};
}

/** Plays streams at a steady pace until told that it is over. */
export async function playStreams(bed: Bed, seed: number, {isOver, isPatient}: StreamPlan): Promise<StreamReport> {
	const agent = new Agent({keepAlive: true});
	const random = seedRandom(seed);
	const playing: Array<Promise<Omit<StreamReport, 'streams'>>> = [];
	while (!isOver()) {
		playing.push(playStream(bed, `s${playing.length}`, random, agent, isPatient));
		await pause(streamGapMs);
	}

	const played = await Promise.all(playing);
	agent.destroy();
	const sum = (count: (each: Omit<StreamReport, 'streams'>) => number) => played.reduce((total, each) => total + count(each), 0);
	return {
		streams: played.length, resumed: sum(each => each.resumed), goneOn: sum(each => each.goneOn), sentAt: played.flatMap(each => each.sentAt), broken: played.flatMap(each => each.broken), attempts: played.flatMap(each => each.attempts),
	};
}

/** Streams that are begun, left and resumed after the last fault, and smallest share that goes on, relative to the new streams that begin meanwhile. */
const calmStreams = 40;
const leastShare = 0.95;
/** The same, where the hosts lose all memory in between. */
const leastShareAfterRestart = 0.5;
/** Fewer resumed streams show nothing. */
const fewestResumed = 12;

/** After the last fault, resumed streams go on about as often as new ones begin, where two replicas run their version; `restart` restarts the hosts between their attempts. No stream has events of two versions. */
export async function findLostStreams({hosts, replicas, events}: Bed, seed: number, restart?: () => Promise<void>): Promise<string[]> {
	const random = seedRandom(seed);
	const addresses = hosts.map(({caller}) => caller);
	const makeCallers = (name: string) => Array.from({length: calmStreams}, (_, index) => new StreamCaller(`${name}${restart === undefined ? '' : '-restarted'}-${index}`));
	const callers = makeCallers('calm');
	const brokenAt = new Map<StreamCaller, number>();
	await Promise.all(callers.map(async caller => {
		caller.leavesAt = 1;
		await caller.beginAt(pick(random, addresses) ?? '');
		await caller.ended;
		brokenAt.set(caller, performance.now());
	}));
	await restart?.();
	for (const caller of callers) {
		// New streams begin with their whole deadline: time that this one waits for others, and for the restart, does not count
		caller.deadlineMs += performance.now() - (brokenAt.get(caller) ?? 0);
	}

	const added = makeCallers('added');
	await Promise.all([...callers, ...added].map(async caller => {
		caller.leavesAt = Number.POSITIVE_INFINITY;
		await caller.resume([...shuffle(random, addresses), ...shuffle(random, addresses)]);
	}));
	for (const caller of [...callers, ...added]) {
		events.addStream(caller);
	}

	const isServedTwice = (caller: StreamCaller) => replicas.filter(({stage, softwareVersion}) => stage === 'decode' && softwareVersion !== undefined && caller.versions.has(softwareVersion)).length > 1;
	const counted = callers.filter(caller => isServedTwice(caller));
	const shareOf = (some: readonly StreamCaller[]) => some.filter(({isComplete}) => isComplete).length / Math.max(1, some.length);
	const least = restart === undefined ? leastShare : leastShareAfterRestart;
	const mixed = [...callers, ...added].filter(({versions}) => versions.size > 1).length;
	return [
		...(counted.length >= fewestResumed && shareOf(counted) < least * shareOf(added) ? [`${shareOf(counted)} of the resumed streams went on, ${shareOf(added)} of the new ones began${restart === undefined ? '' : ' after all hosts were restarted'}`] : []),
		...(mixed > 0 ? [`${mixed} streams have events of two versions`] : []),
	];
}
