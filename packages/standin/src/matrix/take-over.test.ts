/** Catalogue: a stream whose guard dies is taken over by another host from the engine that still holds it. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {type HostsResponse} from '@gatehead/schema/caller-protocol';
import {wholeAnswer} from '../engine/answer.js';
import {CallerClient, type Reply, type Wish} from '../utils/caller.js';
import {Stage} from './stage.js';

const maxTokens = 120;
const prompt = 'Which walk is short? '.repeat(10);

function textOf(body: string): string {
	const lines = body.split('\n').filter(each => each.startsWith('data: {'));
	return lines.map(each => {
		const {choices} = JSON.parse(each.slice('data: '.length)) as {choices?: ReadonlyArray<{text: string}>}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the convention's own shape
		return choices?.[0]?.text ?? '';
	}).join('');
}

function lastIdOf(body: string): string {
	const ids = body.split('\n').filter(each => each.startsWith('id: '));
	return ids.at(-1)?.slice('id: '.length) ?? '';
}

/** Whole events only: a cut may leave half of one. */
function wholeEvents(body: string): string {
	return body.slice(0, body.lastIndexOf('\n\n') + 2);
}

async function sendWhileStepping(stage: Stage, client: CallerClient, address: string, wish: Wish, during?: () => Promise<void>): Promise<Reply> {
	let reply: Reply | undefined;
	const send = async () => {
		reply = await client.send(address, wish);
	};

	void send();
	await during?.();
	await stage.until(() => reply !== undefined, 20_000);
	if (reply === undefined) {
		throw new Error('no reply');
	}

	return reply;
}

type Case = {
	readonly name: string;
	/** Whose token the second call carries. */
	readonly token: string;
	/** Changes the place from which the caller wants the rest. */
	readonly change: (id: string) => string;
	readonly isWhole: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'gives the rest, each token once', token: 'token', change: id => id, isWhole: true,
	},
	{
		name: 'gives nothing of a run that the key does not name', token: 'token', change: id => id.replace(/[^\/]+$/v, 'host-1.zzz.1'), isWhole: false,
	},
];

describe('taking over a stream', () => {
	for (const {name, token, change, isWhole} of cases) {
		it(name, async () => {
			const stage = new Stage();
			const client = new CallerClient(token);
			try {
				await stage.start(3);
				const lookup = await sendWhileStepping(stage, client, stage.hosts[0]?.address ?? '', {method: 'GET', path: '/v1/hosts?hall=south'});
				const {hosts} = JSON.parse(lookup.body) as HostsResponse; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- our own answer
				const owner = stage.hosts.find(each => each.name === hosts[0]?.host);
				const wish: Wish = {
					method: 'POST', path: '/v1/completions', key: `${hosts[0]?.ticket}~walk`, body: {
						model: 'model', prompt, max_tokens: maxTokens, stream: true,
					},
				};
				const cut = await sendWhileStepping(stage, client, owner?.address ?? '', wish, async () => {
					await stage.until(() => stage.engines.some(({decode}) => decode.listHeld().some(each => each.tokens >= 8)), 5000);
					if (owner !== undefined) {
						await stage.kill(owner);
					}
				});
				const part = wholeEvents(cut.body);
				const other = stage.living[0]?.address ?? '';
				let rest = await sendWhileStepping(stage, client, other, {...wish, lastEvent: change(lastIdOf(part))});
				for (let tries = 0; tries < 8 && rest.status === 503; tries += 1) {
					await stage.pass(60);
					rest = await sendWhileStepping(stage, client, other, {...wish, lastEvent: change(lastIdOf(part))});
				}

				expect(cut.status).toEqual(0);
				expect(textOf(part).length > 0).toEqual(true);
				expect(rest.status).toEqual(isWhole ? 200 : 410);
				expect(textOf(part) + textOf(rest.body) === wholeAnswer(prompt, maxTokens)).toEqual(isWhole);
				await stage.until(() => stage.engines.every(({decode}) => decode.size === 0), 8000);
				expect(stage.engines.map(({decode}) => decode.size)).toEqual([0, 0, 0, 0]);
				expect(stage.engines.flatMap(({decode}) => [...decode.starts.values()])).toEqual([1]);
			} finally {
				client.close();
				await stage.close();
			}
		});
	}
});
