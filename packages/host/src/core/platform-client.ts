/**
 * Reads of the platform: values, watches and the host list. Every call is counted; nothing is ever written.
 * Efficiency: what is read is a hint, but for a bundle, which its signature guards elsewhere.
 */
import {type Agent} from 'node:http';
import {type z} from 'zod';
import {check} from '@gatehead/schema/check';
import {fail} from '@gatehead/schema/failure';
import {
	hostList, platformPaths, publishedValue, type HostList, type PublishedValue,
} from '@gatehead/schema/platform-protocol';
import {type Context} from './context.js';
import {makeAgent, readText, sendCall} from './http-call.js';
import {StallWatch} from './stall.js';

const mostBytes = 8_000_000;
const answerMs = 3000;

/** Reads the platform. */
export class PlatformClient {
	readonly #context: Context;
	readonly #agent: Agent = makeAgent();

	constructor(context: Context) {
		this.#context = context;
	}

	/** The value once its revision is above `after`, or as it is when `waitMs` is over. */
	async watch(key: string, after: number, waitMs: number, signal: AbortSignal): Promise<PublishedValue> {
		const query = new URLSearchParams({key, after: String(after), waitMs: String(waitMs)});
		return this.#read(this.#context.settings.platform.configuration, `${platformPaths.value}?${query.toString()}`, publishedValue, waitMs + answerMs, signal);
	}

	/** The lagging list of hosts. */
	async listHosts(signal: AbortSignal): Promise<HostList> {
		return this.#read(this.#context.settings.platform.hosts, platformPaths.hosts, hostList, answerMs, signal);
	}

	/** Closes kept connections. */
	close(): void {
		this.#agent.destroy();
	}

	async #read<Schema extends z.ZodType>(address: string, path: string, schema: Schema, stallMs: number, signal: AbortSignal): Promise<z.infer<Schema>> {
		this.#context.counters.count('platformReads');
		const watch = new StallWatch(this.#context.clock, stallMs, signal);
		try {
			const response = await sendCall({
				address, method: 'GET', path, signal: watch.signal,
			}, this.#agent);
			const text = await readText(response, mostBytes);
			return response.statusCode === 200 ? check(schema, JSON.parse(text), 'configurationDown', true) : fail('configurationDown', {detail: `status ${response.statusCode}`});
		} finally {
			watch.stop();
		}
	}
}
