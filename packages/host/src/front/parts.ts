/** Types shared by the request handlers of the caller server. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type HostRings} from '@gatehead/policy/core/lookup';
import {type Ledger} from '@gatehead/policy/core/ledger';
import {type Caller} from '@gatehead/schema/bundle';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type TokenStream} from '../core/token-stream.js';
import {type AttemptOptions} from '../core/attempt.js';
import {type BundleStore, type AdoptedBundle} from '../core/bundle-store.js';
import {type Context} from '../core/context.js';
import {type CallOutcome} from './service-call.js';

/** This host's view of the fleet. */
export type Fleet = {
	/** All known hosts, including this one. */
	list(): readonly MemberRecord[];
	/** Hash rings of all known hosts, for lookups. */
	rings(): HostRings;
	/** Hosts that keep cells of a model; empty for an undefined or unknown model. */
	keepersOf(model: string | undefined): ReadonlySet<string>;
};

/** Work under a ledger key: a model request or a service call. */
export type Job
	= | {readonly kind: 'completion'; readonly answer: TokenStream}
		| {readonly kind: 'call'; readonly outcome: Promise<CallOutcome>};

/** Dependencies of the request handlers. */
export type FrontParts = {
	readonly context: Context;
	readonly bundles: BundleStore;
	readonly fleet: Fleet;
	readonly ledger: Ledger<Job>;
	readonly attempts: AttemptOptions;
	/** Whether a planned stop has reached the point where new requests are rejected; keys already in the ledger are still served. */
	readonly isStopping: () => boolean;
	/** Whether this process is ready to serve requests. */
	readonly isReady: () => boolean;
};

/** An authenticated request, as passed to a handler. */
export type Call = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly url: URL;
	readonly caller: Caller;
	readonly inForce: AdoptedBundle;
	/** Time of arrival on this host's clock, in milliseconds. */
	readonly arrivedAt: number;
};
