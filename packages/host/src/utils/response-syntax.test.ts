/** Guards against malformed fields that Node's parser accepts, as its versions and options differ, and that pass for a sound response. */
import {once} from 'node:events';
import {request as httpRequest} from 'node:http';
import {createServer, type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {ignore} from '@gatehead/policy/utils/ignore';
import {expect} from 'earl';
import {receiveChunks} from './receive-chunks.js';
import {receiveHead} from './response-head.js';
import {findFieldFault} from './response-syntax.js';

const body = 'body';
const statusLine = 'HTTP/1.1 200 OK\r\n';
const framed = `Content-Length: ${body.length}\r\n`;

/** Where a response has a field. */
const places: Readonly<Record<string, (field: string) => string>> = {
	first: field => `${statusLine}${field}\r\n${framed}\r\n${body}`,
	last: field => `${statusLine}${framed}${field}\r\n\r\n${body}`,
	'in an informational response': field => `HTTP/1.1 103 Early Hints\r\n${field}\r\n\r\n${statusLine}${framed}\r\n${body}`,
	'in a trailer': field => `${statusLine}Transfer-Encoding: chunked\r\n\r\n${body.length}\r\n${body}\r\n0\r\n${field}\r\n\r\n`,
};

type Case = {
	readonly name: string;
	/** A lenient parser may accept it. */
	readonly field: string;
	readonly isSound: boolean;
};

const cases: readonly Case[] = [
	{name: 'a blank in the name', field: 'Connection x: a', isSound: false},
	{name: 'a NUL in the value', field: 'X-Name: a\0b', isSound: false},
	{name: 'an escape in the value', field: 'X-Name: \u001B[0m', isSound: false},
	{name: 'a delete in the value', field: 'X-Name: a\u007F', isSound: false},
	{name: 'a tab in the value', field: 'X-Name: a\tb', isSound: true},
	{name: 'other than ASCII in the value', field: 'X-Name: \u0085\u00FC', isSound: true},
	{name: 'all characters of a name', field: '!#$%&\'*+-.^_`|~09AZaz: a', isSound: true},
	{name: 'no value', field: 'X-Name:', isSound: true},
];

/** Reads a response with a lenient parser. */
async function read(response: string): Promise<string> {
	const server = createServer(socket => {
		socket.on('error', ignore);
		socket.once('data', () => {
			socket.end(response, 'latin1');
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server's address is no string
	const request = httpRequest({
		host: '127.0.0.1', port, agent: false, insecureHTTPParser: true,
	});
	request.end();
	try {
		let received = '';
		for await (const chunk of receiveChunks(await receiveHead(request))) {
			received += new TextDecoder().decode(chunk);
		}

		return received;
	} finally {
		request.destroy();
		server.close();
	}
}

describe('fields that a lenient parser accepts', () => {
	for (const {name, field, isSound} of cases) {
		for (const [place, write] of Object.entries(places)) {
			it(`${name}, ${place}: ${isSound ? 'accepted' : 'rejected'}`, async () => {
				if (isSound) {
					expect(await read(write(field))).toEqual(body);
				} else {
					await expect(read(write(field))).toBeRejected();
				}
			});
		}
	}
});

/** Names that differ from a token by one character. */
const malformedNames = ['', 'X Name', 'X-Name ', ' X-Name', 'X\tName', 'X\0Name', 'X-Name\u007F', 'X:Name', 'X(Name)', 'X\u00FCName'];

describe('names of fields', () => {
	for (const name of malformedNames) {
		it(`${JSON.stringify(name)} is malformed`, () => {
			expect(findFieldFault(['X-Name', 'a', name, 'a'])).toEqual('the name of a field is not a token');
		});
	}
});
