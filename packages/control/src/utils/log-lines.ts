/** Reads JSON log lines from files or standard input. Text before the first `{` of a line, such as a log collector's prefix, is skipped. */
import {readFileSync} from 'node:fs';
import {z} from 'zod';
import {fail} from '@gatehead/schema/failure';

/** Common fields of log lines; other fields depend on `name`. */
export const logLine = z.looseObject({
	name: z.string(), code: z.number(), host: z.string(), at: z.number().optional(), time: z.string().optional(),
});

/** A parsed log line. */
export type LogLine = z.infer<typeof logLine>;

/** Parses a log line; undefined if it is not one. */
export function parseLine(text: string): LogLine | undefined {
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		return logLine.safeParse(JSON.parse(text.slice(start))).data;
	} catch {
		// The file may contain lines of other programs
		return undefined;
	}
}

/** Reads the log lines of files (`-` for standard input), ordered by wall-clock time. */
export function readLines(files: readonly string[]): LogLine[] {
	const lines: LogLine[] = [];
	for (const file of files) {
		let text: string;
		try {
			text = readFileSync(file === '-' ? 0 : file, 'utf8');
		} catch (error) {
			fail('fileUnreadable', {detail: file, cause: error});
		}

		for (const rawLine of text.split('\n')) {
			const line = parseLine(rawLine);
			if (line !== undefined) {
				lines.push(line);
			}
		}
	}

	return lines.toSorted((left, right) => ((left.time ?? '') < (right.time ?? '') ? -1 : 1));
}

/** A field as text; empty if missing or not a primitive. */
export function fieldText(line: LogLine, field: string): string {
	const value = line[field];
	return typeof value === 'string' || typeof value === 'number' || typeof value === 'boolean' ? String(value) : '';
}
