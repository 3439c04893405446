/** Syntax of a response outside its body (RFC 9112, section 4). Node's parser accepts control characters in a reason phrase. */
import {type IncomingMessage} from 'node:http';

/** Control characters but for the tab; bytes from 0x80 on are allowed. */
const controlCharacter = /[\p{Cc}--[\t\u{80}-\u{9F}]]/v;

/** Describes what is malformed in the head of a response; undefined if nothing is. */
export function findHeadFault({statusMessage = ''}: Pick<IncomingMessage, 'statusMessage'>): string | undefined {
	return controlCharacter.test(statusMessage) ? 'the reason phrase has a control character' : undefined;
}
