/** An endpoint that closes the connection of its first response, and pauses at the same instant. */
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {Worker} from 'node:worker_threads';
import {splitAddress} from '@gatehead/schema/address';
import {until} from './world.js';

/** Connections that the queue of a paused endpoint holds. */
const queuedConnections = 2;

export type PausedEndpointParts = {
	readonly stage: 'decode' | undefined;
	/** What it sends before it closes the connection; `ID`: id of the request. */
	readonly response: string;
	/** Whether its queue of new connections is full during the pause, so that the kernel neither accepts nor refuses any. */
	readonly isQueueFull: boolean;
};

export type PausedEndpointData = Pick<PausedEndpointParts, 'stage' | 'response'> & {
	/** Its first element is raised to 1 to close the connection and to 2 to end the pause. */
	readonly gate: Int32Array;
};

type WorkerMessage
	= | {readonly kind: 'listening'; readonly address: string}
		| {readonly kind: 'run'; readonly id: string}
		| {readonly kind: 'pausing' | 'closed'};

export class PausedEndpoint {
	static async start({stage, response, isQueueFull}: PausedEndpointParts): Promise<PausedEndpoint> {
		const gate = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
		const data: PausedEndpointData = {stage, response, gate};
		const worker = new Worker(new URL('paused-endpoint-worker.js', import.meta.url), {workerData: data});
		const [{address}] = await once(worker, 'message') as [Extract<WorkerMessage, {kind: 'listening'}>]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the worker's first message
		return new PausedEndpoint(worker, gate, address, isQueueFull);
	}

	readonly address: string;
	/** Ids of the requests that it has run. */
	readonly runs: string[] = [];
	/** Whether the connection of the first response is closed. */
	isClosed = false;
	readonly #worker: Worker;
	readonly #gate: Int32Array;
	readonly #fillers: Socket[] = [];

	private constructor(worker: Worker, gate: Int32Array, address: string, isQueueFull: boolean) {
		this.#worker = worker;
		this.#gate = gate;
		this.address = address;
		const handlers: {readonly [Kind in WorkerMessage['kind']]: (message: Extract<WorkerMessage, {kind: Kind}>) => void} = {
			listening() {
				throw new Error('the endpoint listens already');
			},
			run: ({id}) => {
				this.runs.push(id);
			},
			pausing: () => {
				void this.#close(isQueueFull);
			},
			closed: () => {
				this.isClosed = true;
			},
		};
		worker.on('message', (message: WorkerMessage) => {
			const handle = handlers[message.kind] as (each: WorkerMessage) => void; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the handler of this kind
			handle(message);
		});
	}

	/** Ends the pause. */
	goOn(): void {
		this.#open(2);
		for (const filler of this.#fillers) {
			filler.destroy();
		}
	}

	/** Ends the endpoint, paused or not. */
	async kill(): Promise<void> {
		await this.#worker.terminate();
		for (const filler of this.#fillers) {
			filler.destroy();
		}
	}

	async #close(isQueueFull: boolean): Promise<void> {
		if (isQueueFull) {
			await this.#fillQueue();
		}

		this.#open(1);
	}

	async #fillQueue(): Promise<void> {
		const {ip, port} = splitAddress(this.address);
		for (let count = 0; count <= queuedConnections; count += 1) {
			const filler = connect({host: ip, port});
			filler.on('error', () => {
				filler.destroy();
			});
			this.#fillers.push(filler);
		}

		await until(() => this.#fillers.filter(({readyState}) => readyState === 'open').length >= queuedConnections);
	}

	#open(step: number): void {
		Atomics.store(this.#gate, 0, step);
		Atomics.notify(this.#gate, 0);
	}
}
