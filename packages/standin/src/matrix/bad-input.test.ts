/** Catalogue: what callers are told about bad input. Each answer has its number, its HTTP status and a true `ran`; nothing of it reaches an endpoint. */
import {connect} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {codes, findCode, type Code} from '@gatehead/schema/codes';
import {splitAddress} from '@gatehead/schema/address';
import {errorBody, hostsAnswer} from '@gatehead/schema/caller-protocol';
import {signTicket} from '@gatehead/host/core/ticket';
import {CallerClient, type Wish} from '../utils/caller.js';
import {Stage} from './stage.js';

const ticketKeys = ['ab'.repeat(32)];
const completion = {model: 'model', prompt: 'Which bodegas are near?', max_tokens: 5};

type Case = {
	readonly name: string;
	readonly code: Code;
	readonly token?: string;
	readonly wish: (stage: Stage) => Wish;
};

function post(body: unknown, path = '/v1/completions'): Wish {
	return {method: 'POST', path, body};
}

function labelWish(key: string): Wish {
	return {...post({label: 1}, '/services/labels/print'), key};
}

/** A ticket of the stage's first host, changed as wished. */
function ticketOf({hosts}: Stage, change: {readonly caller?: string; readonly incarnation?: number; readonly expires?: number}): string {
	const self = hosts[0]?.host.context.self;
	return signTicket({
		host: self?.host ?? '', incarnation: self?.incarnation ?? 0, caller: 'caller', expires: 1_900_000_000_000, ...change,
	}, ticketKeys);
}

const cases: readonly Case[] = [
	{name: 'an unknown route', code: 'routeUnknown', wish: () => ({method: 'GET', path: '/v1/nothing'})},
	{
		name: 'a wrong token', code: 'callerUnknown', token: 'wrong', wish: () => post(completion),
	},
	{
		name: 'a malformed authorization', code: 'headerInvalid', token: 'two words', wish: () => post(completion),
	},
	{name: 'a body without a prompt', code: 'bodyInvalid', wish: () => post({model: 'model'})},
	{name: 'a negative max_tokens', code: 'bodyInvalid', wish: () => post({...completion, max_tokens: -1})},
	{name: 'a chat without messages', code: 'bodyInvalid', wish: () => post({model: 'model', messages: []}, '/v1/chat/completions')},
	{name: 'an unknown model', code: 'modelUnknown', wish: () => post({...completion, model: 'other'})},
	{name: 'an unknown adapter', code: 'adapterUnknown', wish: () => post({...completion, adapter: 'other'})},
	{name: 'a prompt beyond the window', code: 'promptTooLong', wish: () => post({...completion, prompt: 'word '.repeat(9000)})},
	{name: 'a body over the size limit', code: 'bodyTooLarge', wish: () => post({...completion, prompt: 'x'.repeat(8_100_000)})},
	{name: 'an unknown service', code: 'serviceUnknown', wish: () => post({}, '/services/nothing/x')},
	{name: 'no ticket for a call that may not be repeated', code: 'ticketMissing', wish: () => post({}, '/services/labels/print')},
	{name: 'a key without a name', code: 'headerInvalid', wish: stage => labelWish(ticketOf(stage, {}))},
	{
		name: 'a forged ticket', code: 'ticketWrong', wish: () => labelWish(`${signTicket({
			host: 'host-0', incarnation: 1, caller: 'caller', expires: 1,
		}, ['cd'.repeat(32)])}~a`),
	},
	{name: 'a ticket of another caller', code: 'ticketWrong', wish: stage => labelWish(`${ticketOf(stage, {caller: 'other'})}~a`)},
	{name: 'a lapsed ticket', code: 'ticketLapsed', wish: stage => labelWish(`${ticketOf(stage, {expires: 1})}~a`)},
	{name: 'a ticket of an earlier incarnation', code: 'ownerReplaced', wish: stage => labelWish(`${ticketOf(stage, {incarnation: 1})}~a`)},
	{name: 'a malformed Last-Event-ID', code: 'headerInvalid', wish: () => ({...post(completion), lastEvent: 'x'})},
	// Guards against a host that makes room for all tokens that a caller says it has, and ends
	...[1_000_001, 999_999_999].map(last => ({
		name: `a Last-Event-ID with token ${last}`, code: 'headerInvalid' as const, wish: (stage: Stage) => ({...post(completion), key: `${ticketOf(stage, {incarnation: 1})}~a`, lastEvent: `d0/1/${last}/r`}),
	})),
	{name: 'a Last-Event-ID with the highest token that a stream can have', code: 'streamGone', wish: stage => ({...post(completion), key: `${ticketOf(stage, {incarnation: 1})}~a`, lastEvent: 'd0/1/999999/r'})},
	{name: 'a Last-Event-ID of a stream that nobody holds', code: 'streamGone', wish: () => ({...post(completion), lastEvent: 'd0/1/3'})},
];

/** Raw bytes that are no whole request. */
const rawCases: ReadonlyArray<{readonly name: string; readonly code: Code; readonly bytes: string}> = [
	{name: 'no HTTP at all', code: 'headerInvalid', bytes: 'hello there\r\n\r\n'},
	{name: 'a malformed header', code: 'headerInvalid', bytes: 'POST /v1/completions HTTP/1.1\r\nno colon here\r\n\r\n'},
	{name: 'a header over the size limit', code: 'headerInvalid', bytes: `GET /v1/hosts HTTP/1.1\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`},
	{name: 'a body that is not JSON', code: 'bodyNotJson', bytes: 'POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer token\r\ncontent-length: 3\r\n\r\n{a}'},
];

async function sendRaw(address: string, bytes: string): Promise<string> {
	const {ip, port} = splitAddress(address);
	return new Promise((resolve, reject) => {
		const socket = connect(port, ip, () => {
			socket.write(bytes);
		});
		let text = '';
		socket.setEncoding('utf8');
		socket.on('data', chunk => {
			text += String(chunk);
			if (text.includes('"ran"')) {
				socket.destroy();
				resolve(text);
			}
		});
		socket.once('error', reject);
		socket.once('end', () => {
			resolve(text);
		});
	});
}

function expectCode(text: string, code: Code): void {
	const {error} = JSON.parse(text.slice(text.indexOf('{"error"'), text.lastIndexOf('}') + 1)) as {error: {code: number; ran: string}}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- our own answer
	expect(error.code).toEqual(codes[code].number);
	expect(error.ran).toEqual(codes[code].ran);
}

function countWork({engines, services}: Stage): number {
	return engines.reduce((sum, {prefill, decode}) => sum + prefill.starts.size + decode.starts.size, 0) + services.reduce((sum, {runs}) => sum + runs.size, 0);
}

describe('bad input', async () => {
	const stage = new Stage();
	await stage.start(1);
	const address = stage.hosts[0]?.address ?? '';

	for (const {name, code, token, wish} of cases) {
		it(`${name}: ${codes[code].number} ${code}`, async () => {
			const client = new CallerClient(token ?? 'token');
			const reply = await client.send(address, wish(stage));
			client.close();
			expect(reply.status).toEqual(codes[code].status);
			expectCode(reply.body, code);
			expect(countWork(stage)).toEqual(0);
		});
	}

	for (const {name, code, bytes} of rawCases) {
		it(`${name}: ${codes[code].number} ${code}`, async () => {
			expectCode(await sendRaw(address, bytes), code);
			expect(countWork(stage)).toEqual(0);
		});
	}

	it('any JSON body is refused with a number, and any header value too', async () => {
		const client = new CallerClient('token');
		const route = fc.constantFrom('/v1/completions', '/v1/chat/completions');
		const headerText = fc.string({unit: 'grapheme-ascii', minLength: 1, maxLength: 80});
		await fc.assert(fc.asyncProperty(route, fc.jsonValue(), headerText, async (path, body, header) => {
			for (const wish of [post(body, path), {...post(completion, path), key: header}, {...post(completion, path), lastEvent: header}]) {
				const reply = await client.send(address, wish);
				expect(reply.status >= 400 && reply.status < 500).toEqual(true);
				expect(findCode(errorBody.parse(JSON.parse(reply.body)).error.code) === undefined).toEqual(false);
			}
		}), {seed: 20_261_202, numRuns: 100});
		client.close();
		expect(countWork(stage)).toEqual(0);
	});

	it('a key that was used with another body: 1013 keyReused', async () => {
		const client = new CallerClient('token');
		const lookup = await client.send(address, {method: 'GET', path: '/v1/hosts'});
		const {hosts} = hostsAnswer.parse(JSON.parse(lookup.body));
		const key = `${hosts[0]?.ticket}~same`;
		const first = await sendWhileStepping(stage, client, {...labelWish(key), body: {label: 'one'}});
		const second = await sendWhileStepping(stage, client, {...labelWish(key), body: {label: 'two'}});
		client.close();
		expect(first).toEqual(200);
		expect(second).toEqual(codes.keyReused.status);
		expect(stage.services.reduce((sum, {runs}) => sum + runs.size, 0)).toEqual(1);
	});

	it('ends the stage', async () => {
		await stage.close();
		expect(stage.living.length).toEqual(0);
	});
});

async function sendWhileStepping(stage: Stage, client: CallerClient, wish: Wish): Promise<number> {
	let status: number | undefined;
	const send = async () => {
		const reply = await client.send(stage.hosts[0]?.address ?? '', wish);
		status = reply.status;
	};

	void send();
	await stage.until(() => status !== undefined, 5000);
	return status ?? 0;
}
