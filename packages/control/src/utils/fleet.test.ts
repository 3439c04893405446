/** Guards against malformed or truncated responses of hosts that an operator's command takes for answers. */
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {queryHost} from './fleet.js';

const body = JSON.stringify({isReady: true});
const framed = `Content-Length: ${body.length}\r\n\r\n${body}`;
const chunked = `Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n`;

type Case = {
	readonly name: string;
	readonly text: string;
	readonly isAnswer?: boolean;
	/** Whether the connection is reset behind the response. */
	readonly isReset?: boolean;
};

const cases: readonly Case[] = [
	{name: 'a sound response', text: `HTTP/1.1 200 OK\r\n${framed}`, isAnswer: true},
	{name: 'a sound trailer', text: `HTTP/1.1 200 OK\r\n${chunked}X-Name: a\r\n\r\n`, isAnswer: true},
	{name: 'a control character in the reason', text: `HTTP/1.1 200 O\0K\r\n${framed}`},
	{name: 'a blank in the name of a field', text: `HTTP/1.1 200 OK\r\nConnection x: a\r\n${framed}`},
	{name: 'a control character in a value', text: `HTTP/1.1 200 OK\r\nX-Name: a\0\r\n${framed}`},
	{name: 'a folded value', text: `HTTP/1.1 200 OK\r\nX-Name: a\r\n b\r\n${framed}`},
	{name: 'a blank in the name of a trailer', text: `HTTP/1.1 200 OK\r\n${chunked}Connection x: a\r\n\r\n`},
	{name: 'a body without framing, reset with its last bytes', text: `HTTP/1.1 200 OK\r\n\r\n${body}`, isReset: true},
];

describe('responses of hosts to an operator\'s command', () => {
	for (const {name, text, isAnswer = false, isReset = false} of cases) {
		it(`${name}: ${isAnswer ? 'an answer' : 'an error'}`, async () => {
			const server = createServer(socket => {
				socket.on('error', () => {
					// The command closes connections that it does not read to their end
				});
				socket.once('data', () => {
					socket.write(text);
					if (isReset) {
						socket.resetAndDestroy();
					} else {
						socket.end();
					}
				});
			});
			server.listen(0, '127.0.0.1');
			await once(server, 'listening');
			const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server's address is no string
			const target = {host: 'a', adminAddress: `127.0.0.1:${port}`};
			try {
				const result = await queryHost({tokenVariable: 'UNSET', hosts: [target]}, target, '/', data => data);
				expect(result.ok).toEqual(isAnswer);
			} finally {
				server.close();
			}
		});
	}
});
