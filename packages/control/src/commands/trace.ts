/** The `gateheadctl trace` and `gateheadctl logs` commands: the log lines of a request with the cause of its outcome, and filtered log lines. */
import {
	exitCodes, print, printJson, printTable,
} from '../utils/output.js';
import {readLines, fieldText, type LogLine} from '../utils/log-lines.js';

/** Fields that are common to all lines, or shown in other columns. */
const commonFields: ReadonlySet<string> = new Set(['name', 'code', 'host', 'hall', 'level', 'message', 'time', 'at', 'request']);

/** Describes the cause of a request's outcome in a sentence. */
type CauseFormatter = (end: LogLine, steps: readonly LogLine[]) => string;

function describeLastFailure(steps: readonly LogLine[]): string {
	const failed = steps.findLast(({name}) => name === 'sendFailed');
	return failed === undefined ? 'no send failed' : `the last send (${fieldText(failed, 'step')}) to ${fieldText(failed, 'endpoint')} failed with outcome ${fieldText(failed, 'outcome')}: ${fieldText(failed, 'reason')}`;
}

/** Formatters by the name of the request's final log line. */
const causeFormatters: Readonly<Record<string, CauseFormatter>> = {
	overloaded: (end, steps) => `Refused, not run: no decode memory available in time (${fieldText(end, 'detail') || describeLastFailure(steps)}).`,
	endpointsDown: (_end, steps) => `Refused, not run: no endpoint accepted it; ${describeLastFailure(steps)}.`,
	answerLost: (_end, steps) => `Outcome unknown: it may have run, but its response was lost; ${describeLastFailure(steps)}.`,
	timeoutSpent: (end, steps) => `Outcome unknown: the timeout of the caller or route expired (after ${fieldText(end, 'tookMs')} ms); ${describeLastFailure(steps)}.`,
	contentHeld: end => `Refused, not run: endpoints crashed while running its content (${fieldText(end, 'detail')}); see contentHeldSince.`,
	streamBroken: (end, steps) => `Interrupted: the stream of ${fieldText(end, 'endpoint')} ended early (${fieldText(end, 'detail')}) and could not be resumed; ${describeLastFailure(steps)}.`,
	requestEnded: end => describeOutcome(end),
};

/** Formatters for refused requests, by the `reason` of the final log line. */
const refusalFormatters: Readonly<Record<string, (end: LogLine) => string>> = {
	callerUnknown: end => `Refused, not run: its key was missing, unknown or revoked in configuration ${fieldText(end, 'version')}.`,
	keysOutdated: end => `Refused, not run: the host could not verify that its list of keys was current (last confirmed ${fieldText(end, 'evidenceAgeMs')} ms earlier).`,
	contentHeld: end => `Refused, not run: endpoints crashed while running its content (${fieldText(end, 'detail')}); see contentHeldSince.`,
	quotaSpent: end => `Refused, not run: the quota of its workspace was exhausted (${fieldText(end, 'detail')}).`,
};

function describeOutcome(end: LogLine): string {
	const outcomes: Readonly<Record<string, string>> = {
		answered: `Answered by ${fieldText(end, 'endpoint')} with status ${fieldText(end, 'status')}; first byte after ${fieldText(end, 'firstByteMs')} ms, complete after ${fieldText(end, 'tookMs')} ms.`,
		callerLeft: `The caller disconnected after ${fieldText(end, 'tookMs')} ms.`,
		refused: refusalFormatters[fieldText(end, 'reason')]?.(end) ?? `Refused before routing: ${fieldText(end, 'detail')}.`,
	};
	return outcomes[fieldText(end, 'outcome')] ?? `Ended: ${fieldText(end, 'outcome')}.`;
}

/** Formats the fields of a line other than the common ones. */
function formatFields(line: LogLine): string {
	return Object.entries(line).filter(([field]) => !commonFields.has(field)).map(([field, value]) => `${field}=${String(value)}`).join(' ');
}

function isFinalLine({name, tookMs}: LogLine): boolean {
	return tookMs !== undefined && Object.hasOwn(causeFormatters, name);
}

/** Describes the cause of a request's outcome from its log lines. */
export function explainEnd(steps: readonly LogLine[]): string {
	const end = steps.findLast(line => isFinalLine(line));
	if (end === undefined) {
		return 'No final log line: the host was lost, or the line was dropped (see linesLeftOut).';
	}

	return causeFormatters[end.name]?.(end, steps) ?? '';
}

/** Prints the log lines of a request and the cause of its outcome; exit code 1 if there are none. */
export function traceRequest(id: string, files: readonly string[], isJson: boolean): number {
	const steps = readLines(files).filter(line => fieldText(line, 'request') === id);
	const cause = steps.length === 0 ? `No log line has the request id ${id}.` : explainEnd(steps);
	if (isJson) {
		printJson({id, steps, cause});
	} else {
		printTable(['time', 'host', 'step', 'fields'], steps.map(line => [fieldText(line, 'time').slice(11, 23), line.host, `${line.code} ${line.name}`, formatFields(line)]));
		print(cause);
	}

	return steps.length === 0 ? exitCodes.negative : exitCodes.ok;
}

/** Criteria that a line must meet. */
export type LineFilter = {
	readonly code?: string;
	readonly host?: string;
	readonly endpoint?: string;
	readonly workspace?: string;
	/** Prefix of the content's digest. */
	readonly content?: string;
};

/** Endpoint ids in lines include the start time; an id without one matches every start. */
function isEndpointMatch(start: string, wanted: string): boolean {
	return start === wanted || start.startsWith(`${wanted}@`);
}

function matchesFilter(line: LogLine, {code, host, endpoint, workspace, content = ''}: LineFilter): boolean {
	return (code === undefined || line.name === code || String(line.code) === code)
		&& (host === undefined || line.host === host)
		&& (endpoint === undefined || isEndpointMatch(fieldText(line, 'endpoint'), endpoint))
		&& (workspace === undefined || fieldText(line, 'workspace') === workspace || fieldText(line, 'service') === workspace || fieldText(line, 'caller') === workspace)
		&& fieldText(line, 'content').startsWith(content);
}

/** Prints the log lines that match the filter. */
export function filterLines(files: readonly string[], filter: LineFilter, isJson: boolean): number {
	const lines = readLines(files).filter(line => matchesFilter(line, filter));
	if (isJson) {
		printJson(lines);
	} else {
		printTable(['time', 'host', 'code', 'request', 'fields'], lines.map(line => [fieldText(line, 'time').slice(11, 23), line.host, `${line.code} ${line.name}`, fieldText(line, 'request'), formatFields(line)]));
	}

	return exitCodes.ok;
}
