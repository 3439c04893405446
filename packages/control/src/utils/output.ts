/** What commands print: tables for people, JSON for programs, and numbered errors that say what to do next. Neither safety nor efficiency rests here. */
import process from 'node:process';
import {codes} from '@gatehead/schema/codes';
import {type Failure} from '@gatehead/schema/failure';

/** Exit codes: 0 all well, 1 the answer is "no" or hosts disagree, 2 the command itself could not be carried out. */
export const exitCodes = {well: 0, no: 1, invalid: 2} as const;

/** Prints a line. */
export function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

/** Prints a value as JSON. */
export function printJson(value: unknown): void {
	print(JSON.stringify(value, null, '\t'));
}

/** Prints rows under their headings, padded. */
export function printTable(headings: readonly string[], rows: ReadonlyArray<readonly string[]>): void {
	const lines = [headings, ...rows];
	const widths = headings.map((_, index) => Math.max(...lines.map(line => line[index]?.length ?? 0)));
	for (const line of lines) {
		print(line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ').trimEnd());
	}
}

/** Prints a failure on standard error, one fault a line. */
export function printFailure({code, detail}: Failure): void {
	const {number, advice} = codes[code];
	const faults = detail === undefined ? '' : `\n  ${detail.replaceAll('; ', '\n  ')}`;
	process.stderr.write(`${number} ${code}: ${advice}${faults}\n`);
}
