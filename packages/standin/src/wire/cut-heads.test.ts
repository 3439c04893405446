/** Guards against a response that ends inside its head and is taken for a response: a caller that gets a status, a length or a body that the endpoint did not send. */
import {
	after, before, describe, it,
} from 'node:test';
import {type Socket} from 'node:net';
import {expect} from 'earl';
import {sendDisturbed, type DisturbedRequest} from './disturbed-send.js';
import {
	bodyOf, reaches, streamOf, type CallKind, type Reach, type ScriptedWorld,
} from './scripted-world.js';

const okStatus = 200;
const badGateway = 502;
/** Distance between two places of the cut, in bytes. */
const stride = 4;
const lastByte = '\r\n\r\n';

type End = {readonly name: string; readonly close: (socket: Socket) => void};

const ends: readonly End[] = [
	{
		name: 'closed', close(socket) {
			socket.end();
		},
	},
	{
		name: 'reset', close(socket) {
			socket.resetAndDestroy();
		},
	},
];

/** `isLater`: the response is not the first one on its connection. */
type How = {readonly end: End; readonly isLater: boolean};

type Head = {
	readonly name: string;
	/** `ID`: id of the request. */
	readonly text: string;
};

const fields = 'Request-Id: ID\r\nServer-Seal: seal\r\n';

const heads: readonly Head[] = [
	{name: 'with a length', text: `HTTP/1.1 200 OK\r\n${fields}Content-Length: 123${lastByte}`},
	{name: 'in chunks', text: `HTTP/1.1 200 OK\r\n${fields}Transfer-Encoding: chunked${lastByte}`},
	{name: 'without framing', text: `HTTP/1.1 200 OK\r\n${fields}Connection: close${lastByte}`},
	{name: 'behind an informational one', text: `HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n${fields}Content-Length: 123${lastByte}`},
	{name: 'of a rejection', text: `HTTP/1.1 503 Full\r\nRequest-Id: ID\r\nNot-Executed: 1\r\nRetry-After: 1\r\nContent-Length: 0${lastByte}`},
];

type Place = {
	readonly name: string;
	readonly path: string;
	readonly kind: CallKind;
};

const runOnce: Place = {name: 'a call that may run once', path: '/once/1', kind: 'run'};

const places: readonly Place[] = [
	runOnce,
	{name: 'a repeatable call', path: '/repeatable/1', kind: 'run'},
	{name: 'a resumable stream', path: '/resumable/1', kind: 'run'},
	{name: 'a reservation', path: '/stream/1', kind: 'reservation'},
];

const twelveBytes = 'twelve bytes';

/** Ways to end the lines of a head by a part of the two bytes that end them. */
const lineEnds: Readonly<Record<string, (head: string) => string>> = {
	'whose lines end with line feeds': head => head.replaceAll('\r', ''),
	'whose status line ends with a line feed': head => head.replace('\r', ''),
	'whose head ends with a line feed': head => head.replace(/\r\n$/v, '\n'),
	'whose last field and head end with line feeds': head => head.replace(/\r\n\r\n$/v, '\n\n'),
	'whose length is followed by a line feed inside its value': head => head.replace('12\r\n', '1\n2\r\n'),
	'whose length is followed by a carriage return inside its value': head => head.replace('12\r\n', '1\r2\r\n'),
	'whose length has two values': head => head.replace('12\r\n', '1, 12\r\n'),
};

/** Whether the response is a later one on its connection. */
const orders = [['first on its connection', false], ['behind an earlier response', true]] as const;

function wholeBodyOf(path: string, id: string): string {
	return path.startsWith('/once') || path.startsWith('/repeatable') ? bodyOf(id) : streamOf(id);
}

function describeReach(reach: Reach): void {
	let scripted: ScriptedWorld;
	let sent = 0;

	before(async () => {
		scripted = await reaches[reach]({plain: 2, prefill: 1, decode: 2});
	});

	after(async () => {
		await scripted.stop();
	});

	const makeId = () => {
		sent += 1;
		return `request-${sent}`;
	};

	/** Sends requests until one was answered with a part of a head. */
	async function play(place: Place, bytes: string, {end: {close}, isLater}: How): Promise<DisturbedRequest> {
		return sendDisturbed(scripted, {
			place, isLater, respond({id, socket}) {
				socket.write(bytes.replaceAll('ID', id), () => {
					close(socket);
				});
			},
		}, makeId);
	}

	async function checkAll(place: Place, {text}: Head, how: How): Promise<void> {
		const cuts = Array.from({length: Math.ceil((text.length - lastByte.length) / stride)}, (_, index) => text.slice(0, index * stride));
		// A value that is cut may still parse, and a line may end behind it
		const parsing = ['Content-Length: 1', 'Transfer-Encoding: chun'].filter(part => text.includes(part)).flatMap(part => {
			const cut = text.slice(0, text.indexOf(part) + part.length);
			return [cut, `${cut}\r`, `${cut}\r\n`, `${cut}\n`, `${cut}\r\n\r`];
		});
		for (const bytes of [...cuts, ...parsing, text.slice(0, -1), text.slice(0, -2), text.slice(0, -3)]) {
			const {id, status, body, isWhole} = await play(place, bytes, how);
			const expected = place.path.startsWith('/once')
				? {
					bytes, status: badGateway, body, isWhole: true,
				}
				: {
					bytes, status: okStatus, body: wholeBodyOf(place.path, id), isWhole: true,
				};
			expect({
				bytes, status, body, isWhole,
			}).toEqual(expected);
		}
	}

	for (const end of ends) {
		for (const [name, write] of Object.entries(lineEnds)) {
			it(`a response ${name}, ${end.name}, is passed on whole or not at all`, async () => {
				const {status, body, isWhole} = await play(runOnce, `${write(`HTTP/1.1 200 OK\r\n${fields}Content-Length: 12\r\n\r\n`)}${twelveBytes}`, {end, isLater: false});
				expect({isWhole, isTrue: status === badGateway || (status === okStatus && body === twelveBytes)}).toEqual({isWhole: true, isTrue: true});
			});
		}
	}

	for (const place of places) {
		for (const head of heads) {
			for (const end of ends) {
				for (const [name, isLater] of place.path === '/once/1' ? orders : orders.slice(0, 1)) {
					it(`${place.name} that gets a part of a head ${head.name}, ${end.name}, ${name}, is not answered with it`, async () => checkAll(place, head, {end, isLater}));
				}
			}
		}
	}

	it(`hosts forward ${reach === 'direct' ? 'none' : 'all'} of these requests`, () => {
		const forwarded = new Set(scripted.world.lines.filter(({code}) => code === 'forwarded').map(({facts}) => facts.request));
		expect(forwarded.size).toEqual(reach === 'direct' ? 0 : sent);
	});
}

for (const reach of ['direct', 'forwarded'] as const) {
	describe(`responses that end inside their head, ${reach}`, () => {
		describeReach(reach);
	});
}
