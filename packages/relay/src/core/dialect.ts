/**
 * What the relay needs said to and heard from callers and endpoints, without
 * the words in which it is said: an adapter has those. Safety: `isNotRun` may
 * only be true where the endpoint itself says that it did not run a request.
 */
import {type IncomingHttpHeaders} from 'node:http';
import {type EndpointSignals} from '@gatehead/policy/relay/endpoint-signals';
import {type Endpoint} from '@gatehead/schema/routing';

/** What a caller's request says of itself. */
export type RequestFacts = {
	/** Name of this try; a caller's next try has another. */
	readonly id: string | undefined;
	/** How long the caller waits, in milliseconds; undefined: it does not say. */
	readonly patienceMs: number | undefined;
	readonly promptTokens: number;
	/** The caller's guess at the answer's length, right in the median. */
	readonly answerTokens: number;
	/** Id of the event after which the caller wants the stream to go on. */
	readonly lastEventId: string | undefined;
	/** Tokens of the prompt and of the longest answer, as quotas count them; undefined: the request does not say. */
	readonly countedTokens: number | undefined;
};

/** What is said to an endpoint besides the caller's own headers. */
export type SendFacts = {
	readonly endpoint: Endpoint;
	/** Time left, in milliseconds. */
	readonly leftMs: number;
	readonly isPrefill?: boolean;
	/** Where the prompt was read, and the name of the result there. */
	readonly source?: {readonly address: string; readonly result: string};
	/** A reservation at this endpoint. */
	readonly reservation?: string;
	readonly lastEventId?: string | undefined;
	/** The workspace whose key the caller showed. */
	readonly workspace?: string | undefined;
};

/** What an endpoint's answer says of itself. */
export type AnswerFacts = {
	/** The request that it answers. */
	readonly id: string | undefined;
	/** It carries the endpoint's own mark: only marked successes count. */
	readonly isMarked: boolean;
	/** The endpoint says that it did not run the request. */
	readonly isNotRun: boolean;
	/** Another endpoint has the address now. */
	readonly isOther: boolean;
	/** How long the connection may rest, in milliseconds; undefined: less than a second. */
	readonly restMs: number | undefined;
	/** What the endpoint states about itself besides. */
	readonly signals: EndpointSignals;
};

/** A call of the relay's own to an endpoint. */
export type EndpointCall = {
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body?: string;
};

/** A caller's question where to go. */
export type LookupFacts = {
	readonly hall: string | undefined;
};

/** The words of callers and endpoints. */
export type Dialect = {
	/** The path of checks of readiness. */
	readonly readyPath: string;
	/** The path of lookups. */
	readonly lookupPath: string;
	readRequest(headers: IncomingHttpHeaders): RequestFacts;
	/** The digest of the one key that a caller shows, by the headers as they came; undefined: none, more than one, or none that can be read. The key itself is kept nowhere. */
	readKeyDigest(rawHeaders: readonly string[]): string | undefined;
	/** Whether a header, by its name in small letters, says who the caller is: such headers go no further where workspaces have keys. */
	isIdentity(header: string): boolean;
	/** Whether a caller's header, by its name in small letters, is passed on. */
	isPassed(header: string): boolean;
	/** Headers said to an endpoint, names and values by turns. */
	sendHeaders(facts: SendFacts): string[];
	readAnswer(status: number, headers: IncomingHttpHeaders): AnswerFacts;
	/** Asks for room for a request of so many tokens. */
	reserve(tokens: number, lifeMs: number): EndpointCall;
	/** The reservation's name, or undefined where the answer holds none. */
	readReservation(body: string): string | undefined;
	cancelReservation(reservation: string): EndpointCall;
	/** The name of a prefill's result, or undefined where the answer holds none. */
	readPrefill(body: string): string | undefined;
	freeResult(result: string): EndpointCall;
	/** Orders an engine to change its part, under a fencing token. */
	orderStage(endpoint: Endpoint, stage: 'prefill' | 'decode', holder: string, fence: number): EndpointCall;
	readLookup(query: URLSearchParams): LookupFacts;
	writeLookup(addresses: readonly string[], ttlMs: number): string;
};
