/**
 * What a request asks for, whoever carries it: its name is the same for each
 * try, at every host. Safety: a name that two contents share would have one
 * caller's request refused for another's, so it is a whole SHA-256, and the
 * caller's workspace is part of it.
 */
import {createHash} from 'node:crypto';
import {normalizeAuthority} from '@gatehead/policy/relay/route-table';

/** What makes two requests the same. */
export type ContentParts = {
	/** As the caller wrote it: port and case do not count. */
	readonly authority: string;
	readonly method: string;
	/** Path, with a query or without. */
	readonly target: string;
	/** Where no key is asked for, all callers are one. */
	readonly workspace: string | undefined;
	readonly body: Uint8Array | undefined;
};

/** One request's content. */
export class RequestContent {
	readonly #parts: ContentParts;
	#digest: string | undefined;

	constructor(parts: ContentParts) {
		this.#parts = parts;
	}

	/** Length of the body, in bytes. */
	get bytes(): number {
		return this.#parts.body?.length ?? 0;
	}

	/** The content's name, in hexadecimal. Worked out when it is first asked for, since hardly any request is. */
	get digest(): string {
		this.#digest ??= this.#work();
		return this.#digest;
	}

	#work(): string {
		const {authority, method, target, workspace, body} = this.#parts;
		// A body says what is asked; only without one does the query
		const place = this.bytes > 0 ? target.split('?', 1)[0] : target;
		const hash = createHash('sha256').update(JSON.stringify([normalizeAuthority(authority), method, place, workspace ?? null]));
		if (body !== undefined) {
			hash.update(body);
		}

		return hash.digest('hex');
	}
}
