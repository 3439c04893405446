/** JSON lines by winston: a line only for a change of state, each with its numbered code. Never a token or a prompt. Neither safety nor efficiency rests here. */
import process from 'node:process';
import {createLogger, format, transports} from 'winston';
import {codes, type Code} from '@gatehead/schema/codes';
import {type Settings} from '@gatehead/schema/settings';

/** Facts that go with a line. */
export type LogFacts = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes one line for a change of state. */
export type Log = (code: Code, facts?: LogFacts) => void;

/** Codes that somebody should look at. */
const alarms = new Set<Code>(['bundleSignature', 'bundleConflict', 'bundleInvalid', 'orderFenced', 'peerRefused', 'internal']);
const warnings = new Set<Code>(['bundleOlder', 'configurationDown', 'memberSuspect', 'memberDead', 'lateWake', 'endpointSuspect', 'orphanCancelled', 'endpointFault', 'directoryLost', 'endpointPaused', 'answerLost', 'timeoutSpent', 'streamBroken', 'attemptsSpent', 'overloaded', 'endpointsDown', 'linesLeftOut', 'directoryUnreadable', 'keysOutdatedSince', 'quotaKeeperSilent', 'directoryUnconfirmed', 'directoryRestored', 'sentToLeaving']);

/** How loud a code is. */
export function levelOf(code: Code): 'error' | 'warn' | 'info' {
	if (alarms.has(code)) {
		return 'error';
	}

	return warnings.has(code) ? 'warn' : 'info';
}

/** Makes the log of one process, on standard error. */
export function openLog({host, hall, logLevel}: Settings): Log {
	const logger = createLogger({
		level: logLevel,
		defaultMeta: {host, hall},
		format: format.combine(format.timestamp(), format.json()),
		transports: [new transports.Stream({stream: process.stderr})],
	});
	return (code, facts = {}) => {
		logger.log({
			level: levelOf(code), message: codes[code].advice, code: codes[code].number, name: code, ...facts,
		});
	};
}
