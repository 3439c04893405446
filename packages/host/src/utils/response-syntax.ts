/**
 * Syntax of a response outside its body (RFC 9110, section 5.6.2, and RFC 9112,
 * sections 4 and 5). Safety: what Node's parser accepts depends on its version,
 * and it accepts control characters in a reason phrase.
 */
import {type IncomingMessage} from 'node:http';

/** Options of each request whose response is read. Without them, the process decides: `--insecure-http-parser`, also in NODE_OPTIONS, lets malformed fields pass. */
export const parserOptions = {insecureHTTPParser: false} as const;

const token = /^[!#-'*+\-.^_`\|~\dA-Za-z]+$/v;
/** Control characters but for the tab; bytes from 0x80 on are allowed. */
const controlCharacter = /[\p{Cc}--[\t\u{80}-\u{9F}]]/v;

/** Describes the first malformed field of a list of alternating names and values; undefined if there is none. */
export function findFieldFault(fields: readonly string[]): string | undefined {
	for (const [index, text] of fields.entries()) {
		const isName = index % 2 === 0;
		if (isName && !token.test(text)) {
			return 'the name of a field is not a token';
		}

		if (!isName && controlCharacter.test(text)) {
			return 'the value of a field has a control character';
		}
	}

	return undefined;
}

/** Describes what is malformed in the head of a response; undefined if nothing is. */
export function findHeadFault({statusMessage = '', rawHeaders}: Pick<IncomingMessage, 'statusMessage' | 'rawHeaders'>): string | undefined {
	return controlCharacter.test(statusMessage) ? 'the reason phrase has a control character' : findFieldFault(rawHeaders);
}
