/** A caller's client as the stand-ins use it: looks up a host, sends, and tries the next address with the same key. */
import {Agent, request as httpRequest, type IncomingMessage} from 'node:http';
import {splitAddress} from '@gatehead/schema/address';
import {
	callerHeaders, callerPaths, hostsAnswer, type HostsResponse,
} from '@gatehead/schema/caller-protocol';

/** One HTTP exchange's outcome; `status` 0 where no whole answer came, with the part that did. */
export type Reply = {
	readonly status: number;
	readonly body: string;
	/** Milliseconds from the call to the first and to the last part of the body. */
	readonly firstMs: number;
	readonly lastMs: number;
};

/** What to send. */
export type Wish = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly body?: unknown;
	readonly key?: string;
	readonly lastEvent?: string;
};

/** A caller's connections. */
export class CallerClient {
	readonly #agent = new Agent({keepAlive: true, maxSockets: 1024});
	readonly #token: string;

	constructor(token: string) {
		this.#token = token;
	}

	/** Asks a host which hosts to use. */
	async lookUp(address: string, hall?: string): Promise<HostsResponse> {
		const reply = await this.send(address, {method: 'GET', path: hall === undefined ? callerPaths.hosts : `${callerPaths.hosts}?hall=${hall}`});
		return hostsAnswer.parse(JSON.parse(reply.body));
	}

	/** Sends one call; never raises. */
	async send(address: string, wish: Wish): Promise<Reply> {
		const {ip, port} = splitAddress(address);
		const start = performance.now();
		const headers: Record<string, string> = {authorization: `Bearer ${this.#token}`, 'content-type': 'application/json'};
		if (wish.key !== undefined) {
			headers[callerHeaders.key] = wish.key;
		}

		if (wish.lastEvent !== undefined) {
			headers[callerHeaders.lastEvent] = wish.lastEvent;
		}

		return new Promise(resolve => {
			const failed = (body = '') => {
				resolve({
					status: 0, body, firstMs: 0, lastMs: performance.now() - start,
				});
			};

			const call = httpRequest({
				host: ip, port, method: wish.method, path: wish.path, headers, agent: this.#agent,
			}, response => {
				void collect(response, start, resolve, failed);
			});
			call.once('error', () => {
				failed();
			});
			call.end(wish.body === undefined ? undefined : JSON.stringify(wish.body));
		});
	}

	/** Closes kept connections. */
	close(): void {
		this.#agent.destroy();
	}
}

async function collect(response: IncomingMessage, start: number, resolve: (reply: Reply) => void, failed: (body?: string) => void): Promise<void> {
	let body = '';
	let firstMs = 0;
	response.setEncoding('utf8');
	try {
		for await (const chunk of response) {
			firstMs = firstMs === 0 ? performance.now() - start : firstMs;
			body += String(chunk);
		}
	} catch {
		failed(body);
		return;
	}

	if (!response.complete) {
		failed(body);
		return;
	}

	resolve({
		status: response.statusCode ?? 0, body, firstMs, lastMs: performance.now() - start,
	});
}

/** Joins the text of a streamed completion; undefined where the stream did not end whole. */
export function joinEvents(body: string): string | undefined {
	let text = '';
	for (const line of body.split('\n')) {
		if (line === 'data: [DONE]') {
			return text;
		}

		if (line.startsWith('data: ')) {
			const {choices} = JSON.parse(line.slice('data: '.length)) as {choices?: ReadonlyArray<{text: string}>}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the convention's own shape
			text += choices?.[0]?.text ?? '';
		}
	}

	return undefined;
}
