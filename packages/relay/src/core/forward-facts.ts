/**
 * Headers of requests that one host forwards to another, and of the errors
 * that come back. Safety: these headers are read on the listener for hosts
 * alone, and are removed from whatever callers and endpoints send.
 */
import {type IncomingHttpHeaders} from 'node:http';
import {fail} from '@gatehead/schema/failure';
import {isNestedDeeper} from '@gatehead/schema/json-depth';
import {
	maxSoftwareVersionLength, route, service, workspace, type Route, type Service, type Workspace,
} from '@gatehead/schema/routing';
import {z} from 'zod';

const prefix = 'gatehead-';
/** Response header with the number of the error code, if the response is the other host's own error. */
export const errorCodeHeader = 'gatehead-error';
/** Request header with the software version that the endpoint must run, and response header with the one that it runs. */
const softwareVersionHeader = 'gatehead-software-version';

/** Header with the id of the forward, unlike any other of the entry host. Responses repeat it, which shows what they answer. */
const forwardIdHeader = 'gatehead-forward-id';
const maxForwardIdLength = 64;

/** Request header with the route, service and workspace that the entry host resolved the request to. */
const resolutionHeader = 'gatehead-resolution';
/** Maximum length of that header, in characters; ten times that of a route with one service. */
const maxResolutionLength = 8192;
/** Maximum nesting depth of its value; twice that of a route. */
const maxResolutionDepth = 8;
/** Room for the headers of a forward beside those of its caller, in bytes. */
export const forwardHeaderBytes = 16_384;

/** What a request resolved to at its entry host. The other host may have another configuration, without the route or with other limits, and has to serve a request that was accepted before. */
const forwardResolution = z.object({route, service, workspace: workspace.pick({name: true, priority: true, weight: true}).optional()});

export type ForwardResolution = {
	readonly route: Route;
	readonly service: Service;
	readonly workspace: Workspace | undefined;
};

/** Metadata of a forwarded request, set by its entry host. */
export const forwardFacts = z.object({
	/** Host that the request entered at. */
	entryHost: z.string().min(1).max(200),
	/** Version of the configuration that the request was resolved by. */
	routingVersion: z.coerce.number().int().nonnegative(),
	service: z.string().min(1).max(200),
	/** Workspace whose key was checked at the entry host. */
	workspace: z.string().min(1).max(200).optional(),
	/** Endpoints that may run the request. */
	attempts: z.coerce.number().int().min(1),
	isCallerRetry: z.enum(['0', '1']),
	/** Software version that the endpoint must run, if the stream has begun. */
	softwareVersion: z.string().max(maxSoftwareVersionLength).optional(),
});

export type ForwardFacts = z.infer<typeof forwardFacts>;

const headerNames: Readonly<Record<keyof ForwardFacts, string>> = {
	entryHost: 'gatehead-entry-host', routingVersion: 'gatehead-version', service: 'gatehead-service', workspace: 'gatehead-workspace', attempts: 'gatehead-attempts', isCallerRetry: 'gatehead-caller-retry', softwareVersion: softwareVersionHeader,
};

/** Whether a header (lower-case name) is reserved for requests between hosts. */
export function isReservedHeader(name: string): boolean {
	return name.startsWith(prefix);
}

/** Headers to send, as alternating names and values. Names of services and workspaces may hold any characters. */
export function writeForwardFacts(facts: ForwardFacts): string[] {
	const headers: string[] = [];
	for (const [field, value] of Object.entries(facts)) {
		if (value !== undefined) {
			headers.push(headerNames[field as keyof ForwardFacts], encodeURIComponent(String(value))); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a key of the facts
		}
	}

	return headers;
}

/** Reads the headers of a forwarded request. Throws `headerInvalid`. */
export function readForwardFacts(headers: IncomingHttpHeaders): ForwardFacts {
	const values = Object.entries(headerNames).map(([field, name]) => [field, decode(headers[name])]);
	const read = forwardFacts.safeParse(Object.fromEntries(values));
	return read.success ? read.data : fail('headerInvalid', {detail: read.error.message});
}

/** Header with what a request resolved to; empty if that is too long, in which case the other host uses its own configuration. */
export function writeForwardResolution({route: resolved, service: chosen, workspace: owner}: ForwardResolution): string[] {
	const text = encodeURIComponent(JSON.stringify({
		route: {...resolved, shares: [{service: chosen.name, weight: 1}]}, service: chosen, ...(owner === undefined ? {} : {workspace: {name: owner.name, priority: owner.priority, weight: owner.weight}}),
	}));
	return text.length > maxResolutionLength ? [] : [resolutionHeader, text];
}

/** Reads what a forwarded request resolved to; undefined if its entry host does not state it. */
export function readForwardResolution(headers: IncomingHttpHeaders): ForwardResolution | undefined {
	const text = decode(headers[resolutionHeader]);
	if (text === undefined || text.length > maxResolutionLength || isNestedDeeper(text, maxResolutionDepth)) {
		return undefined;
	}

	try {
		const read = forwardResolution.safeParse(JSON.parse(text)).data;
		// Only the entry host checks keys and charges quotas
		return read === undefined ? undefined : {...read, workspace: read.workspace === undefined ? undefined : {...read.workspace, keyDigests: []}};
	} catch {
		return undefined;
	}
}

/** Header with the id of a forward, as name and value. */
export function writeForwardId(id: string): [string, string] {
	return [forwardIdHeader, id];
}

/** Id of the forward that a message belongs to; undefined if it states none. */
export function readForwardId(headers: IncomingHttpHeaders): string | undefined {
	const id = headers[forwardIdHeader];
	return typeof id === 'string' && id.length <= maxForwardIdLength ? id : undefined;
}

/** Header that tells another host which software version the endpoint runs, as name and value. */
export function writeSoftwareVersion(version: string): [string, string] {
	return [softwareVersionHeader, encodeURIComponent(version)];
}

/** Software version of the endpoint whose response another host passes on; undefined if that host does not state it. */
export function readSoftwareVersion(headers: IncomingHttpHeaders): string | undefined {
	return decode(headers[softwareVersionHeader]);
}

function decode(value: string | string[] | undefined): string | undefined {
	if (typeof value !== 'string') {
		return undefined;
	}

	try {
		return decodeURIComponent(value);
	} catch {
		return undefined;
	}
}
