/** An endpoint in a process of its own, stopped and woken by its own id. */
import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';

const program = fileURLToPath(new URL('endpoint-main.js', import.meta.url));

/** What an endpoint is made from. */
export type EndpointParts = {
	readonly id: string;
	readonly seed: number;
	readonly slots: number;
	/** Requests that wait for a slot; further ones are rejected. */
	readonly queue: number;
	readonly workMs: number;
	/** Connections that the kernel accepts for the process. */
	readonly backlog: number;
	/** Connections beyond these are reset. */
	readonly mostConnections: number;
	/** Time after which it closes an idle connection, in seconds. */
	readonly idleS: number;
	/** Share of its responses that it sends once more where the next one is due. */
	readonly surplusShare: number;
	/** Share of its responses that announce the end of their connection. */
	readonly closingShare: number;
	/** Share of its responses that end behind a head without framing. */
	readonly bareHeadShare: number;
	/** Share of its requests that it rejects at once. */
	readonly rejectedShare: number;
	/** Share of its requests that it rejects right before their deadline. */
	readonly lateRejectionShare: number;
	/** Whether it rejects before it has read a request's body. */
	readonly shedsBeforeBody: boolean;
};

/** What an endpoint did with a request. */
export type RequestEvent = {
	readonly kind: 'arrived' | 'began' | 'ended';
	readonly id: string;
	readonly endpoint: string;
	readonly connection: number;
	/** 0: it ended without a response. */
	readonly status: number;
	/** Milliseconds since the epoch. */
	readonly at: number;
};

export type EndpointEvent = RequestEvent | {readonly kind: 'listening'; readonly address: string};

/** A running endpoint. */
export class EndpointProcess {
	/** Starts an endpoint; `onEvent` gets what it does with requests. */
	static async start(parts: EndpointParts, onEvent: (event: RequestEvent) => void): Promise<EndpointProcess> {
		const child = fork(program, [JSON.stringify(parts)]);
		const address = await new Promise<string>((resolve, reject) => {
			child.once('exit', () => {
				reject(new Error(`endpoint ${parts.id} ended before it listened`));
			});
			child.on('message', message => {
				const event = message as EndpointEvent; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the program's own messages
				if (event.kind === 'listening') {
					resolve(event.address);
				} else {
					onEvent(event);
				}
			});
		});
		return new EndpointProcess(parts.id, address, child);
	}

	readonly id: string;
	readonly address: string;
	readonly #child: ChildProcess;

	private constructor(id: string, address: string, child: ChildProcess) {
		this.id = id;
		this.address = address;
		this.#child = child;
	}

	stop(): void {
		this.#child.kill('SIGSTOP');
	}

	wake(): void {
		this.#child.kill('SIGCONT');
	}

	async end(): Promise<void> {
		if (this.#child.exitCode === null && this.#child.signalCode === null) {
			const ended = once(this.#child, 'exit');
			this.#child.kill('SIGKILL');
			await ended;
		}
	}
}
