/** Output of commands: tables, JSON, and errors with a code and advice. */
import process from 'node:process';
import {codes} from '@gatehead/schema/codes';
import {type Failure} from '@gatehead/schema/failure';

/** Exit codes: 0 success, 1 negative result such as a difference, a disagreement or an unreachable host, 2 invalid input or failed command. */
export const exitCodes = {ok: 0, negative: 1, invalid: 2} as const;

export function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

/** Prints a value as JSON. */
export function printJson(value: unknown): void {
	print(JSON.stringify(value, null, '\t'));
}

/** Prints rows as a table with aligned columns. */
export function printTable(headings: readonly string[], rows: ReadonlyArray<readonly string[]>): void {
	const lines = [headings, ...rows];
	const widths = headings.map((_, index) => Math.max(...lines.map(line => line[index]?.length ?? 0)));
	for (const line of lines) {
		print(line.map((text, index) => text.padEnd(widths[index] ?? 0)).join('  ').trimEnd());
	}
}

/** Prints a failure to standard error, one fault per line. */
export function printFailure({code, detail}: Failure): void {
	const {number, advice} = codes[code];
	const faults = detail === undefined ? '' : `\n  ${detail.replaceAll('; ', '\n  ')}`;
	process.stderr.write(`${number} ${code}: ${advice}${faults}\n`);
}
