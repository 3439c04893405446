/**
 * What the caller front's handlers share, passed down in one object.
 * Neither safety nor efficiency rests on it.
 */
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

/** The hosts as this one knows them. */
export type Fleet = {
	/** All known hosts, this one among them. */
	list(): readonly MemberRecord[];
	/** The same, laid out for lookups. */
	rings(): HostRings;
	/** Hosts that keep cells of a model; empty for a model that is not known. */
	keepersOf(model: string | undefined): ReadonlySet<string>;
};

/** What the ledger guards: a growing answer, a plain call, or one whose answer was let go. */
export type Job
	= | {readonly kind: 'completion'; readonly answer: TokenStream}
		| {readonly kind: 'call'; readonly outcome: Promise<CallOutcome>};

/** Shared by all handlers. */
export type FrontParts = {
	readonly context: Context;
	readonly bundles: BundleStore;
	readonly fleet: Fleet;
	readonly ledger: Ledger<Job>;
	readonly attempts: AttemptOptions;
	/** Whether a planned stop has come so far that nothing new is begun; what is known stays answerable. */
	readonly isStopping: () => boolean;
	/** Whether this process knows enough to serve. */
	readonly isReady: () => boolean;
};

/** One call as a handler gets it. */
export type Call = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly url: URL;
	readonly caller: Caller;
	readonly inForce: AdoptedBundle;
	/** Own clock's instant of arrival. */
	readonly arrivedAt: number;
};
