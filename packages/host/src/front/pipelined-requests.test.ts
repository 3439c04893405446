/** Guards against requests that run beside an unfinished response on their connection: if that response breaks off, it closes the connection, and their answers are lost. */
import {once} from 'node:events';
import {Agent, createServer} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {systemClock} from '@gatehead/policy/utils/clock';
import {ignore} from '@gatehead/policy/utils/ignore';
import {seedRandom} from '@gatehead/policy/utils/random';
import {splitAddress} from '@gatehead/schema/address';
import {digestOf} from '@gatehead/schema/canonical-json';
import {Failure} from '@gatehead/schema/failure';
import {expect} from 'earl';
import {CallerServer} from './caller-server.js';
import {type FrontParts} from './parts.js';
import {type ServiceCallParts} from './service-call.js';

const local = '127.0.0.1';
/** Time that each request takes, in milliseconds. */
const workMs = 100;
const numbers = [1, 2, 3];

type Kind = {
	readonly name: string;
	readonly path: (index: number) => string;
	readonly body: (index: number) => string;
	readonly status: number;
};

const kinds: readonly Kind[] = [
	{
		name: 'calls to a service', path: index => `/services/plain/${index}`, body: () => '{}', status: 200,
	},
	{
		name: 'completions', path: () => '/v1/completions', body: index => JSON.stringify({model: 'm', prompt: 'p', max_tokens: index}), status: 503,
	},
];

describe('pipelined requests', () => {
	let server: CallerServer;
	let caller: Socket;
	let received = '';
	let order: string[] = [];
	let lines: string[] = [];
	const replica = createServer((request, response) => {
		void work(Number(request.url?.slice(1))).then(() => {
			response.end('{}');
		});
	});
	const agent = new Agent();

	async function work(index: number): Promise<void> {
		order.push(`began ${index}`);
		await pause(workMs);
		order.push(`ended ${index}`);
	}

	beforeEach(async () => {
		received = '';
		order = [];
		lines = [];
		replica.listen(0, local);
		await once(replica, 'listening');
		const {port} = replica.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server's address is no string
		const bundle = {
			callers: [{name: 'c', tokenDigest: digestOf('token'), priority: 0}],
			models: [{name: 'm', windowTokens: 1000, adapters: []}],
			rules: {attempts: 1, targets: [{priority: 0, ttftMs: 1000, tokenMs: 100}]},
			services: [{
				name: 'plain', repeatable: true, timeoutMs: 10_000, replicas: [{
					name: 'r', hall: 'a', address: `${local}:${port}`, leaving: false,
				}],
			}],
		};
		const context = {
			clock: systemClock, random: seedRandom(1), log: (code: string) => lines.push(code), self: {host: 'h', incarnation: 1}, timeline: {record: ignore}, counters: {count: ignore, time: ignore}, settings: {
				hall: 'a', listen: {caller: `${local}:0`}, keys: {tickets: []}, timing: {readerStallMs: 10_000, endpointStallMs: 3000}, limits: {
					connections: 10, requests: 10, headerMs: 5000, bodyBytes: 1000,
				},
			},
		};
		const leases = {
			async acquirePrefill(_model: string, {maxTokens}: {readonly maxTokens: number}) {
				await work(maxTokens);
				throw new Failure('overloaded', {retryAfterMs: 1});
			},
			release: ignore,
		};
		const used = {
			context, isReady: () => true, isStopping: () => false, attempts: {context, leases}, bundles: {
				inForce: {bundle}, onAdopted(listener: (adopted: unknown) => void) {
					listener({bundle});
				},
			},
		};
		const parts = used as unknown as FrontParts; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- these requests use nothing else of the dependencies
		server = new CallerServer(parts, {context, agent, acceptsWork: () => true} as unknown as ServiceCallParts); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- as above
		const {ip, port: ownPort} = splitAddress(await server.listen());
		caller = connect({host: ip, port: ownPort});
		caller.setEncoding('utf8');
		caller.on('data', (text: string) => {
			received += text;
		});
		await once(caller, 'connect');
	});

	afterEach(async () => {
		caller.destroy();
		await server.close();
		agent.destroy();
		await new Promise(resolve => {
			replica.close(resolve);
		});
	});

	function write({path, body}: Kind): void {
		const fields = 'Host: calls.example\r\nAuthorization: Bearer token\r\n';
		caller.write(numbers.map(index => `POST ${path(index)} HTTP/1.1\r\n${fields}Content-Length: ${body(index).length}\r\n\r\n${body(index)}`).join(''));
	}

	async function until(isSo: () => boolean): Promise<void> {
		while (!isSo()) {
			await pause(workMs / 10);
		}
	}

	function listStatuses(): number[] {
		return [...received.matchAll(/HTTP\/1\.1 (?<status>\d{3})/gv)].map(({groups}) => Number(groups?.status));
	}

	async function expectOrder(kind: Kind): Promise<void> {
		write(kind);
		await until(() => listStatuses().length === numbers.length);
		expect({statuses: listStatuses(), order}).toEqual({statuses: numbers.map(() => kind.status), order: numbers.flatMap(index => [`began ${index}`, `ended ${index}`])});
	}

	async function expectNoRun(kind: Kind): Promise<void> {
		write(kind);
		await until(() => order.length > 0);
		caller.resetAndDestroy();
		await until(() => order.includes('ended 1') && server.openRequests === 0);
		expect(order).toEqual(['began 1', 'ended 1']);
	}

	async function expectRejections(kind: Kind): Promise<void> {
		write(kind);
		await until(() => order.length > 0);
		server.rejectOpen();
		await until(() => listStatuses().length === numbers.length && order.includes('ended 1') && server.openRequests === 0);
		await pause(workMs);
		expect({statuses: listStatuses(), order, lines}).toEqual({statuses: numbers.map(() => 503), order: ['began 1', 'ended 1'], lines: []});
		expect(received.split('"ran":"unknown"').length - 1).toEqual(numbers.length);
	}

	for (const kind of kinds) {
		it(`${kind.name} are rejected, and run no more, at the end of a planned stop`, {timeout: 30_000}, async () => expectRejections(kind));
		it(`${kind.name} run one after the other`, {timeout: 30_000}, async () => expectOrder(kind));
		it(`${kind.name} do not run behind a response that breaks off`, {timeout: 30_000}, async () => expectNoRun(kind));
	}
});
