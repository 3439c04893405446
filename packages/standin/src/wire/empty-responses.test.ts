/** Guards against a response whose head has no length, and whose connection closes before a byte of its body, that reaches a caller as a complete empty one. */
import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {sendDisturbed, type DisturbedRequest} from './disturbed-send.js';
import {responseReaders} from './response-readers.js';
import {startScriptedEndpoint} from './scripted-endpoint.js';
import {
	bodyOf, reaches, streamOf, type Reach, type ScriptedWorld,
} from './scripted-world.js';
import {sendPlaces, type SendPlace} from './send-places.js';

const okStatus = 200;
const badGateway = 502;
/** Time after which a client is given up, in milliseconds. */
const readTimeoutMs = 1000;

type Head = {
	readonly name: string;
	/** `ID`: id of the request. */
	readonly text: string;
	/** Whether it is a later response on its connection. */
	readonly isLater?: boolean;
};

const fields = 'Request-Id: ID\r\nServer-Seal: seal\r\n';

const truncated: readonly Head[] = [
	{name: 'a head', text: `HTTP/1.1 200 OK\r\n${fields}\r\n`},
	{name: 'a head that announces the close', text: `HTTP/1.1 200 OK\r\n${fields}Connection: close\r\n\r\n`},
	{name: 'a head of HTTP/1.0', text: `HTTP/1.0 200 OK\r\n${fields}\r\n`},
	{name: 'a head behind an informational one', text: `HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n${fields}\r\n`},
	{name: 'a head on a connection with an earlier response', text: `HTTP/1.1 200 OK\r\n${fields}\r\n`, isLater: true},
	{name: 'a head of events', text: `HTTP/1.1 200 OK\r\n${fields}Content-Type: text/event-stream\r\n\r\n`},
	{name: 'the head of a failure', text: `HTTP/1.1 500 Error\r\n${fields}\r\n`},
	{name: 'the head of a rejection by the endpoint', text: `HTTP/1.1 404 None\r\n${fields}\r\n`},
];

type Complete = Head & {readonly status: number; readonly method?: string};

const complete: readonly Complete[] = [
	{name: 'a length of zero', text: `HTTP/1.1 200 OK\r\n${fields}Content-Length: 0\r\n\r\n`, status: 200},
	{name: 'no chunk but the last one', text: `HTTP/1.1 200 OK\r\n${fields}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n`, status: 200},
	{name: 'a status without a body', text: `HTTP/1.1 204 None\r\n${fields}\r\n`, status: 204},
	{name: 'a status that refers to the caller\'s copy', text: `HTTP/1.1 304 Same\r\n${fields}\r\n`, status: 304},
	{
		name: 'a method without a body', text: `HTTP/1.1 200 OK\r\n${fields}\r\n`, status: 200, method: 'HEAD',
	},
];

function wholeBodyOf(path: string, id: string): string {
	return path.startsWith('/once') || path.startsWith('/repeatable') ? bodyOf(id) : streamOf(id);
}

/** Sends that may run once, after which the outcome is unknown. */
function isFinal({kind, path}: SendPlace): boolean {
	return kind === 'run' && (path.startsWith('/once') || path.startsWith('/stream'));
}

function describeReach(reach: Reach): void {
	let scripted: ScriptedWorld;
	let sent = 0;

	before(async () => {
		scripted = await reaches[reach]({plain: 2, prefill: 2, decode: 2});
	});

	after(async () => {
		await scripted.stop();
	});

	const makeId = () => {
		sent += 1;
		return `request-${sent}`;
	};

	/** Sends requests until one was answered with the head alone. */
	async function play(place: SendPlace, {text, isLater = false}: Head): Promise<DisturbedRequest> {
		return sendDisturbed(scripted, {
			place, isLater, respond({id, socket}) {
				socket.end(text.replaceAll('Request-Id: ID\r\n', id === '' ? '' : `Request-Id: ${id}\r\n`));
			},
		}, makeId);
	}

	async function expectCut(place: SendPlace, head: Head): Promise<void> {
		const {id, status, body, isWhole} = await play(place, head);
		if (isFinal(place)) {
			expect(status).toEqual(badGateway);
		} else {
			expect({status, body, isWhole}).toEqual({status: okStatus, body: wholeBodyOf(place.path, id), isWhole: true});
		}
	}

	for (const place of sendPlaces) {
		for (const head of truncated) {
			it(`${place.name} that gets ${head.name} alone is not answered with it`, async () => expectCut(place, head));
		}
	}

	async function expectPassedOn(path: string, {text, status, method = 'POST'}: Complete): Promise<void> {
		await scripted.publish();
		scripted.intercept = ({id, socket}) => {
			socket.end(text.replaceAll('ID\r\n', `${id}\r\n`));
			return true;
		};

		const answer = await sendRequest({
			address: scripted.caller, id: makeId(), path, method,
		});
		expect([answer.status, answer.body, answer.isWhole]).toEqual([status, '', true]);
	}

	for (const path of ['/once/1', '/repeatable/1']) {
		for (const each of complete) {
			it(`an empty response with ${each.name} is passed on, ${path}`, async () => expectPassedOn(path, each));
		}
	}

	it(`hosts forward ${reach === 'direct' ? 'none' : 'all'} of these requests`, () => {
		const forwarded = new Set(scripted.world.lines.filter(({code}) => code === 'forwarded').map(({facts}) => facts.request));
		expect(forwarded.size).toEqual(reach === 'direct' ? 0 : sent);
	});
}

for (const reach of ['direct', 'forwarded'] as const) {
	describe(`responses without framing that end before their body, ${reach}`, () => {
		describeReach(reach);
	});
}

describe('responses to other clients without framing that end before their body', () => {
	for (const {name, read} of responseReaders) {
		it(`${name} rejects a head alone`, async () => {
			const endpoint = await startScriptedEndpoint(({socket}) => {
				socket.end('HTTP/1.1 200 OK\r\n\r\n');
			});
			try {
				await expect(read(endpoint.address, AbortSignal.timeout(readTimeoutMs))).toBeRejected();
			} finally {
				endpoint.stop();
			}
		});
	}
});
