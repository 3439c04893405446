/** Reads the settings file of a process. */
import {readFileSync} from 'node:fs';
import {Failure, fail} from '@gatehead/schema/failure';
import {errorCode} from './error-code.js';

/** Maximum time in milliseconds for which a start waits until the file is written. */
export const settingsWaitMs = 10_000;

/** Errors of a path at which no file will appear by itself. */
const lastingErrors = new Set(['EISDIR', 'ENOTDIR', 'ELOOP', 'ENAMETOOLONG']);

/** Reads a JSON file. Throws `fileUnreadable`, also if it is not JSON: it may not be written completely yet. */
export function readJsonFile(path: string): unknown {
	try {
		return JSON.parse(readFileSync(path, 'utf8'));
	} catch (error) {
		return fail('fileUnreadable', {detail: path, cause: error});
	}
}

/** Whether a file that could not be read may be written yet. */
export function canBeWritten(error: unknown): boolean {
	return error instanceof Failure && error.code === 'fileUnreadable' && !lastingErrors.has(errorCode(error));
}
