/** Validates external data against a schema and reports all errors at once. Safety: invalid data is rejected. */
import {type z} from 'zod';
import {type Code} from './codes.js';
import {fail} from './failure.js';

const maxValueLength = 60;

function valueAt(data: unknown, path: readonly PropertyKey[]): unknown {
	let value = data;
	for (const key of path) {
		if (typeof value !== 'object' || value === null) {
			return undefined;
		}

		value = Reflect.get(value, key);
	}

	return value;
}

/** Serializes a value; one that cannot be serialized, such as a too deeply nested array, is replaced by its type. */
function serializeValue(value: unknown): string {
	try {
		return JSON.stringify(value) ?? 'nothing';
	} catch {
		return typeof value;
	}
}

function describeValue(value: unknown): string {
	const text = serializeValue(value);
	return text.length > maxValueLength ? `${text.slice(0, maxValueLength)}…` : text;
}

/** Formats each issue as `PATH: found VALUE, expected: WHAT`; omits values if `secret` is set. */
export function describeFaults(error: z.ZodError, data: unknown, secret = false): string[] {
	const faults: string[] = [];
	for (const issue of error.issues) {
		const path = issue.path.map(String).join('.') || '(whole)';
		const found = secret ? '' : `found ${describeValue(valueAt(data, issue.path))}, `;
		faults.push(`${path}: ${found}expected: ${issue.message}`);
	}

	return faults;
}

/** Returns the validated value; throws `code` with all errors if it is invalid. */
export function check<Schema extends z.ZodType>(schema: Schema, data: unknown, code: Code, secret = false): z.infer<Schema> {
	const result = schema.safeParse(data);
	if (!result.success) {
		fail(code, {detail: describeFaults(result.error, data, secret).join('; ')});
	}

	return result.data;
}

/** Parses and validates JSON text; throws `code` if either fails. */
export function checkJson<Schema extends z.ZodType>(schema: Schema, text: string, code: Code): z.infer<Schema> {
	let data: unknown;
	try {
		data = JSON.parse(text);
	} catch (error) {
		fail(code, {detail: `not JSON: ${String(error)}`});
	}

	return check(schema, data, code);
}
