/** JSON log on standard error. Lines have a numbered code and report changes of state; they never contain prompts or generated tokens. */
import process from 'node:process';
import {createLogger, format, transports} from 'winston';
import {codes, type Code} from '@gatehead/schema/codes';
import {type Settings} from '@gatehead/schema/settings';
import {BoundedOutput} from './bounded-output.js';

/** Bytes of lines that wait for a slow reader. */
const maxBufferedBytes = 1_000_000;

/** Additional fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes one log line. */
export type Log = (code: Code, fields?: LogFields) => void;

/** Codes logged as errors, which need an operator's attention. */
const errorCodes = new Set<Code>(['bundleSignature', 'bundleConflict', 'bundleInvalid', 'orderFenced', 'peerRefused', 'routingRejected', 'internal']);
const warningCodes = new Set<Code>(['bundleOlder', 'configurationDown', 'memberSuspect', 'memberDead', 'lateWake', 'endpointSuspect', 'orphanCancelled', 'endpointFault', 'directoryLost', 'endpointPaused', 'answerLost', 'timeoutSpent', 'streamBroken', 'attemptsSpent', 'overloaded', 'endpointsDown', 'linesLeftOut', 'directoryUnreadable', 'keysOutdatedSince', 'quotaKeeperSilent', 'directoryUnconfirmed', 'directoryRestored', 'sentToLeaving', 'endpointsUnreachable', 'startWaiting', 'acceptFailed', 'eventLoopDelayed']);

/** Log level of a code. */
export function getLogLevel(code: Code): 'error' | 'warn' | 'info' {
	if (errorCodes.has(code)) {
		return 'error';
	}

	return warningCodes.has(code) ? 'warn' : 'info';
}

/** Creates the log of one process, which drops lines that nobody reads. */
export function createLog({host, hall, logLevel}: Settings): Log {
	const logger = createLogger({
		level: logLevel,
		defaultMeta: {host, hall},
		format: format.combine(format.timestamp(), format.json()),
		transports: [new transports.Stream({stream: new BoundedOutput(process.stderr, maxBufferedBytes)})],
	});
	return (code, fields = {}) => {
		logger.log({
			level: getLogLevel(code), message: codes[code].advice, code: codes[code].number, name: code, ...fields,
		});
	};
}
