/**
 * Interface to the wire protocol of callers and endpoints; an adapter maps it
 * to concrete headers, paths and bodies. Safety: `isNotRun` may only be true
 * if the endpoint itself states that it did not run the request.
 */
import {type IncomingHttpHeaders} from 'node:http';
import {type EndpointSignals} from '@gatehead/policy/relay/endpoint-signals';
import {type Endpoint} from '@gatehead/schema/routing';

/** A part of a prompt, or what an engine holds of it, in tokens. */
export type PromptPart = {
	readonly id: string;
	readonly tokens: number;
};

/** A run in progress at an engine. */
export type EngineRun = {
	readonly requestId: string;
	/** Events that the engine has made, whether or not anybody received them. */
	readonly events: number;
};

/** Metadata of a caller's request. */
export type RequestFacts = {
	/** Id of this attempt; each retry by the caller has its own. */
	readonly id: string | undefined;
	/** Caller's timeout in milliseconds; undefined if the request states none. */
	readonly timeoutMs: number | undefined;
	readonly promptTokens: number;
	/** Caller's estimate of the response length in tokens: its median, not an upper bound. */
	readonly answerTokens: number;
	/** Id of the last event that the caller received, if it resumes a stream. */
	readonly lastEventId: string | undefined;
	/** Id of the attempt that brought the stream's first event, if it resumes a stream and its caller states it. */
	readonly resumedId: string | undefined;
	/** Ids of the prompt's parts that other requests may share, in order; without the last part, which is the request's own. */
	readonly sharedParts: readonly string[];
	/** The prompt's last part, which is the request's own or its session's; undefined if the request states none. */
	readonly ownPart: PromptPart | undefined;
	/** Tokens charged to quotas: prompt plus longest possible response; undefined if the request states none. */
	readonly countedTokens: number | undefined;
};

/** Metadata sent to an endpoint besides the caller's own headers. */
export type SendFacts = {
	readonly endpoint: Endpoint;
	/** Time until the request's deadline, in milliseconds. */
	readonly remainingMs: number;
	readonly isPrefill?: boolean;
	/** Prefill replica that processed the prompt, and the id of the result there. */
	readonly source?: {readonly address: string; readonly result: string};
	/** Id of a reservation at this endpoint. */
	readonly reservation?: string;
	readonly lastEventId?: string | undefined;
	/** Workspace of the key that the caller presented. */
	readonly workspace?: string | undefined;
};

/** Metadata sent to another host besides the caller's own headers. */
export type HandOverFacts = {
	/** Time until the request's deadline, in milliseconds. */
	readonly remainingMs: number;
	readonly lastEventId: string | undefined;
};

/** Metadata of an endpoint's response. */
export type ResponseFacts = {
	/** Id of the request that it responds to. */
	readonly id: string | undefined;
	/** Whether the response carries the header that endpoints add; a successful status without it does not count as a success. */
	readonly isMarked: boolean;
	/** Whether the endpoint states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether the address now belongs to another endpoint. */
	readonly isAddressReassigned: boolean;
	/** Keep-alive timeout of the idle connection, in milliseconds; undefined: less than a second. */
	readonly keepAliveMs: number | undefined;
	/** Limits and state that the endpoint reports about itself. */
	readonly signals: EndpointSignals;
};

/** Request that the relay itself makes to an endpoint, on behalf of no caller. */
export type EndpointCall = {
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body?: string;
};

/** Parameters of a caller's endpoint lookup. */
export type LookupFacts = {
	readonly hall: string | undefined;
};

/** Protocol spoken with callers and endpoints. */
export type Dialect = {
	/** Path of the readiness check. */
	readonly readyPath: string;
	/** Path of endpoint lookups. */
	readonly lookupPath: string;
	readRequest(headers: IncomingHttpHeaders): RequestFacts;
	/** Digest of the key that a caller presents, from the raw headers; undefined if there is no key, more than one, or a malformed one. The key itself is not stored. */
	readKeyDigest(rawHeaders: readonly string[]): string | undefined;
	/** Whether a header (lower-case name) identifies the caller; such headers are not forwarded if workspaces have keys. */
	identifiesCaller(header: string): boolean;
	/** Whether a caller's header (lower-case name) is forwarded. */
	isForwarded(header: string): boolean;
	/** Headers to send to an endpoint, as a flat list of alternating names and values. */
	sendHeaders(facts: SendFacts): string[];
	/** Headers to send to another host that serves the request in place of this one, as a flat list of alternating names and values. */
	handOverHeaders(facts: HandOverFacts): string[];
	readResponse(status: number, headers: IncomingHttpHeaders): ResponseFacts;
	/** Call that reserves memory for a request of `tokens` tokens for `lifeMs` milliseconds. */
	reserve(tokens: number, lifeMs: number): EndpointCall;
	/** Id of the reservation; undefined if the response contains none. */
	readReservation(body: string): string | undefined;
	cancelReservation(reservation: string): EndpointCall;
	/** Id of a prefill's result; undefined if the response contains none. */
	readPrefill(body: string): string | undefined;
	freeResult(result: string): EndpointCall;
	/** Call that switches an engine to another stage, guarded by a fencing token. */
	orderStage(endpoint: Endpoint, stage: 'prefill' | 'decode', holder: string, fence: number): EndpointCall;
	/** Call that lists the runs in progress at an engine. */
	listRuns(endpoint: Endpoint): EndpointCall;
	/** Undefined if the response is malformed. */
	readRuns(body: string): EngineRun[] | undefined;
	/** Call that lists the prompt parts in an engine's cache, with what was generated behind them. */
	listCachedParts(endpoint: Endpoint): EndpointCall;
	/** Undefined if the response is malformed. */
	readCachedParts(body: string): PromptPart[] | undefined;
	readLookup(query: URLSearchParams): LookupFacts;
	writeLookup(addresses: readonly string[], ttlMs: number): string;
};
