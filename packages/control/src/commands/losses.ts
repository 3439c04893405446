/** The `gateheadctl losses` command: counts requests that were not served in time, by time, service and cause, from log lines. */
import {printJson, printTable, exitCodes} from '../utils/output.js';
import {readLines, fieldText, type LogLine} from '../utils/log-lines.js';

/** Fraction of the target latency above which a wait or step counts as a cause of lateness. */
const causeShare = 0.3;
const millisecondsPerSecond = 1000;
const minErrorStatus = 400;

/** Why a request was not served in time; printed, and part of the JSON output. */
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

/** A request that was not served in time; `at` is its arrival time, in seconds since the epoch. */
export type LostRequest = {
	readonly at: number;
	readonly service: string;
	readonly loss: Loss;
};

function fieldNumber(line: LogLine | undefined, field: string): number {
	const value = line?.[field];
	return typeof value === 'number' ? value : 0;
}

/** Whether the log lines of a request show a cause. */
type CausePredicate = (steps: readonly LogLine[], targetMs: number) => boolean;

/** Causes of a late first byte; the first match applies. */
const lateFirstByteCauses: ReadonlyArray<readonly [Loss, CausePredicate]> = [
	['endpointLost', steps => steps.some(({name}) => name === 'continued')],
	['waitedForMemory', (steps, targetMs) => fieldNumber(steps.find(({name}) => name === 'reserved'), 'waitedMs') > causeShare * targetMs],
	['promptReadLate', (steps, targetMs) => fieldNumber(steps.find(({name}) => name === 'prefilled'), 'tookMs') > causeShare * targetMs],
	['sentAgain', steps => steps.some(({name}) => name === 'sentAgain')],
];

function classifyLateFirstByte(steps: readonly LogLine[], targetMs: number): Loss {
	for (const [loss, isCause] of lateFirstByteCauses) {
		if (isCause(steps, targetMs)) {
			return loss;
		}
	}

	return 'slowEndpoint';
}

/** Classifiers by the `outcome` of a request's final log line; undefined if it was served in time. */
const classifiers: Readonly<Record<string, (end: LogLine, steps: readonly LogLine[]) => Loss | undefined>> = {
	answered(end, steps) {
		const targetMs = fieldNumber(end, 'targetMs');
		if (fieldNumber(end, 'status') >= minErrorStatus) {
			return 'endpointError';
		}

		if (end.secondTry === true) {
			return 'callerCameBack';
		}

		if (fieldNumber(end, 'firstByteMs') > targetMs) {
			return classifyLateFirstByte(steps, targetMs);
		}

		const hasLongGap = fieldNumber(end, 'longestGapMs') > (fieldNumber(end, 'gapTargetMs') || Number.POSITIVE_INFINITY);
		return hasLongGap ? (steps.some(({name}) => name === 'continued') ? 'endpointLost' : 'pause') : undefined;
	},
	refused: end => (end.name === 'overloaded' ? (fieldNumber(end, 'tookMs') > causeShare * fieldNumber(end, 'targetMs') ? 'refusedAfterWait' : 'refused') : 'outcomeUnknown'),
	brokenOff: () => 'endpointLost',
	callerLeft: () => 'callerLeft',
};

/** Classifies a request from its log lines; undefined if it was served in time. */
export function findLoss(steps: readonly LogLine[]): LostRequest | undefined {
	const end = steps.findLast(({route, tookMs}) => route !== undefined && tookMs !== undefined);
	const last = end ?? steps.at(-1);
	if (last === undefined) {
		return undefined;
	}

	const loss = end === undefined ? 'noEnd' : classifiers[fieldText(end, 'outcome')]?.(end, steps);
	const endAt = Date.parse(fieldText(last, 'time')) / millisecondsPerSecond;
	return loss === undefined ? undefined : {at: endAt - (fieldNumber(end, 'tookMs') / millisecondsPerSecond), service: fieldText(last, 'service'), loss};
}

/** Groups lines by request, without the final lines of requests that were refused before routing. */
function groupByRequest(lines: readonly LogLine[]): Iterable<LogLine[]> {
	const requests = new Map<string, LogLine[]>();
	for (const line of lines) {
		const id = fieldText(line, 'request');
		if (id === '' || (line.name === 'requestEnded' && line.route === undefined)) {
			continue;
		}

		const steps = requests.get(id) ?? [];
		steps.push(line);
		requests.set(id, steps);
	}

	return requests.values();
}

/** Losses of a service in an interval, by cause; `from` is the start of the interval, in seconds since the epoch. */
export type LossCount = {
	readonly from: number;
	readonly service: string;
	readonly losses: Partial<Record<Loss, number>>;
};

/** Counts losses in intervals of `everyS` seconds, ordered by time and service. */
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

/** Prints the loss counts of log files. */
export function showLosses(files: readonly string[], everyS: number, isJson: boolean): number {
	const counts = countLosses(readLines(files), everyS);
	if (isJson) {
		printJson(counts);
		return exitCodes.ok;
	}

	printTable(['from', 'service', 'not in time', 'causes'], counts.map(({from, service, losses}) => {
		const causes = Object.entries(losses).toSorted(([, left], [, right]) => right - left);
		const sum = causes.reduce((total, [, count]) => total + count, 0);
		return [new Date(from * millisecondsPerSecond).toISOString().slice(11, 19), service === '' ? '-' : service, String(sum), causes.map(([loss, count]) => `${loss} ${count}`).join(', ')];
	}));
	return exitCodes.ok;
}
