/** Catalogue: with keys in the settings, hosts and operators prove who they are to each other. The keys are for tests only. */
import {readFileSync} from 'node:fs';
import {request as httpsRequest} from 'node:https';
import {request as httpRequest} from 'node:http';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {expect} from 'earl';
import {splitAddress} from '@gatehead/schema/address';
import {Stage} from './stage.js';

function fixture(name: string): string {
	return fileURLToPath(new URL(`../../fixtures/${name}`, import.meta.url));
}

const tls = {ca: fixture('ca.pem'), certificate: fixture('host.pem'), key: fixture('host.key')};

type Case = {
	readonly name: string;
	readonly certificate: string | undefined;
	readonly token: string;
	/** HTTP status, or 0 where the connection is refused. */
	readonly expected: number;
};

const cases: readonly Case[] = [
	{
		name: 'a known certificate and the token are let in', certificate: 'host', token: 'operator', expected: 200,
	},
	{
		name: 'a known certificate without the token is refused', certificate: 'host', token: 'wrong', expected: 403,
	},
	{
		name: 'a stranger\'s certificate is refused', certificate: 'stranger', token: 'operator', expected: 0,
	},
	{
		name: 'no certificate is refused', certificate: undefined, token: 'operator', expected: 0,
	},
];

async function askAdmin(address: string, {certificate, token}: Case): Promise<number> {
	const {ip, port} = splitAddress(address);
	const own = certificate === undefined ? {} : {cert: readFileSync(fixture(`${certificate}.pem`)), key: readFileSync(fixture(`${certificate}.key`))};
	return new Promise(resolve => {
		const call = httpsRequest({
			host: ip, port, path: '/v1/status', ca: readFileSync(fixture('ca.pem')), ...own, headers: {authorization: `Bearer ${token}`}, agent: false,
		}, response => {
			response.resume();
			resolve(response.statusCode ?? 0);
		});
		call.once('error', () => {
			resolve(0);
		});
		call.end();
	});
}

async function askPlain(address: string): Promise<number> {
	const {ip, port} = splitAddress(address);
	return new Promise(resolve => {
		const call = httpRequest({
			host: ip, port, path: '/v1/status', agent: false,
		}, response => {
			resolve(response.statusCode ?? 0);
		});
		call.once('error', () => {
			resolve(0);
		});
		call.end();
	});
}

describe('mutual TLS', async () => {
	const stage = new Stage();
	stage.tls = tls;
	await stage.start(2);

	it('hosts find each other over it', () => {
		expect(stage.hosts.every(({host}) => host.membership.members.listReachable().length === 2)).toEqual(true);
	});

	for (const one of cases) {
		it(one.name, async () => {
			expect(await askAdmin(stage.hosts[0]?.host.membership.members.self.adminAddress ?? '', one)).toEqual(one.expected);
		});
	}

	it('plain HTTP is refused', async () => {
		expect(await askPlain(stage.hosts[0]?.host.membership.members.self.adminAddress ?? '')).toEqual(0);
	});

	it('a host without a certificate stays alone', async () => {
		stage.tls = undefined;
		const stranger = await stage.addHost('stranger', 'north');
		stage.listHosts();
		await stage.pass(2000);
		expect(stranger.host.membership.members.list().filter(each => each.incarnation > 0).map(each => each.host)).toEqual(['stranger']);
		expect(stage.hosts[0]?.host.membership.members.recordOf('stranger')?.incarnation ?? 0).toEqual(0);
	});

	it('ends the stage', async () => {
		await stage.close();
		expect(stage.living.length).toEqual(0);
	});
});
