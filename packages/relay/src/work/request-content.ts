/**
 * Identifies a request by its content: equal requests have equal digests in
 * every attempt and at every host. Safety: a collision would refuse one
 * caller's request because of another's, so the digest is a full SHA-256 and
 * covers the workspace.
 */
import {createHash} from 'node:crypto';
import {normalizeAuthority} from '@gatehead/policy/relay/route-table';

/** The parts of a request that identify it. */
export type ContentParts = {
	/** As sent by the caller; port and case are ignored. */
	readonly authority: string;
	readonly method: string;
	/** Path with optional query. */
	readonly target: string;
	/** Undefined if the route needs no key; such callers are not distinguished. */
	readonly workspace: string | undefined;
	readonly body: Uint8Array | undefined;
	/** Ids of the prompt's parts that other requests may share. */
	readonly sharedParts?: readonly string[];
};

export class RequestContent {
	readonly #parts: ContentParts;
	#digest: string | undefined;
	#partDigests: readonly string[] | undefined;
	#service = '';

	constructor(parts: ContentParts) {
		this.#parts = parts;
	}

	/** Length of the body, in bytes. */
	get bytes(): number {
		return this.#parts.body?.length ?? 0;
	}

	/** Hexadecimal digest, computed on first use because few requests need it. */
	get digest(): string {
		this.#digest ??= this.#computeDigest();
		return this.#digest;
	}

	/** Hexadecimal digests of the prompt's shared parts at a service, each once. The ids stay out of logs and messages. */
	listPartDigests(service: string): readonly string[] {
		if (this.#partDigests === undefined || this.#service !== service) {
			this.#service = service;
			this.#partDigests = [...new Set(this.#parts.sharedParts)].map(id => createHash('sha256').update(JSON.stringify([service, id])).digest('hex'));
		}

		return this.#partDigests;
	}

	#computeDigest(): string {
		const {authority, method, target, workspace, body} = this.#parts;
		// The query identifies a request only if there is no body
		const resource = this.bytes > 0 ? target.split('?', 1)[0] : target;
		const hash = createHash('sha256').update(JSON.stringify([normalizeAuthority(authority), method, resource, workspace ?? null]));
		if (body !== undefined) {
			hash.update(body);
		}

		return hash.digest('hex');
	}
}
