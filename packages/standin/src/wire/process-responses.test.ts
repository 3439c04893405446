/** Guards against endpoint processes that end their responses behind the head, whose callers get complete empty ones from a host process. */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
	after, before, describe, it,
} from 'node:test';
import {ignore} from '@gatehead/policy/utils/ignore';
import {expect} from 'earl';
import {waitUntilServing} from '../soak/bed.js';
import {HostProcess} from '../soak/host-process.js';
import {findPorts, ownAddress} from '../utils/ports.js';
import {sendRequest} from './client.js';
import {EndpointProcess, type EndpointParts} from './silence/endpoint-process.js';
import {startStore, type StandinStore} from './store-server.js';
import {makeConfig, patientTimes} from './world.js';

const okStatus = 200;
const requests = 60;
/** Callers, readiness, peers, lookups, forwarded requests. */
const portsPerHost = 5;

const endpointParts: Omit<EndpointParts, 'id' | 'seed'> = {
	slots: 6, queue: 24, workMs: 2, backlog: 511, mostConnections: 400, idleS: 5, surplusShare: 0, closingShare: 0, bareHeadShare: 0.3, rejectedShare: 0, lateRejectionShare: 0, shedsBeforeBody: false,
};

describe('a host process before endpoint processes of which a part of the responses ends behind the head', () => {
	const endpoints: EndpointProcess[] = [];
	let store: StandinStore;
	let host: HostProcess;

	before(async () => {
		store = await startStore('127.0.0.1:0');
		store.put('op/config', makeConfig(1, undefined, [], patientTimes));
		for (const seed of [1, 2, 3]) {
			const id = `plain-${seed}`;
			const endpoint = await EndpointProcess.start({...endpointParts, id, seed}, ignore);
			endpoints.push(endpoint);
			store.put(`servers/${id}`, {
				service: 'plain', address: endpoint.address, zone: 'a', version: 'v1', slots: endpointParts.slots, state: 'ready', coldRemainingMs: 0, callSeq: 0,
			});
		}

		const ports = await findPorts(portsPerHost);
		const folder = mkdtempSync(join(tmpdir(), 'gatehead-process-'));
		host = new HostProcess({
			name: 'host-0', ip: ownAddress, ports, seeds: [`${ownAddress}:${ports[2]}`], store: store.address, folder,
		});
		host.start();
		await waitUntilServing({hosts: [host], folder});
	});

	after(async () => {
		host.signal('SIGKILL');
		await host.ended();
		await Promise.all(endpoints.map(async endpoint => endpoint.end()));
		await store.kill();
	});

	async function check(path: string): Promise<void> {
		const answers = [];
		for (let index = 0; index < requests; index += 1) {
			const id = `${path.slice(1, 5)}-${index}`;
			const {status, body, isWhole} = await sendRequest({address: host.caller, id, path});
			answers.push({
				id, status, body, isWhole,
			});
		}

		const served = answers.filter(({status}) => status === okStatus);
		const empty = served.filter(({id, body, isWhole}) => body !== `200 of ${id}` || !isWhole);
		expect({empty, isAnyServed: served.length > 0, unanswered: answers.filter(({status}) => status === 0)}).toEqual({empty: [], isAnyServed: true, unanswered: []});
	}

	for (const path of ['/once/1', '/repeatable/1']) {
		it(`${path}: no caller gets an empty response`, async () => check(path));
	}
});
