/** Waits until every host of a deployment serves. */
import {setTimeout as pause} from 'node:timers/promises';
import {CallerClient} from '../utils/caller.js';
import {type Deployment} from './deployment.js';

const pollMs = 100;
const longestMs = 20_000;

/** Waits for all hosts, or raises after 20 s. */
export async function waitUntilServing({hosts, bundle}: Pick<Deployment, 'hosts' | 'bundle'>): Promise<void> {
	const client = new CallerClient(`demo-${bundle.callers[0]?.name ?? ''}`);
	const end = performance.now() + longestMs;
	for (const {callerAddress, name} of hosts) {
		for (;;) {
			const {status} = await client.send(callerAddress, {method: 'GET', path: '/v1/hosts'});
			if (status === 200) {
				break;
			}

			if (performance.now() > end) {
				client.close();
				throw new Error(`${name} does not serve after ${longestMs} ms`);
			}

			await pause(pollMs);
		}
	}

	client.close();
}
