/** Responses that break the syntax of HTTP outside their bodies. */
import {type Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';

/** Text of malformed lines, which no caller may get. */
export const malformedText = 'malformed';

/** Time between two parts of a response that is written in parts, in milliseconds. */
const partDelayMs = 2;

/** Parts of a sound response; each field ends with its line end. */
export type ResponseText = {readonly fields: string; readonly body: string};

/** A response in the order in which it is written; `line` is malformed. */
export type MalformedResponse = {
	readonly before: string;
	readonly line: string;
	readonly after: string;
};

/** Lines in place of a header field. */
export const malformedFields: Readonly<Record<string, string>> = {
	'a blank in the name': `X Name: ${malformedText}`,
	'a blank before the name': ` X-Name: ${malformedText}`,
	'a blank before the colon': `X-Name : ${malformedText}`,
	'a tab in the name': `X\tName: ${malformedText}`,
	'a NUL in the name': `X\0Name: ${malformedText}`,
	'a start of heading in the name': `X\u0001Name: ${malformedText}`,
	'an escape at the end of the name': `X-Name\u001B: ${malformedText}`,
	'a delete in the name': `X\u007FName: ${malformedText}`,
	'no name': `: ${malformedText}`,
	'no colon': malformedText,
	'no colon, but a blank': `X-Name ${malformedText}`,
	'a folded value': `X-Name: value\r\n ${malformedText}`,
	'a value folded with a tab': `X-Name: value\r\n\t${malformedText}`,
	'a NUL in the value': `X-Name: ${malformedText}\0`,
	'an escape in the value': `X-Name: ${malformedText}\u001B[0m`,
	'a delete in the value': `X-Name: ${malformedText}\u007F`,
	'a carriage return in the value': `X-Name: a\rX-Other: ${malformedText}`,
	'a line feed in the value': `X-Name: a\nX-Other: ${malformedText}`,
	'a blank before the colon of a length': 'Content-Length : 8',
	'a blank in the name of a length': `Content-Length x: ${malformedText}`,
	'a blank before the colon of a coding': 'Transfer-Encoding : chunked',
	'a blank in the name of a connection option': `Connection x: ${malformedText}`,
};

/** Status lines that are malformed, or whose status HTTP does not define. */
export const malformedStatusLines: Readonly<Record<string, string>> = {
	'a NUL in the reason': `HTTP/1.1 200 O\0K ${malformedText}`,
	'a start of heading in the reason': `HTTP/1.1 200 O\u0001K ${malformedText}`,
	'an escape in the reason': `HTTP/1.1 200 \u001B[0m${malformedText}`,
	'a delete in the reason': `HTTP/1.1 200 OK\u007F ${malformedText}`,
	'a carriage return in the reason': `HTTP/1.1 200 O\rX-Name: ${malformedText}`,
	'a line feed in the reason': `HTTP/1.1 200 OK\nX-Name: ${malformedText}`,
	'a NUL behind the status': `HTTP/1.1 200\0${malformedText}`,
	'a tab behind the status': `HTTP/1.1 200\t${malformedText}`,
	'the status 000': `HTTP/1.1 000 ${malformedText}`,
	'the status 099': `HTTP/1.1 099 ${malformedText}`,
	'the status 600': `HTTP/1.1 600 ${malformedText}`,
	'two blanks before the status': `HTTP/1.1  200 ${malformedText}`,
};

const statusLine = 'HTTP/1.1 200 OK\r\n';

function lengthOf(body: string): string {
	return `Content-Length: ${body.length}\r\n`;
}

type Place = (line: string, response: ResponseText) => MalformedResponse;

/** Where a response has a malformed field. */
export const fieldPlaces = {
	first: (line, {fields, body}) => ({before: statusLine, line, after: `\r\n${fields}${lengthOf(body)}\r\n${body}`}),
	last: (line, {fields, body}) => ({before: `${statusLine}${fields}${lengthOf(body)}`, line, after: `\r\n\r\n${body}`}),
	'in place of the framing': (line, {fields, body}) => ({before: `${statusLine}${fields}`, line, after: `\r\n\r\n${body}`}),
	'in an informational response': (line, {fields, body}) => ({before: 'HTTP/1.1 103 Early Hints\r\n', line, after: `\r\n\r\n${statusLine}${fields}${lengthOf(body)}\r\n${body}`}),
	'in a trailer': (line, {fields, body}) => ({before: `${statusLine}${fields}Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n`, line, after: '\r\n\r\n'}),
} as const satisfies Record<string, Place>;

/** A response whose status line is malformed. */
export function placeStatusLine(line: string, {fields, body}: ResponseText): MalformedResponse {
	return {before: '', line, after: `\r\n${fields}${lengthOf(body)}\r\n${body}`};
}

/** A response behind an informational one whose status line is malformed. */
export function placeInformationalLine(line: string, {fields, body}: ResponseText): MalformedResponse {
	return {before: '', line: line.replace('200', '103'), after: `\r\n\r\n${statusLine}${fields}${lengthOf(body)}\r\n${body}`};
}

/** How the bytes of a response are written. */
export const writings = {
	async 'in one write'(socket: Socket, {before, line, after}: MalformedResponse) {
		socket.write(before + line + after);
	},
	async 'in parts'(socket: Socket, {before, line, after}: MalformedResponse) {
		const middle = Math.ceil(line.length / 2);
		for (const part of [before, line.slice(0, middle), line.slice(middle), after]) {
			socket.write(part);
			await pause(partDelayMs);
		}
	},
} as const;

/** Writes a response, and closes the connection behind it. */
export async function writeMalformed(socket: Socket, writing: keyof typeof writings, response: MalformedResponse): Promise<void> {
	await writings[writing](socket, response);
	socket.end();
}
