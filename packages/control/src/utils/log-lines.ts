/** Reads log lines of many processes from files or standard input. A line may stand behind other words, as where a collector puts a time and a name before it. Neither safety nor efficiency rests here. */
import {readFileSync} from 'node:fs';
import {z} from 'zod';
import {fail} from '@gatehead/schema/failure';

/** Fields that every line has; each kind of line has more. */
export const logLine = z.looseObject({
	name: z.string(), code: z.number(), host: z.string(), at: z.number().optional(), time: z.string().optional(),
});

/** One line of a log. */
export type LogLine = z.infer<typeof logLine>;

/** A line's content, or undefined where it is none. */
export function parseLine(text: string): LogLine | undefined {
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		return logLine.safeParse(JSON.parse(text.slice(start))).data;
	} catch {
		// Other programs' lines stand in the same file
		return undefined;
	}
}

/** All lines of some files, `-` for standard input, in the order of their wall time. */
export function readLines(files: readonly string[]): LogLine[] {
	const lines: LogLine[] = [];
	for (const file of files) {
		let text: string;
		try {
			text = readFileSync(file === '-' ? 0 : file, 'utf8');
		} catch (error) {
			fail('fileUnreadable', {detail: file, cause: error});
		}

		for (const row of text.split('\n')) {
			const line = parseLine(row);
			if (line !== undefined) {
				lines.push(line);
			}
		}
	}

	return lines.toSorted((left, right) => ((left.time ?? '') < (right.time ?? '') ? -1 : 1));
}

/** A field as text; empty where the line has none. */
export function textOf(line: LogLine, field: string): string {
	const value = line[field];
	return typeof value === 'string' || typeof value === 'number' || typeof value === 'boolean' ? String(value) : '';
}
