/** Guards against errors inside a host that make it promise that a running request did not run, or truncate its response. */
import {describe, it} from 'node:test';
import {type Relay} from '@gatehead/relay/relay';
import {fail} from '@gatehead/schema/failure';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {startScriptedWorld, type EndpointCall} from './scripted-world.js';
import {writeResponse} from './scripted-endpoint.js';

/** More than the buffers of a connection hold. */
const bodyBytes = 8_000_000;

type Case = {
	readonly name: string;
	readonly respond: (call: EndpointCall) => void;
	readonly disturb: (relay: Relay) => void;
	readonly status: number;
	/** Undefined: the host's own response. */
	readonly bytes?: number;
};

const cases: readonly Case[] = [
	{
		name: 'after a send does not promise "not run"',
		respond({socket}) {
			socket.destroy();
		},
		disturb({endpoints}) {
			endpoints.shortestWaitMs = () => fail('endpointsDown');
		},
		status: 502,
	},
	{
		name: 'after a complete response does not truncate it',
		respond({id, socket}) {
			socket.write(writeResponse(200, {'Request-Id': id, 'Server-Seal': 'seal'}, 'x'.repeat(bodyBytes)));
		},
		disturb({context: {metrics}}) {
			metrics.time = () => fail('internal');
		},
		status: 200,
		bytes: bodyBytes,
	},
];

describe('errors while a request is processed', () => {
	for (const [index, {name, respond, disturb, status, bytes}] of cases.entries()) {
		it(`an error ${name}`, async () => {
			const scripted = await startScriptedWorld({plain: 1});
			try {
				scripted.intercept = (call, kind) => {
					if (kind === 'run') {
						respond(call);
					}

					return kind === 'run';
				};

				for (const {relay} of scripted.world.relays) {
					disturb(relay);
				}

				const answer = await sendRequest({address: scripted.caller, id: `request-${index}`, path: '/once/1'});
				expect({status: answer.status, isWhole: answer.isWhole}).toEqual({status, isWhole: true});
				expect(answer.body.length).toEqual(bytes ?? answer.body.length);
			} finally {
				await scripted.stop();
			}
		});
	}
});
