/** A request that a host without links forwards to another one must run at most once, keep its caller's rights and end with its caller. */
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {request as httpRequest} from 'node:http';
import {splitAddress} from '@gatehead/schema/address';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {LinkProxy} from './link-proxy.js';
import {
	startWorld, until, type RunningRelay, type World,
} from './world.js';

const key = 'key-of-guides';
const bearer = {Authorization: `Bearer ${key}`};
/** Time that a slow call takes, in milliseconds. */
const slowMs = 400;
const okStatus = 200;

function valuesOf(headers: readonly string[], name: string): string[] {
	return headers.filter((_, index) => index % 2 === 1 && headers[index - 1] === name);
}

/** Sends requests until a host has found out that its links to both services are cut. */
async function loseServices({name, caller, relay}: RunningRelay): Promise<void> {
	for (let round = 0; relay.reachability.unreachable.length < 2; round += 1) {
		await sendRequest({
			address: caller, id: `before-${name}-${round}`, path: round % 2 === 0 ? '/once/1' : '/stream/1', headers: bearer,
		});
	}
}

describe('forwarded requests', () => {
	const links: LinkProxy[] = [];
	let world: World;
	let partitioned: RunningRelay;

	before(async () => {
		world = await startWorld({
			hosts: 3, plain: 2, prefill: 1, decode: 3, slots: 8, tenants: [{name: 'guides of the city', apiKeys: [key]}], revokeMs: 5000, async endpointPaths(endpoints) {
				const proxy = await LinkProxy.start(endpoints);
				links.push(proxy);
				return proxy.addresses;
			},
		});
		partitioned = world.relays[0]!;
		await links[0]!.cut('refused');
		await loseServices(partitioned);
	});

	after(async () => {
		await world.stop();
		await Promise.all(links.map(async link => link.close()));
	});

	const findRuns = (id: string) => world.log.runs.filter(({request}) => request === id);
	const findLines = (id: string, code: string) => world.lines.filter(line => line.code === code && line.facts.request === id);

	const expectWhole = async (path: string) => {
		const id = `whole-${path}`;
		const answer = await sendRequest({
			address: partitioned.caller, id, path: `${path}?a=%20b`, body: 'some question', headers: {...bearer, 'X-Own': 'kept'},
		});
		const [run, ...others] = findRuns(id);
		const {status, isWhole, headers} = answer;
		expect({
			status, isWhole, seal: headers['server-seal'], target: run?.target, body: run?.body, tenant: valuesOf(run?.headers ?? [], 'tenant'), own: valuesOf(run?.headers ?? [], 'x-own'), others: others.length,
		}).toEqual({
			status: okStatus, isWhole: true, seal: 'seal', target: `${path}?a=%20b`, body: 'some question', tenant: ['guides of the city'], own: ['kept'], others: 0,
		});
		expect(findLines(id, 'forwarded').map(({host}) => host)).toEqual([partitioned.name]);
	};

	for (const path of ['/once/1', '/repeatable/1', '/stream/1', '/resumable/1']) {
		it(`${path} runs once, with its body, query and workspace`, async () => expectWhole(path));
	}

	it('headers between hosts are neither believed from a caller nor shown to an endpoint', async () => {
		const id = 'spoofed';
		const {status} = await sendRequest({
			address: world.relays[1]!.caller, id, path: '/once/1', headers: {
				'Gatehead-Workspace': 'guides%20of%20the%20city', 'Gatehead-Service': 'plain', 'Gatehead-Version': '1', 'Gatehead-Attempts': '5', 'Gatehead-Caller-Retry': '0', 'Gatehead-Entry-Host': 'host-0',
			},
		});
		const headers = {...bearer, 'Gatehead-Attempts': '5'};
		await sendRequest({
			address: partitioned.caller, id: 'hidden', path: '/once/1', headers,
		});
		const names = findRuns('hidden').flatMap(run => run.headers.filter((_, index) => index % 2 === 0));
		expect({status, seen: names.filter(name => name.startsWith('gatehead-')), runs: findRuns(id).length}).toEqual({status: 401, seen: [], runs: 0});
	});

	it('a stream that breaks off continues through a host, each event once', async () => {
		const broken = world.replicas.find(({stage}) => stage === 'decode')!;
		broken.fault = 'cut';
		try {
			const bodies = await Promise.all(Array.from({length: 6}, async (_, index) => sendRequest({
				address: partitioned.caller, id: `resumed-${index}`, path: '/resumable/1', headers: bearer,
			})));
			const ids = bodies.map(({status, body}) => [status, ...[...body.matchAll(/^id: (?<id>\d+)$/gmv)].map(({groups}) => Number(groups?.id))]);
			expect(ids).toEqual(bodies.map(() => [okStatus, 1, 2, 3, 4, 5, 6]));
		} finally {
			broken.fault = 'none';
		}
	});

	it('a caller that leaves ends the run at the endpoint', async () => {
		for (const replica of world.replicas) {
			replica.workMs = slowMs;
		}

		const {ip, port} = splitAddress(partitioned.caller);
		const call = httpRequest({
			host: ip, port, method: 'POST', path: '/repeatable/1', agent: false, headers: {
				...bearer, Host: 'calls.example', 'Request-Id': 'left', 'Content-Length': 1,
			},
		});
		call.on('error', () => {
			// The caller has left
		});
		call.end('x');
		await until(() => findRuns('left').length > 0);
		call.destroy();
		await until(() => world.log.closed.includes('left'));
		for (const replica of world.replicas) {
			replica.workMs = 0;
		}

		expect(findRuns('left').length).toEqual(1);
	});

	it('a host that ends under a request leaves its outcome unknown, and no other host runs it', async () => {
		for (const replica of world.replicas) {
			replica.workMs = slowMs;
		}

		const calls = Promise.all(Array.from({length: 8}, async (_, index) => sendRequest({
			address: partitioned.caller, id: `lost-${index}`, path: '/once/1', headers: bearer,
		})));
		await until(() => world.log.runs.filter(({request}) => request.startsWith('lost-')).length === 8);
		await world.relays[1]!.relay.close();
		const answers = await calls;
		for (const replica of world.replicas) {
			replica.workMs = 0;
		}

		const statuses = new Set(answers.map(({status}) => status));
		const runs = answers.map((_, index) => findRuns(`lost-${index}`).length);
		expect({isSomeLost: statuses.has(502), others: [...statuses].filter(status => status !== 502 && status !== okStatus), runs}).toEqual({isSomeLost: true, others: [], runs: answers.map(() => 1)});
	});

	it('with all hosts partitioned, requests are refused at once, and served after the links return', async () => {
		await links[2]!.cut('refused');
		const last = world.relays[2]!;
		await loseServices(last);
		await until(() => (partitioned.relay.fleet.membership.members.recordOf(last.name)?.unreachable?.length ?? 0) === 2);
		const answers = await Promise.all(['/once/1', '/stream/1'].map(async path => sendRequest({
			address: partitioned.caller, id: `none-${path}`, path, headers: bearer,
		})));
		const refused = answers.map(({status, headers}) => [status, Number(headers['retry-after']) > 0]);
		const runs = answers.flatMap((_, index) => findRuns(`none-${['/once/1', '/stream/1'][index] ?? ''}`)).length;
		await Promise.all(links.map(async link => link.heal()));
		await until(() => world.relays.every(({relay}) => relay.reachability.unreachable.length === 0));
		await pause(slowMs);
		const {status} = await sendRequest({
			address: partitioned.caller, id: 'healed', path: '/once/1', headers: bearer,
		});
		expect({refused, runs, healed: status}).toEqual({refused: [[503, true], [503, true]], runs: 0, healed: okStatus});
	});
});
