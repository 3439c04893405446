/** How a host process ended, and whether the soak had asked it to. */
import {toTime} from './event-log.js';

/**
 * `expected`: a signal of the soak ended it as planned.
 * `overdue`: it was there at the end of the grace period of a stop, and was killed.
 * `beforeHandlers`: a signal of the soak ended it before the program had its handlers; no code can prevent that.
 * `unasked`: everything else.
 */
export type ExitCause = 'expected' | 'overdue' | 'beforeHandlers' | 'unasked';

/** A signal that the soak sent to a process. */
export type SentSignal = {
	readonly signal: NodeJS.Signals;
	/** Whether the process handled reloads by then. */
	readonly isHandled: boolean;
	/** On this process's steady clock, in milliseconds. */
	readonly at: number;
	/** Whether it was sent because the grace period of a stop was over. */
	readonly isGraceOver?: boolean;
};

/** A time for which a process stands still, from the begin of its stop on, in milliseconds. */
export type Standstill = {
	readonly atMs: number;
	readonly lastsMs: number;
};

/** One end of a process. */
export type HostExit = {
	readonly cause: ExitCause;
	/** Undefined: a signal ended the process, or it did not start. */
	readonly code: number | undefined;
	readonly signal: NodeJS.Signals | undefined;
	readonly uptimeMs: number;
	/** When its stop began, on this process's steady clock, in milliseconds; undefined: it was not to stop. */
	readonly stoppedAt?: number | undefined;
	/** Standstills of the process that lasted into its stop. */
	readonly standstills?: readonly Standstill[];
	/** Names of the last lines that are due and did not arrive. */
	readonly missing?: readonly string[];
	/** Last lines of its log. */
	readonly lastLines: readonly string[];
};

/** Names of the lines that each process leaves whose stop ends by itself. */
const lastLines = ['stopped', 'processEnded'] as const;
const holds: ReadonlySet<string> = new Set(['SIGSTOP', 'SIGCONT']);
const stops: ReadonlySet<string> = new Set(['SIGTERM', 'SIGINT']);
/** Signals that end a process without a handler. */
const handledSignals: ReadonlySet<string> = new Set([...stops, 'SIGHUP']);

/** Why a process ended that was sent these signals in its life. */
export function findExitCause(sent: readonly SentSignal[], {code, signal}: Pick<HostExit, 'code' | 'signal'>): ExitCause {
	const ending = sent.filter(each => each.signal === signal);
	if (signal === 'SIGKILL' && ending.length > 0) {
		return ending[0]?.isGraceOver === true ? 'overdue' : 'expected';
	}

	if (code === 0 && sent.some(each => stops.has(each.signal))) {
		return 'expected';
	}

	const isEarly = signal !== undefined && handledSignals.has(signal) && ending.length > 0 && sent.every(({isHandled}) => !isHandled);
	return isEarly ? 'beforeHandlers' : 'unasked';
}

/** When the first signal to stop was sent; undefined: none was. */
export function findStop(sent: readonly SentSignal[]): number | undefined {
	return sent.find(({signal}) => stops.has(signal))?.at;
}

/** Names of the last lines that a process that was stopped did not leave; none are due if its start had not ended. */
export function findMissingLines(log: string, stoppedAt: number | undefined): string[] {
	const isDue = stoppedAt !== undefined && log.includes('"started"');
	return lastLines.filter(name => isDue && !log.includes(`"${name}"`));
}

/** Times for which signals made a process stand still, of those that lasted into its stop. */
export function listStandstills(sent: readonly SentSignal[], stoppedAt: number, endedAt: number): Standstill[] {
	const held = sent.filter(({signal}, index) => signal === 'SIGSTOP' && sent.slice(0, index).findLast(each => holds.has(each.signal))?.signal !== 'SIGSTOP');
	return held.map(({at}) => {
		const goesOnAt = sent.find(each => each.signal === 'SIGCONT' && each.at >= at)?.at ?? endedAt;
		return {atMs: at - stoppedAt, lastsMs: goesOnAt - at};
	}).filter(({atMs, lastsMs}) => atMs + lastsMs > 0);
}

/** An end in one line. */
export function describeExit({cause, code, signal, uptimeMs, stoppedAt, standstills = [], lastLines}: HostExit): string {
	const stop = stoppedAt === undefined ? '' : `stopped at ${toTime(stoppedAt)}, standstills: ${standstills.map(({atMs, lastsMs}) => `${Math.round(lastsMs)} ms from ${Math.round(atMs)} ms on`).join(', ') || 'none'}, `;
	return `${cause}: code ${code ?? 'none'}, signal ${signal ?? 'none'}, after ${Math.round(uptimeMs)} ms, ${stop}last lines: ${lastLines.join(' | ')}`;
}
