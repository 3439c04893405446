/** Guards against requests that run without their body, and responses that lose their length, as Node drops the header fields behind the first thousand. */
import {connect} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {splitAddress} from '@gatehead/schema/address';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {writeResponse, type ScriptedCall} from './scripted-endpoint.js';
import {
	bodyOf, reaches, type Reach, type ScriptedWorld,
} from './scripted-world.js';

/** More than Node keeps by default, and within the limit on the size of a head. */
const fieldCount = 1200;
const body = 'question';

function makeFields(): string[] {
	return Array.from({length: fieldCount}, (_, index) => `X${index}: 1`);
}

/** Sends a request whose other fields come before its length; resolves with the start of the response. */
async function sendLongHead(address: string, id: string): Promise<string> {
	const {ip, port} = splitAddress(address);
	const head = ['POST /once/1 HTTP/1.1', 'Host: calls.example', `Request-Id: ${id}`, ...makeFields(), 'Model: m', `Content-Length: ${body.length}`, 'Connection: close', '', body].join('\r\n');
	return new Promise((resolve, reject) => {
		let received = '';
		const socket = connect({host: ip, port});
		socket.setEncoding('utf8');
		socket.on('data', (text: string) => {
			received += text;
		});
		socket.once('close', () => {
			resolve(received);
		});
		socket.once('error', reject);
		socket.write(head);
	});
}

function describeReach(reach: Reach): void {
	describe(`heads of ${fieldCount} fields, ${reach}`, () => {
		let scripted: ScriptedWorld;

		before(async () => {
			scripted = await reaches[reach]({plain: 1});
		});

		after(async () => {
			await scripted.stop();
		});

		it('a request runs as it was sent', async () => {
			const runs: Array<Pick<ScriptedCall, 'headers'>> = [];
			scripted.intercept = (call, kind) => {
				if (kind === 'run') {
					runs.push(call);
				}

				return false;
			};

			const response = await sendLongHead(scripted.caller, 'request');
			expect(runs.map(({headers}) => [headers.get('content-length'), headers.get('model'), headers.get(`x${fieldCount - 1}`)])).toEqual([[String(body.length), 'm', '1']]);
			expect(response.startsWith('HTTP/1.1 200 ')).toEqual(true);
		});

		it('a response arrives as it was sent', async () => {
			scripted.intercept = ({socket, id}, kind) => {
				if (kind !== 'run') {
					return false;
				}

				const [statusLine = '', ...rest] = writeResponse(200, {'Request-Id': id, 'Server-Seal': 'seal'}, bodyOf(id)).split('\r\n');
				socket.write([statusLine, ...makeFields(), ...rest].join('\r\n'));
				return true;
			};

			const answer = await sendRequest({address: scripted.caller, id: 'long', path: '/once/1'});
			expect([answer.status, answer.body, answer.isWhole]).toEqual([200, bodyOf('long'), true]);
		});
	});
}

describeReach('direct');
describeReach('forwarded');
