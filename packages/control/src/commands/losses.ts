/**
 * `gateheadctl losses`: which requests were not served in time, at which
 * moments and why, as the hosts' logs tell it. Neither safety nor efficiency
 * rests here.
 */
import {printJson, printTable, exitCodes} from '../utils/output.js';
import {readLines, textOf, type LogLine} from '../utils/log-lines.js';

/** Share of the target above which one step of a request's way is named as the cause of a late first event. */
const leastShare = 0.3;
const millisecondsPerSecond = 1000;
const leastErrorStatus = 400;

/** Why a request was not served in time. */
export type Loss
	= | 'refused'
		| 'refusedAfterWait'
		| 'waitedForMemory'
		| 'promptReadLate'
		| 'sentAgain'
		| 'slowEndpoint'
		| 'pause'
		| 'endpointLost'
		| 'endpointError'
		| 'callerCameBack'
		| 'callerLeft'
		| 'outcomeUnknown'
		| 'noEnd';

/** One request that was not served in time; `at` is its arrival, in seconds since the epoch. */
export type LostRequest = {
	readonly at: number;
	readonly service: string;
	readonly loss: Loss;
};

function numberOf(line: LogLine | undefined, field: string): number {
	const value = line?.[field];
	return typeof value === 'number' ? value : 0;
}

/** Whether any step of a request's way says so. */
type Test = (steps: readonly LogLine[], targetMs: number) => boolean;

/** Causes of a late first event, in the order in which they are looked for. */
const lateCauses: ReadonlyArray<readonly [Loss, Test]> = [
	['endpointLost', steps => steps.some(({name}) => name === 'continued')],
	['waitedForMemory', (steps, targetMs) => numberOf(steps.find(({name}) => name === 'reserved'), 'waitedMs') > leastShare * targetMs],
	['promptReadLate', (steps, targetMs) => numberOf(steps.find(({name}) => name === 'prefilled'), 'tookMs') > leastShare * targetMs],
	['sentAgain', steps => steps.some(({name}) => name === 'sentAgain')],
];

function explainLate(steps: readonly LogLine[], targetMs: number): Loss {
	for (const [loss, isCause] of lateCauses) {
		if (isCause(steps, targetMs)) {
			return loss;
		}
	}

	return 'slowEndpoint';
}

/** What became of a request, by the outcome that its last line names; undefined: it was served in time. */
const outcomes: Readonly<Record<string, (end: LogLine, steps: readonly LogLine[]) => Loss | undefined>> = {
	answered(end, steps) {
		const targetMs = numberOf(end, 'targetMs');
		if (numberOf(end, 'status') >= leastErrorStatus) {
			return 'endpointError';
		}

		if (end.secondTry === true) {
			return 'callerCameBack';
		}

		if (numberOf(end, 'firstByteMs') > targetMs) {
			return explainLate(steps, targetMs);
		}

		const isPaused = numberOf(end, 'longestGapMs') > (numberOf(end, 'gapTargetMs') || Number.POSITIVE_INFINITY);
		return isPaused ? (steps.some(({name}) => name === 'continued') ? 'endpointLost' : 'pause') : undefined;
	},
	refused: end => (end.name === 'overloaded' ? (numberOf(end, 'tookMs') > leastShare * numberOf(end, 'targetMs') ? 'refusedAfterWait' : 'refused') : 'outcomeUnknown'),
	brokenOff: () => 'endpointLost',
	callerLeft: () => 'callerLeft',
};

/** The loss of one request, from its lines; undefined where it was served in time. */
export function findLoss(steps: readonly LogLine[]): LostRequest | undefined {
	const end = steps.findLast(({route, tookMs}) => route !== undefined && tookMs !== undefined);
	const last = end ?? steps.at(-1);
	if (last === undefined) {
		return undefined;
	}

	const loss = end === undefined ? 'noEnd' : outcomes[textOf(end, 'outcome')]?.(end, steps);
	const endAt = Date.parse(textOf(last, 'time')) / millisecondsPerSecond;
	return loss === undefined ? undefined : {at: endAt - (numberOf(end, 'tookMs') / millisecondsPerSecond), service: textOf(last, 'service'), loss};
}

/** Lines by the request that they concern; requests that were refused before they had a route are left out. */
function groupByRequest(lines: readonly LogLine[]): Iterable<LogLine[]> {
	const requests = new Map<string, LogLine[]>();
	for (const line of lines) {
		const id = textOf(line, 'request');
		if (id === '' || (line.name === 'requestEnded' && line.route === undefined)) {
			continue;
		}

		const steps = requests.get(id) ?? [];
		steps.push(line);
		requests.set(id, steps);
	}

	return requests.values();
}

/** Losses of one service in one span of time, counted by cause. */
export type LossCount = {
	readonly from: number;
	readonly service: string;
	readonly losses: Partial<Record<Loss, number>>;
};

/** Counts the losses of spans of so many seconds, in the order of time and service. */
export function countLosses(lines: readonly LogLine[], everyS: number): LossCount[] {
	const counts = new Map<string, LossCount>();
	for (const steps of groupByRequest(lines)) {
		const lost = findLoss(steps);
		if (lost === undefined) {
			continue;
		}

		const from = Math.floor(lost.at / everyS) * everyS;
		const key = `${from} ${lost.service}`;
		const count = counts.get(key) ?? {from, service: lost.service, losses: {}};
		count.losses[lost.loss] = (count.losses[lost.loss] ?? 0) + 1;
		counts.set(key, count);
	}

	return [...counts.values()].toSorted((left, right) => left.from - right.from || (left.service < right.service ? -1 : 1));
}

/** Prints what was lost, where and why. */
export function showLosses(files: readonly string[], everyS: number, isJson: boolean): number {
	const counts = countLosses(readLines(files), everyS);
	if (isJson) {
		printJson(counts);
		return exitCodes.well;
	}

	printTable(['from', 'service', 'not in time', 'causes'], counts.map(({from, service, losses}) => {
		const causes = Object.entries(losses).toSorted(([, left], [, right]) => right - left);
		const sum = causes.reduce((total, [, count]) => total + count, 0);
		return [new Date(from * millisecondsPerSecond).toISOString().slice(11, 19), service === '' ? '-' : service, String(sum), causes.map(([loss, count]) => `${loss} ${count}`).join(', ')];
	}));
	return exitCodes.well;
}
