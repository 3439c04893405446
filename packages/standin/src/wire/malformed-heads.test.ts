/** Guards against responses that break the syntax of HTTP outside their bodies and reach callers as answers. */
import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {headReaders} from './head-readers.js';
import {
	fieldPlaces, malformedFields, malformedStatusLines, malformedText, placeInformationalLine, placeStatusLine, writeMalformed, writings, type MalformedResponse, type ResponseText,
} from './malformed-heads.js';
import {writeResponse, startScriptedEndpoint} from './scripted-endpoint.js';
import {
	bodyOf, reaches, streamOf, type CallKind, type Reach, type ScriptedWorld,
} from './scripted-world.js';

const okStatus = 200;
/** Statuses that callers may get: of a sound response, and of this host's errors about one that is not. */
const ownStatuses: ReadonlySet<number> = new Set([okStatus, 502, 503, 504]);
/** Text of bodies behind a malformed head, and of what they grant. */
const unparsedText = 'unparsed';
const streamAttempts = 3;
/** Repeats in one window: more than the whole table needs. */
const retryAllowance = 100_000;
/** Time after which a client is given up, in milliseconds. */
const readTimeoutMs = 5000;

type Shape = {
	readonly name: string;
	readonly lines: Readonly<Record<string, string>>;
	readonly place: (line: string, response: ResponseText) => MalformedResponse;
	/** Whether the head is sound, so that the body arrives before the fault. */
	readonly isHeadSound: boolean;
};

const shapes: readonly Shape[] = [
	{
		name: 'in the status line', lines: malformedStatusLines, place: placeStatusLine, isHeadSound: false,
	},
	{
		name: 'in the status line of an informational response', lines: malformedStatusLines, place: placeInformationalLine, isHeadSound: false,
	},
	...Object.entries(fieldPlaces).map(([name, place]) => ({
		name, lines: malformedFields, place, isHeadSound: name === 'in a trailer',
	})),
];

type SendPlace = {
	readonly name: string;
	readonly kind: CallKind;
	readonly path: string;
	/** Body of the malformed response. */
	readonly body: string;
	/** Body that the caller gets of sound responses. */
	readonly whole: (id: string) => string;
	/** Whether the response continues a stream whose first run broke off behind its first event. */
	readonly isContinuation?: boolean;
};

function unparsedEvents(after = 0): string {
	return streamOf(unparsedText, after);
}

const sendPlaces: readonly SendPlace[] = [
	{
		name: 'a call that may run once', kind: 'run', path: '/once/1', body: unparsedText, whole: bodyOf,
	},
	{
		name: 'a repeatable call', kind: 'run', path: '/repeatable/1', body: unparsedText, whole: bodyOf,
	},
	{
		name: 'a stream that may run once', kind: 'run', path: '/stream/1', body: unparsedEvents(), whole: streamOf,
	},
	{
		name: 'a resumable stream', kind: 'run', path: '/resumable/1', body: unparsedEvents(), whole: streamOf,
	},
	{
		name: 'a continuation', kind: 'run', path: '/resumable/1', body: unparsedEvents(1), whole: streamOf, isContinuation: true,
	},
	{
		name: 'a prefill', kind: 'prefill', path: '/stream/1', body: JSON.stringify({prefillHandle: unparsedText, tokens: 1, version: 1}), whole: streamOf,
	},
	{
		name: 'a reservation', kind: 'reservation', path: '/stream/1', body: JSON.stringify({hold: unparsedText}), whole: streamOf,
	},
];

function fieldsOf(kind: CallKind, id: string): string {
	return kind === 'reservation' ? '' : `Request-Id: ${id}\r\nServer-Seal: seal\r\n`;
}

/** First part of a stream that breaks off. */
function beginStream(id: string): string {
	const event = streamOf(id).slice(0, -streamOf(id, 1).length);
	return `HTTP/1.1 200 OK\r\n${fieldsOf('run', id)}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${event.length.toString(16)}\r\n${event}\r\n`;
}

function describeReach(reach: Reach): void {
	describe(`malformed responses, ${reach}`, () => {
		let scripted: ScriptedWorld;
		let sent = 0;

		before(async () => {
			scripted = await reaches[reach]({
				plain: 2, prefill: 2, decode: 3, streamAttempts, retryAllowance,
			});
		});

		after(async () => {
			await scripted.stop();
		});

		/** Sends a request one of whose sends gets the response; returns what is wrong with what its caller gets. */
		async function findFaults(place: SendPlace, {place: placeLine, isHeadSound}: Shape, line: string, writing: keyof typeof writings): Promise<string[]> {
			await scripted.publish();
			sent += 1;
			const id = `request-${sent}`;
			let isBegun = place.isContinuation !== true;
			let isPending = true;
			scripted.takenResults.length = 0;
			scripted.takenReservations.length = 0;
			scripted.intercept = ({socket}, kind) => {
				if (kind !== place.kind || !isPending) {
					return false;
				}

				if (isBegun) {
					isPending = false;
					void writeMalformed(socket, writing, placeLine(line, {fields: fieldsOf(kind, id), body: place.body}));
				} else {
					isBegun = true;
					socket.write(beginStream(id), () => {
						socket.destroy();
					});
				}

				return true;
			};

			const {status, headers, body, isWhole, isGivenUp} = await sendRequest({
				// Contents whose runs fail at several endpoints get no more of them
				address: scripted.caller, id, path: place.path, body: id,
			});
			const isComplete = status === okStatus && isWhole;
			const faults: Readonly<Record<string, boolean>> = {
				'the response was not sent': isPending,
				'no answer': isGivenUp,
				[`status ${status}`]: !ownStatuses.has(status),
				'the malformed line': JSON.stringify(headers).includes(malformedText) || body.includes(malformedText),
				'the unparsed body': !isHeadSound && body.includes(unparsedText),
				'complete without a sound response': isComplete && !scripted.runs.includes(id),
				'not the body of an endpoint': isComplete && !isHeadSound && body !== place.whole(id),
				'a granted result': scripted.takenResults.includes(unparsedText) || scripted.takenReservations.includes(unparsedText),
			};
			return Object.keys(faults).filter(fault => faults[fault]);
		}

		// The second host reads the responses to prompts and reservations as the first one does
		for (const place of sendPlaces.filter(({kind}) => reach === 'direct' || kind === 'run')) {
			for (const shape of shapes) {
				for (const writing of Object.keys(writings) as Array<keyof typeof writings>) { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- its own keys
					it(`${place.name}: ${shape.name}, ${writing}`, async () => {
						const faults = [];
						for (const [name, line] of Object.entries(shape.lines)) {
							for (const fault of await findFaults(place, shape, line, writing)) {
								faults.push(`${name}: ${fault}`);
							}
						}

						expect(faults).toEqual([]);
					});
				}
			}
		}
	});
}

describeReach('direct');
describeReach('forwarded');

describe('malformed responses to other clients', () => {
	/** Whether a client takes a response for an answer. */
	async function isAnswer({read}: typeof headReaders[number], respond: Parameters<typeof startScriptedEndpoint>[0]): Promise<boolean> {
		const endpoint = await startScriptedEndpoint(respond);
		try {
			return await read(endpoint.address, AbortSignal.timeout(readTimeoutMs)).then(() => true, () => false);
		} finally {
			endpoint.stop();
		}
	}

	for (const reader of headReaders) {
		it(`${reader.name}: a sound response is an answer`, async () => {
			expect(await isAnswer(reader, call => {
				call.socket.write(writeResponse(okStatus, reader.fieldsFor(call), reader.body));
			})).toEqual(true);
		});

		for (const shape of shapes) {
			for (const writing of Object.keys(writings) as Array<keyof typeof writings>) { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- its own keys
				it(`${reader.name}: ${shape.name}, ${writing}`, async () => {
					const answers = [];
					for (const [name, line] of Object.entries(shape.lines)) {
						const isTaken = await isAnswer(reader, call => {
							const fields = Object.entries(reader.fieldsFor(call)).map(([field, value]) => `${field}: ${value}\r\n`).join('');
							void writeMalformed(call.socket, writing, shape.place(line, {fields, body: reader.body}));
						});
						if (isTaken) {
							answers.push(name);
						}
					}

					expect(answers).toEqual([]);
				});
			}
		}
	}
});
