/** The store as one host sees it: replicas stand at the host's own paths to them. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, request as httpRequest, type IncomingMessage, type ServerResponse,
} from 'node:http';
import {splitAddress} from '@gatehead/schema/address';

/** A running view. */
export type StoreView = {
	readonly address: string;
	close(): void;
};

type ViewedItem = {readonly key: string; readonly value?: string};
type ViewedAnswer = {readonly items?: readonly ViewedItem[]; readonly events?: readonly ViewedItem[]};

function translateItem(item: ViewedItem, paths: ReadonlyMap<string, string>): ViewedItem {
	if (item.value === undefined || !item.key.startsWith('servers/')) {
		return item;
	}

	const entry = JSON.parse(Buffer.from(item.value, 'base64').toString('utf8')) as {readonly address?: string}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the stand-in's own entry
	const address = paths.get(entry.address ?? '') ?? entry.address;
	return {...item, value: Buffer.from(JSON.stringify({...entry, address})).toString('base64')};
}

function translate(text: string, paths: ReadonlyMap<string, string>): string {
	const answer = JSON.parse(text) as ViewedAnswer; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the stand-in's own answer
	return JSON.stringify({
		...answer,
		...(answer.items === undefined ? {} : {items: answer.items.map(item => translateItem(item, paths))}),
		...(answer.events === undefined ? {} : {events: answer.events.map(item => translateItem(item, paths))}),
	});
}

async function passOn(answer: IncomingMessage, response: ServerResponse, paths: ReadonlyMap<string, string>): Promise<void> {
	let text = '';
	try {
		for await (const chunk of answer.setEncoding('utf8')) {
			text += String(chunk);
		}
	} catch {
		response.destroy();
		return;
	}

	const {'store-era': era} = answer.headers;
	response.writeHead(answer.statusCode ?? 0, {'Content-Type': 'application/json', ...(era === undefined ? {} : {'store-era': era})});
	response.end(translate(text, paths));
}

/** Starts a view of a store; `paths` gives a host's own addresses by the published ones. */
export async function startStoreView(store: string, paths: ReadonlyMap<string, string>): Promise<StoreView> {
	const {ip, port} = splitAddress(store);
	const server = createServer((request, response) => {
		const call = httpRequest({
			host: ip, port, path: request.url, agent: false,
		});
		call.once('response', answer => {
			void passOn(answer, response, paths);
		});
		call.once('error', () => {
			response.destroy();
		});
		response.once('close', () => {
			call.destroy();
		});
		call.end();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const bound = server.address();
	return {
		address: `127.0.0.1:${typeof bound === 'object' && bound !== null ? bound.port : 0}`,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}
