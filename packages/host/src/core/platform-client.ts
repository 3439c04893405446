/**
 * Read-only client of the platform: configuration values and the host list.
 * Its results are not authoritative; bundles are verified by signature in the bundle store.
 */
import {type Agent} from 'node:http';
import {type z} from 'zod';
import {check} from '@gatehead/schema/check';
import {fail} from '@gatehead/schema/failure';
import {
	hostList, platformPaths, publishedValue, type HostList, type PublishedValue,
} from '@gatehead/schema/platform-protocol';
import {type Context} from './context.js';
import {makeKeepAliveAgent, readText, sendCall} from './http-call.js';
import {StallTimer} from './stall-timer.js';

const maxResponseLength = 8_000_000;
const responseTimeoutMs = 3000;

/** Reads the platform. Throws `configurationDown` for an unexpected status or content, `SyntaxError` for a body that is not JSON, and `CallError` for a failed call. */
export class PlatformClient {
	readonly #context: Context;
	readonly #agent: Agent = makeKeepAliveAgent();

	constructor(context: Context) {
		this.#context = context;
	}

	/** Long-polls a value: resolves once its revision is above `after`, or with the current value after `waitMs` milliseconds. */
	async watch(key: string, after: number, waitMs: number, signal: AbortSignal): Promise<PublishedValue> {
		const query = new URLSearchParams({key, after: String(after), waitMs: String(waitMs)});
		return this.#read(this.#context.settings.platform.configuration, `${platformPaths.value}?${query.toString()}`, publishedValue, waitMs + responseTimeoutMs, signal);
	}

	/** Reads the list of hosts, which may be out of date. */
	async listHosts(signal: AbortSignal): Promise<HostList> {
		return this.#read(this.#context.settings.platform.hosts, platformPaths.hosts, hostList, responseTimeoutMs, signal);
	}

	/** Closes all connections. */
	close(): void {
		this.#agent.destroy();
	}

	async #read<Schema extends z.ZodType>(address: string, path: string, schema: Schema, stallMs: number, signal: AbortSignal): Promise<z.infer<Schema>> {
		this.#context.counters.count('platformReads');
		const timer = new StallTimer(this.#context.clock, stallMs, signal);
		try {
			const response = await sendCall({
				address, method: 'GET', path, signal: timer.signal,
			}, this.#agent);
			const text = await readText(response, maxResponseLength);
			return response.statusCode === 200 ? check(schema, JSON.parse(text), 'configurationDown', true) : fail('configurationDown', {detail: `unexpected status ${response.statusCode}`});
		} finally {
			timer.stop();
		}
	}
}
