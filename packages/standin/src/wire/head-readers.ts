/** Every client that reads responses outside the runs of a request, with a response that it takes for an answer. */
import {systemClock} from '@gatehead/policy/utils/clock';
import {readBody} from '@gatehead/relay/upstream/exchange';
import {
	createForwarder, createJob, headMs, nameForward,
} from './lone-forwarder.js';
import {createOwnCalls, makeEngine} from './own-calls.js';
import {responseReaders, type ResponseReader} from './response-readers.js';
import {type ScriptedCall} from './scripted-endpoint.js';

/** Size limit of a body, in bytes. */
const maxBytes = 65_536;

/** A client; `read` rejects unless the response counts as an answer. */
export type HeadReader = ResponseReader & {
	/** Header fields of a sound response. */
	readonly fieldsFor: (call: ScriptedCall) => Readonly<Record<string, string>>;
	readonly body: string;
};

const forwards: HeadReader = {
	name: 'a forward to another host', body: 'answer', async read(address) {
		const forwarder = createForwarder(address);
		try {
			const result = await forwarder.send(createJob(), {attempts: 2, headMs});
			if (result.kind !== 'answer') {
				throw new Error(result.kind);
			}

			await readBody(result.response, systemClock, {maxBytes});
		} finally {
			forwarder.close();
		}
	},
	fieldsFor: call => ({...nameForward(call), 'Request-Id': call.id, 'Server-Seal': 'seal'}),
};

const lists: HeadReader = {
	name: 'a list of an engine', body: JSON.stringify({runs: []}), async read(address) {
		const {own, endpoints} = createOwnCalls(systemClock);
		try {
			const {kind} = await own.listRuns(makeEngine(address));
			if (kind !== 'listed') {
				throw new Error(kind);
			}
		} finally {
			endpoints.close();
		}
	},
	fieldsFor: () => ({}),
};

/** Sound responses to the clients that do not take any for an answer. */
const soundResponses: Readonly<Record<string, Pick<HeadReader, 'body' | 'fieldsFor'>>> = {
	'the directory': {body: JSON.stringify({items: [], asOf: 1}), fieldsFor: () => ({'Store-Era': '1'})},
};
const plainResponse: Pick<HeadReader, 'body' | 'fieldsFor'> = {body: 'answer', fieldsFor: () => ({})};

export const headReaders: readonly HeadReader[] = [
	...responseReaders.map(reader => ({...reader, ...(soundResponses[reader.name] ?? plainResponse)})),
	forwards,
	lists,
];
