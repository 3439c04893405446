/** JSON text with sorted keys, so that equal values have equal text and digests. Safety: signatures cover this text. */
import {createHash} from 'node:crypto';

function sortKeys(value: unknown): unknown {
	if (Array.isArray(value)) {
		return value.map(each => sortKeys(each));
	}

	if (typeof value !== 'object' || value === null) {
		return value;
	}

	const entries = Object.entries(value).filter(([, inner]) => inner !== undefined);
	entries.sort(([left], [right]) => (left < right ? -1 : 1));
	return Object.fromEntries(entries.map(([key, inner]) => [key, sortKeys(inner)]));
}

/** Serializes a value as JSON with sorted keys. Properties that are undefined are omitted. */
export function toCanonicalJson(value: unknown): string {
	return JSON.stringify(sortKeys(value));
}

/** SHA-256 of a text, in hexadecimal. */
export function digestOf(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}
