/** Clients of the project that read responses outside the relay's own exchanges. */
import {
	makeKeepAliveAgent, readText, sendCall, sendOnce,
} from '@gatehead/host/core/http-call';
import {Store} from '@gatehead/platform/store';

/** Size limit of a body, in UTF-16 code units. */
const maxLength = 65_536;

/** A client; `read` ends when it has read a response from the address, or when that has failed. Rejects in the second case. */
export type ResponseReader = {
	readonly name: string;
	readonly read: (address: string, signal: AbortSignal) => Promise<unknown>;
};

export const responseReaders: readonly ResponseReader[] = [
	{
		name: 'the directory', async read(address, signal) {
			const store = new Store(address);
			try {
				return await store.list(signal);
			} finally {
				store.close();
			}
		},
	},
	{
		name: 'a repeatable call of the own front', async read(address, signal) {
			const agent = makeKeepAliveAgent();
			try {
				return await readText(await sendCall({
					address, method: 'GET', path: '/', signal,
				}, agent), maxLength);
			} finally {
				agent.destroy();
			}
		},
	},
	{
		name: 'a call of the own front that may run once', async read(address, signal) {
			return readText(await sendOnce({
				address, method: 'GET', path: '/', signal,
			}, () => true), maxLength);
		},
	},
];
