/**
 * A caller's request while it is processed. Safety: a run is entered in `runs`
 * before the first byte can reach an endpoint and is taken back only when the
 * endpoint itself confirms that it did not run the request; every error
 * response depends on it.
 */
import {type RetryPermit} from '@gatehead/policy/relay/retry-budget';
import {type Route, type Service, type Workspace} from '@gatehead/schema/routing';
import {type Reply} from '../front/reply.js';
import {type RequestFacts} from '../core/dialect.js';
import {type RequestContent} from './request-content.js';
import {type RunLedger} from './run-ledger.js';

/** A request with its buffered body, its route and its state. */
export type Job = {
	/** Request id for the log: the caller's, or a generated one. */
	readonly id: string;
	readonly facts: RequestFacts;
	readonly route: Route;
	readonly service: Service;
	/** Owner of the caller's key; undefined if the route needs no key. */
	readonly workspace: Workspace | undefined;
	/** Cost charged to the workspace's quota, in the quota's unit. */
	readonly cost: number;
	readonly method: string;
	readonly target: string;
	/** Headers to forward, as alternating names and values. */
	readonly headers: readonly string[];
	readonly body: Uint8Array | undefined;
	readonly content: RequestContent;
	readonly arrivedAt: number;
	/** Deadline: the earlier of the caller's timeout and the route's. */
	readonly deadlineAt: number;
	/** Software version at which the caller's stream began, and the only one at which it may go on; undefined: the caller has no part of it. */
	readonly resumedVersion: string | undefined;
	/** Software version of an earlier, undelivered run of this stream; undefined: no record. */
	readonly earlierVersion: string | undefined;
	/** Key under which the version of this stream is recorded; undefined: its caller cannot resume it, or another host records it. */
	readonly streamKey: string | undefined;
	/** Host that forwarded the request here; undefined: it came from its caller. */
	readonly entryHost: string | undefined;
	/** Whether the caller has sent this request here before, as its shorter timeout indicates. */
	readonly isCallerRetry: boolean;
	/** Aborts when the caller disconnects or the deadline passes. */
	readonly signal: AbortSignal;
	readonly reply: Reply;
	/** Endpoints that may have run the request, without prefills. */
	readonly runs: RunLedger;
	/** Number of sends so far, without prefills. */
	sends: number;
	/** Sends that may have reached an endpoint, without the first prefill that one accepted. */
	arrivals: number;
	/** Permits for repeats that are not sent yet. */
	readonly retryPermits: RetryPermit[];
	/** Permit of the last send; undefined if it was free. */
	usedPermit: RetryPermit | undefined;
	/** Whether a send was suppressed because the content is held. */
	isContentHeld: boolean;
	/** Digests of the content and prompt parts that this request runs on trial. */
	readonly trials: Set<string>;
};

/** Time until the deadline, in milliseconds; never negative. */
export function timeLeft({deadlineAt}: Job, now: number): number {
	return Math.max(0, deadlineAt - now);
}
