/** The links between one host and the endpoints, which a test can cut. */
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {Worker} from 'node:worker_threads';
import {splitAddress} from '@gatehead/schema/address';

/** How links are cut. `silent`: nothing passes on open connections, and new ones hang; `refused`: open connections are reset and new ones refused; `newRefused`: open connections live on, new ones are refused. */
export type LinkCut = 'silent' | 'refused' | 'newRefused';

/** Connections that fill the queue of a blocked listener. */
const queuedConnections = 3;

/** Proxies of one host before all endpoints. */
export class LinkProxy {
	/** Starts proxies before endpoints. */
	static async start(targets: readonly string[]): Promise<LinkProxy> {
		const worker = new Worker(new URL('link-proxy-worker.js', import.meta.url));
		worker.postMessage({kind: 'open', targets});
		const [addresses] = await once(worker, 'message') as [string[]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the worker's own message
		return new LinkProxy(worker, addresses);
	}

	/** Addresses of the proxies, in the order of the endpoints. */
	readonly addresses: readonly string[];
	readonly #worker: Worker;
	#gate = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
	#fillers: Socket[] = [];
	#isCut = false;

	private constructor(worker: Worker, addresses: readonly string[]) {
		this.#worker = worker;
		this.addresses = addresses;
	}

	/** Cuts all links, unless they are cut. */
	async cut(how: LinkCut): Promise<void> {
		if (this.#isCut) {
			return;
		}

		this.#isCut = true;
		if (how !== 'silent') {
			this.#worker.postMessage({kind: 'refuse', resetsOpen: how === 'refused'});
			await once(this.#worker, 'message');
			return;
		}

		this.#gate = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
		this.#worker.postMessage({kind: 'block', gate: this.#gate});
		await once(this.#worker, 'message');
		// The kernel accepts a few connections for a blocked listener
		for (const address of this.addresses) {
			const {ip, port} = splitAddress(address);
			for (let count = 0; count < queuedConnections; count += 1) {
				const filler = connect({host: ip, port});
				filler.on('error', () => {
					filler.destroy();
				});
				this.#fillers.push(filler);
			}
		}
	}

	/** Restores all links. */
	async heal(): Promise<void> {
		if (!this.#isCut) {
			return;
		}

		this.#isCut = false;
		for (const filler of this.#fillers) {
			filler.destroy();
		}

		this.#fillers = [];
		Atomics.store(this.#gate, 0, 1);
		Atomics.notify(this.#gate, 0);
		this.#worker.postMessage({kind: 'heal'});
		await once(this.#worker, 'message');
	}

	async close(): Promise<void> {
		await this.heal();
		await this.#worker.terminate();
	}
}
