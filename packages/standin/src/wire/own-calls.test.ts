/** What many calls of the relay's own at one moment leave behind, against an endpoint that says nothing. */
import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import process from 'node:process';
import {setImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {type ControlCalls} from '@gatehead/relay/upstream/control-calls';
import {type Endpoint} from '@gatehead/schema/routing';
import {expect} from 'earl';
import {ownAddress} from '../utils/ports.js';
import {createOwnCalls, makeEngine} from './own-calls.js';

/** Calls at one moment: more than the listeners that Node takes for usual, as when a service's first parts are ordered. */
const calls = 20;

type Case = {
	readonly name: string;
	readonly call: (own: ControlCalls, at: Endpoint) => unknown;
};

const cases: readonly Case[] = [
	{name: 'orders', call: async (own, at) => own.orderStage(at, 'decode', 'a', 1)},
	{
		name: 'freed results', call(own, at) {
			own.freeResult(at, 'r');
		},
	},
];

describe('own calls', () => {
	for (const {name, call} of cases) {
		it(`many ${name} at one moment share no signal`, async () => {
			const sockets: Socket[] = [];
			const server = createServer(socket => {
				sockets.push(socket);
			}).listen(0, ownAddress);
			await once(server, 'listening');
			const found = server.address();
			const at = makeEngine(`${ownAddress}:${typeof found === 'object' && found !== null ? found.port : 0}`);
			const {own, endpoints} = createOwnCalls(new ManualClock());
			const warnings: Error[] = [];
			const hear = (warning: Error) => {
				warnings.push(warning);
			};

			process.on('warning', hear);
			for (let index = 0; index < calls; index += 1) {
				void call(own, at);
			}

			await setImmediate();
			await setImmediate();
			process.off('warning', hear);
			endpoints.close();
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
			expect(warnings.map(({message}) => message)).toEqual([]);
		});
	}
});
