/** Guards against a truncated response of a request's owner that reaches the caller framed as complete. */
import {createServer as createHttpServer, request as httpRequest} from 'node:http';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {describe, it} from 'node:test';
import {ignore} from '@gatehead/policy/utils/ignore';
import {codes} from '@gatehead/schema/codes';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {expect} from 'earl';
import {forwardRequest} from './forward.js';
import {type FrontParts} from './parts.js';

/** Time after which a call without an answer fails, in milliseconds. */
const longestMs = 10_000;
const head = 'HTTP/1.1 200 OK\r\n';

const close = (socket: Socket) => {
	socket.end();
};

const reset = (socket: Socket) => {
	socket.resetAndDestroy();
};

type Case = {
	readonly name: string;
	readonly text: string;
	readonly end: (socket: Socket) => void;
	/** Undefined: the caller gets no complete response. */
	readonly body?: string;
};

const cases: readonly Case[] = [
	{name: 'a head without framing, closed', text: `${head}\r\n`, end: close},
	{name: 'a body without framing, reset with its last bytes', text: `${head}\r\nhel`, end: reset},
	{name: 'a body shorter than its length', text: `${head}Content-Length: 9\r\n\r\nhello`, end: close},
	{name: 'a body without its last chunk', text: `${head}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n`, end: close},
	{name: 'a blank in the name of a trailer', text: `${head}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX Name: a\r\n\r\n`, end: close},
	{
		name: 'an empty body with its length', text: `${head}Content-Length: 0\r\n\r\n`, end: close, body: '',
	},
	{
		name: 'a body in chunks', text: `${head}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n`, end: close, body: 'hello',
	},
	{
		name: 'a body with its length', text: `${head}Content-Length: 5\r\n\r\nhello`, end: close, body: 'hello',
	},
];

/** Responses whose head is malformed; the caller gets an error of the host that it asked. */
const malformed: ReadonlyArray<Pick<Case, 'name' | 'text'>> = [
	{name: 'a control character in the reason', text: 'HTTP/1.1 200 O\0K\r\nContent-Length: 5\r\n\r\nhello'},
	{name: 'the status 000', text: 'HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nhello'},
	{name: 'a control character in the reason of an informational response', text: `HTTP/1.1 103 O\0K\r\n\r\n${head}Content-Length: 5\r\n\r\nhello`},
	{name: 'a blank in the name of a field', text: `${head}X Name: a\r\nContent-Length: 5\r\n\r\nhello`},
	{name: 'a control character in a value', text: `${head}X-Name: a\0\r\nContent-Length: 5\r\n\r\nhello`},
];

async function listen(server: Server): Promise<number> {
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return (server.address() as AddressInfo).port; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server's address is no string
}

type Answer = {readonly status: number | undefined; readonly body: string};

/** Sends a call; resolves with undefined if no complete response comes. */
async function call(port: number): Promise<Answer | undefined> {
	return new Promise(resolve => {
		const request = httpRequest({host: '127.0.0.1', port, agent: false}, response => {
			let body = '';
			response.setEncoding('utf8');
			response.on('data', (text: string) => {
				body += text;
			});
			response.on('error', ignore);
			response.once('close', () => {
				resolve(response.complete ? {status: response.statusCode, body} : undefined);
			});
		});
		request.once('error', () => {
			resolve(undefined);
		});
		request.setTimeout(longestMs, () => {
			request.destroy();
		});
		request.end();
	});
}

/** Sends a call to a host that forwards it to its owner, which sends the given response. */
async function callForwarded({text, end}: Pick<Case, 'text' | 'end'>): Promise<Answer | undefined> {
	const owner = createServer(socket => {
		socket.on('error', ignore);
		socket.once('data', () => {
			socket.write(text);
			end(socket);
		});
	});
	const ownerPort = await listen(owner);
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- what the forward uses
	const parts = {context: {counters: {count: ignore}, timeline: {record: ignore}}} as unknown as FrontParts;
	const front = createHttpServer((request, response) => {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- what the forward uses
		forwardRequest(parts, {request, response, url: new URL('http://front/')}, new Uint8Array(), {host: 'owner', callerAddress: `127.0.0.1:${ownerPort}`} as MemberRecord);
	});
	try {
		return await call(await listen(front));
	} finally {
		front.close();
		owner.close();
	}
}

describe('requests passed on to their owner', () => {
	for (const {body, ...each} of cases) {
		it(`${each.name}: ${body === undefined ? 'the caller sees the cut' : 'passed on whole'}`, async () => {
			expect(await callForwarded(each)).toEqual(body === undefined ? undefined : {status: 200, body});
		});
	}

	for (const {name, text} of malformed) {
		it(`${name}: the caller gets an error`, async () => {
			const answer = await callForwarded({text, end: close});
			expect(answer?.status).toEqual(codes.ownerUnreachable.status);
		});
	}
});
