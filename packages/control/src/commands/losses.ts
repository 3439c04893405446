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
		| 'share'
		| 'late'
		| 'callQueue'
		| 'unread'
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

/** Causes that the detail of a refusal names: beyond the workspace's share, no chance to be on time, no room at the endpoints of a plain service. */
const refusalDetails: Readonly<Record<string, Loss>> = {share: 'share', late: 'late', callQueue: 'callQueue'};

function classifyRefusal(end: LogLine): Loss {
	if (end.name !== 'overloaded') {
		return 'outcomeUnknown';
	}

	const isAtOnce = fieldNumber(end, 'tookMs') <= causeShare * fieldNumber(end, 'targetMs');
	return refusalDetails[fieldText(end, 'detail').split(':', 1)[0] ?? ''] ?? (isAtOnce ? 'refused' : 'refusedAfterWait');
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
	refused: end => classifyRefusal(end),
	brokenOff: () => 'endpointLost',
	callerLeft: () => 'callerLeft',
};

/** Final line of a request; undefined if its host was lost before. */
function findEnd(steps: readonly LogLine[]): LogLine | undefined {
	return steps.findLast(({route, tookMs}) => route !== undefined && tookMs !== undefined);
}

/** When a request arrived and for which service; undefined without lines. */
function findMoment(steps: readonly LogLine[]): Pick<LostRequest, 'at' | 'service'> | undefined {
	const end = findEnd(steps);
	const last = end ?? steps.at(-1);
	if (last === undefined) {
		return undefined;
	}

	const endAt = Date.parse(fieldText(last, 'time')) / millisecondsPerSecond;
	return {at: endAt - (fieldNumber(end, 'tookMs') / millisecondsPerSecond), service: fieldText(last, 'service')};
}

/** Classifies a request from its log lines; undefined if it was served in time. */
export function findLoss(steps: readonly LogLine[]): LostRequest | undefined {
	const moment = findMoment(steps);
	if (moment === undefined) {
		return undefined;
	}

	const end = findEnd(steps);
	const cause = end === undefined ? 'noEnd' : classifiers[fieldText(end, 'outcome')]?.(end, steps);
	// The line may follow the end, of a response that was ready before its caller read it
	const loss = steps.some(({name}) => name === 'callerUnread') ? 'unread' : cause;
	return loss === undefined ? undefined : {...moment, loss};
}

/** Why a prefill result was not used. */
export type PrefillWaste = 'decodeRefused' | 'decodeLost' | 'callerLeft' | 'notDecoded';

/** Causes of wasted prefills of a request, from its log lines: for each prompt that was read, what came of it before the next was. */
export function findWastedPrefills(steps: readonly LogLine[]): PrefillWaste[] {
	const reads = [...steps.keys()].filter(index => steps[index]?.name === 'prefilled' && steps[index]?.outcome === 'read');
	return reads.flatMap((index, order) => {
		const waste = classifyPrefill(steps.slice(index + 1, reads[order + 1]));
		return waste === undefined ? [] : [waste];
	});
}

/** Undefined if a decode replica used the result, or the lines do not show what came of it. */
function classifyPrefill(later: readonly LogLine[]): PrefillWaste | undefined {
	// A replica whose response began has used the result
	const failed = later.find(({name, step, reason}) => name === 'sendFailed' && step === 'decode' && reason !== 'cut');
	if (failed !== undefined) {
		return failed.outcome === 'notRun' ? 'decodeRefused' : 'decodeLost';
	}

	const end = findEnd(later);
	const hasBegun = fieldNumber(end, 'firstByteMs') > 0 || later.some(({name}) => name === 'continued');
	if (end === undefined || hasBegun || end.outcome === 'answered') {
		return undefined;
	}

	return end.outcome === 'callerLeft' ? 'callerLeft' : 'notDecoded';
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
	/** Prefills whose result was not used, by cause, of all requests that ended in the interval. */
	readonly wastedPrefills: Partial<Record<PrefillWaste, number>>;
};

/** Counts losses and wasted prefills in intervals of `everyS` seconds, ordered by time and service. */
export function countLosses(lines: readonly LogLine[], everyS: number): LossCount[] {
	const counts = new Map<string, LossCount>();
	for (const steps of groupByRequest(lines)) {
		const lost = findLoss(steps);
		const wastes = findWastedPrefills(steps);
		const moment = findMoment(steps);
		if (moment === undefined || (lost === undefined && wastes.length === 0)) {
			continue;
		}

		const {at, service} = moment;
		const from = Math.floor(at / everyS) * everyS;
		const key = `${from} ${service}`;
		const count = counts.get(key) ?? {
			from, service, losses: {}, wastedPrefills: {},
		};
		if (lost !== undefined) {
			count.losses[lost.loss] = (count.losses[lost.loss] ?? 0) + 1;
		}

		for (const waste of wastes) {
			count.wastedPrefills[waste] = (count.wastedPrefills[waste] ?? 0) + 1;
		}

		counts.set(key, count);
	}

	return [...counts.values()].toSorted((left, right) => left.from - right.from || (left.service < right.service ? -1 : 1));
}

function describeCounts(counts: Readonly<Partial<Record<string, number>>>): string {
	const causes = Object.entries(counts).map(([cause, count = 0]) => ({cause, count}));
	return causes.toSorted((left, right) => right.count - left.count).map(({cause, count}) => `${cause} ${count}`).join(', ');
}

/** Prints the loss counts of log files. */
export function showLosses(files: readonly string[], everyS: number, isJson: boolean): number {
	const counts = countLosses(readLines(files), everyS);
	if (isJson) {
		printJson(counts);
		return exitCodes.ok;
	}

	printTable(['from', 'service', 'not in time', 'causes', 'wasted prefills'], counts.map(({from, service, losses, wastedPrefills}) => {
		const sum = Object.values(losses).reduce((total, count) => total + count, 0);
		return [new Date(from * millisecondsPerSecond).toISOString().slice(11, 19), service === '' ? '-' : service, String(sum), describeCounts(losses), describeCounts(wastedPrefills)];
	}));
	return exitCodes.ok;
}
