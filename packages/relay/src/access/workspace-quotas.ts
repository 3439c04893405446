/**
 * Distributed workspace quotas. Each workspace has a keeper, a host that
 * grants parts of the quota to the other hosts. This module holds the local
 * accounts that pay for this host's requests, and the windows of the
 * workspaces that this host keeps. Nothing is persisted: a failed keeper is
 * replaced by the next host by rank. Safety: the bound on total use rests on
 * policy/relay/quota-*.
 */
import {QuotaAccount} from '@gatehead/policy/relay/quota-account';
import {QuotaWindow, type QuotaGrant, type QuotaRequest} from '@gatehead/policy/relay/quota-window';
import {rankCoordinators, reachableShare, standInFraction} from '@gatehead/policy/relay/quota-coordinator';
import {type RelayMessageOf} from '@gatehead/schema/relay-message';
import {type Quota, type Workspace} from '@gatehead/schema/routing';
import {isOff} from '../core/experiment.js';
import {type AccessParts} from './access-parts.js';
import {PeerRequests} from './peer-requests.js';

/** Timeout of a request to a keeper, in milliseconds; an eighth of a typical target. */
const responseTimeoutMs = 120;
/** Maximum keepers asked before this host grants itself its own share of the quota. */
const maxKeepers = 2;
/** Time since its last grant after which a stand-in counts the quota as granted by others again, in milliseconds; the lifetime of a grant. */
const standInIdleMs = 1500;
/** Share of the allowance that all hosts together may spend on credit, before their keepers have replied. */
const creditShare = 0.25;
/** Minimum `Retry-After` of a refusal, in milliseconds; keepers return none that is shorter. */
const minRetryAfterMs = 250;

export type WorkspaceQuotasParts = AccessParts & {
	/** Live hosts as seen by this one, including itself. */
	readonly listHeard: () => readonly string[];
	/** Number of known hosts, including those that have failed. */
	readonly countKnown: () => number;
	/** Whether that is the number of hosts in the fleet. A host that has just started does not know how small its share is. */
	readonly isFleetKnown: () => boolean;
};

/** Outcome of charging a quota. */
export type QuotaDecision
	= | {readonly kind: 'granted'}
		| {readonly kind: 'refused'; readonly waitMs: number; readonly detail: string}
		/** This host does not know its share yet. */
		| {readonly kind: 'unknown'; readonly waitMs: number};

/** A grant of another host; `isUnknown`: it does not know its share yet. */
type KeeperReply = QuotaGrant & {readonly isUnknown?: boolean | undefined};

type Waiter = {
	readonly cost: number;
	readonly resolve: (answer: QuotaDecision) => void;
};

type KeptWindow = {
	readonly window: QuotaWindow;
	usedAt: number;
};

type WorkspaceQuota = {
	readonly account: QuotaAccount;
	quota: Quota;
	waiters: Waiter[];
	isRequesting: boolean;
};

/** The workspace quotas of one host. */
export class WorkspaceQuotas {
	readonly #parts: WorkspaceQuotasParts;
	readonly #requests: PeerRequests<KeeperReply>;
	readonly #entries = new Map<string, WorkspaceQuota>();
	readonly #windows = new Map<string, KeptWindow>();
	/** Time of the last membership change; since then the same hosts have kept the same quotas. */
	#fleetChangedAt: number;

	constructor(parts: WorkspaceQuotasParts) {
		this.#fleetChangedAt = parts.context.clock.now();
		this.#parts = parts;
		this.#requests = new PeerRequests(parts.context.clock);
	}

	/** Charges a request to its workspace's quota, asking a keeper if the local account does not cover it. */
	async charge({name, quota}: Workspace, cost: number): Promise<QuotaDecision> {
		if (quota === undefined) {
			return {kind: 'granted'};
		}

		const {context: {clock}, isFleetKnown} = this.#parts;
		if (!isFleetKnown()) {
			return {kind: 'unknown', waitMs: minRetryAfterMs};
		}

		const entry = this.#entryOf(name, quota);
		const answer = entry.account.take(cost, this.#credit, clock.now());
		if (answer === 'refused') {
			return {kind: 'refused', waitMs: entry.account.refusedUntil - clock.now(), detail: describeRefusal(name, entry, cost)};
		}

		if (answer === 'granted') {
			if (entry.account.isLow(clock.now())) {
				void this.#request(name, entry);
			}

			return {kind: 'granted'};
		}

		return new Promise(resolve => {
			entry.waiters.push({cost, resolve});
			void this.#request(name, entry);
		});
	}

	/** Handles a membership change: drops the windows of workspaces that have another keeper now. Windows created later allow for grants that a previous keeper made until now. */
	handleMembershipChange(): void {
		const {context: {clock, self}, listHeard} = this.#parts;
		const heard = listHeard();
		this.#fleetChangedAt = clock.now();
		for (const workspace of this.#windows.keys()) {
			if (rankCoordinators(workspace, heard)[0] !== self.host) {
				this.#windows.delete(workspace);
			}
		}
	}

	/** Refunds the cost of a request that no endpoint ran. */
	refund({name, quota}: Workspace, cost: number): void {
		if (quota !== undefined) {
			this.#entryOf(name, quota).account.refund(cost, this.#parts.context.clock.now());
		}
	}

	/** Handles a request to this host as a keeper. */
	handleRequest(from: string, {ask, workspace, isStandIn, ...wish}: RelayMessageOf<'quotaWanted'>): void {
		const quota = this.#quotaOf(workspace);
		if (quota !== undefined) {
			this.#parts.send(from, {
				kind: 'quotaGranted', ask, ...this.#grant(workspace, quota, wish, isStandIn), ...(this.#parts.isFleetKnown() ? {} : {isUnknown: true}),
			});
		}
	}

	/** Handles a keeper's reply. */
	handleGrant({ask, ...grant}: RelayMessageOf<'quotaGranted'>): void {
		this.#requests.settle(ask, grant);
	}

	/** Share of a workspace's allowance that one host may spend on credit. */
	get #credit(): number {
		const {context: {settings: {access}}, countKnown} = this.#parts;
		return creditShare * access.quotaAllowance / Math.max(1, countKnown());
	}

	#entryOf(name: string, quota: Quota): WorkspaceQuota {
		let entry = this.#entries.get(name);
		if (entry === undefined) {
			entry = {
				account: new QuotaAccount(), quota, waiters: [], isRequesting: false,
			};
			this.#entries.set(name, entry);
		}

		entry.quota = quota;
		return entry;
	}

	#quotaOf(workspace: string): Quota | undefined {
		return this.#parts.routing.table?.routing.workspaces?.find(({name}) => name === workspace)?.quota;
	}

	/** Requests grants until no request waits, with at most one request per workspace in flight. */
	async #request(name: string, entry: WorkspaceQuota): Promise<void> {
		if (entry.isRequesting) {
			return;
		}

		entry.isRequesting = true;
		try {
			do {
				await this.#requestOnce(name, entry);
			} while (entry.waiters.length > 0);
		} finally {
			entry.isRequesting = false;
		}
	}

	async #requestOnce(name: string, entry: WorkspaceQuota): Promise<void> {
		const {clock} = this.#parts.context;
		const waiting = entry.waiters.reduce((sum, {cost}) => sum + cost, 0);
		const {least, wanted, heard} = entry.account.buildRequest(waiting, clock.now());
		const first = entry.waiters[0]?.cost ?? 0;
		const grant = await this.#requestGrant(name, entry.quota, {least: Math.max(first, least - waiting + first), wanted, heard});
		entry.account.receive(grant, clock.now());
		this.#serve(name, entry, grant);
	}

	/** Resolves waiting requests in order while the account covers them; refuses the rest if the keeper granted nothing. */
	#serve(name: string, entry: WorkspaceQuota, {granted, waitMs}: QuotaGrant): void {
		const {clock} = this.#parts.context;
		while (entry.waiters[0] !== undefined && entry.account.take(entry.waiters[0].cost, 0, clock.now()) === 'granted') {
			entry.waiters.shift()?.resolve({kind: 'granted'});
		}

		if (granted > 0) {
			return;
		}

		for (const {cost, resolve} of entry.waiters.splice(0)) {
			resolve({kind: 'refused', waitMs: Math.max(minRetryAfterMs, waitMs), detail: describeRefusal(name, entry, cost)});
		}
	}

	async #requestGrant(name: string, quota: Quota, wish: QuotaRequest): Promise<QuotaGrant> {
		const {context, listHeard} = this.#parts;
		const {self, log, metrics} = context;
		const keepers = isOff(context, 'quotaKeepers') ? [] : rankCoordinators(name, listHeard()).slice(0, maxKeepers);
		for (const [index, keeper] of keepers.entries()) {
			const grant: KeeperReply | undefined = keeper === self.host ? this.#grant(name, quota, wish, index > 0) : await this.#requestFromKeeper(keeper, name, wish, index > 0);
			if (grant?.isUnknown) {
				metrics.add('quotaAsked', {outcome: 'unknown'});
				continue;
			}

			if (grant !== undefined) {
				metrics.add('quotaAsked', {outcome: grant.granted > 0 ? 'granted' : 'refused'});
				return grant;
			}

			metrics.add('quotaAsked', {outcome: 'silent'});
			this.#parts.renew(keeper);
			log('quotaKeeperSilent', {workspace: name, keeper, hosts: listHeard().length});
		}

		return this.#grantOwnShare(name, quota, wish);
	}

	async #requestFromKeeper(keeper: string, workspace: string, wish: QuotaRequest, isStandIn: boolean): Promise<KeeperReply | undefined> {
		return this.#requests.send(responseTimeoutMs, ask => {
			this.#parts.send(keeper, {
				kind: 'quotaWanted', ask, workspace, isStandIn, ...wish,
			});
		});
	}

	#grant(workspace: string, quota: Quota, wish: QuotaRequest, isStandIn: boolean): QuotaGrant {
		const {listHeard, countKnown} = this.#parts;
		const share = reachableShare(listHeard().length, countKnown());
		return this.#grantFrom(isStandIn ? this.#standInWindowOf(workspace, quota, standInFraction * share) : this.#windowOf(workspace, quota, share), wish);
	}

	/** Grants this host its own share of the quota when no keeper replies. */
	#grantOwnShare(workspace: string, quota: Quota, wish: QuotaRequest): QuotaGrant {
		return this.#grantFrom(this.#standInWindowOf(workspace, quota, 1 / Math.max(1, this.#parts.countKnown())), wish);
	}

	/** Grants from a window; nothing while the fleet, and with it this host's share, is unknown. */
	#grantFrom(window: QuotaWindow, {least, wanted, heard}: QuotaRequest): QuotaGrant {
		const {context: {clock}, isFleetKnown} = this.#parts;
		return window.grant(isFleetKnown() ? {least, wanted, heard} : {least: 0, wanted: 0, heard}, clock.now());
	}

	/** The window of a host that grants in place of the coordinator, which may have granted the quota until now. */
	#standInWindowOf(workspace: string, quota: Quota, share: number): QuotaWindow {
		const now = this.#parts.context.clock.now();
		const kept = this.#windows.get(workspace);
		return this.#windowOf(workspace, quota, share, kept === undefined || now - kept.usedAt >= standInIdleMs ? now : undefined);
	}

	/** The window of a workspace; a new one if others may have granted the quota until `since`. */
	#windowOf(workspace: string, quota: Quota, share: number, since?: number): QuotaWindow {
		const {context: {clock, self, settings: {access}}} = this.#parts;
		const now = clock.now();
		let kept = since === undefined ? this.#windows.get(workspace) : undefined;
		if (kept === undefined) {
			kept = {window: new QuotaWindow(`${self.host} ${self.incarnation}`, quota, access, share, since ?? this.#fleetChangedAt), usedAt: now};
			this.#windows.set(workspace, kept);
		} else {
			kept.window.adjust(quota, share, now);
			kept.usedAt = now;
		}

		return kept.window;
	}
}

/** Detail of a refusal, for the log and the caller. */
function describeRefusal(name: string, {account, quota: {unit, ratePerS, burst}}: WorkspaceQuota, cost: number): string {
	const level = account.lastReportedLevel === undefined ? 'an unknown rest' : Math.floor(account.lastReportedLevel);
	return `${name} asked for ${cost} ${unit}, ${level} left of ${Math.round(ratePerS)} a second and ${Math.round(burst)} at once`;
}
