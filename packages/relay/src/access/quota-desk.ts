/**
 * Quotas of workspaces over all hosts: this host's accounts, from which its
 * requests are paid, and the windows of those workspaces whose quota it deals
 * out to the others. Nothing is written anywhere: a keeper that is lost is
 * replaced by the next by rank. Safety of the bound: policy/relay/quota-*.
 */
import {QuotaAccount} from '@gatehead/policy/relay/quota-account';
import {QuotaWindow, type QuotaGrant, type QuotaWish} from '@gatehead/policy/relay/quota-window';
import {rankKeepers, shareOf, standInShare} from '@gatehead/policy/relay/quota-keeper';
import {type RelayMessageOf} from '@gatehead/schema/relay-message';
import {type Quota, type Workspace} from '@gatehead/schema/routing';
import {isOff} from '../core/experiment.js';
import {type AccessParts} from './access-parts.js';
import {Questions} from './questions.js';

/** Time that a keeper gets to answer, in milliseconds: thirty times the way between halls, an eighth of a usual target. */
const answerMs = 120;
/** Keepers asked before this host deals out its own part of the quota. */
const mostKeepers = 2;
/** Part of the allowance that all hosts together may use on credit, before their keeper has answered: what is dealt out of it besides is a quarter. */
const creditShare = 0.25;
/** Shortest time after which a refused caller comes back, in milliseconds: a keeper tells none that is shorter. */
const leastWaitMs = 250;

/** What the desk works with. */
export type QuotaDeskParts = AccessParts & {
	/** Hosts heard by this one, itself among them. */
	readonly listHeard: () => readonly string[];
	/** Hosts known, those not heard any more among them. */
	readonly countKnown: () => number;
};

/** What comes of asking for a quota. */
export type QuotaAnswer
	= | {readonly kind: 'granted'}
		| {readonly kind: 'refused'; readonly waitMs: number; readonly detail: string};

type Waiter = {
	readonly cost: number;
	readonly resolve: (answer: QuotaAnswer) => void;
};

type Desk = {
	readonly account: QuotaAccount;
	quota: Quota;
	waiters: Waiter[];
	isAsking: boolean;
};

/** A host's quotas. */
export class QuotaDesk {
	readonly #parts: QuotaDeskParts;
	readonly #questions: Questions<QuotaGrant>;
	readonly #desks = new Map<string, Desk>();
	readonly #windows = new Map<string, QuotaWindow>();
	/** When hosts came or went last: since then the same ones deal out the same quotas. */
	#dealsSince: number;

	constructor(parts: QuotaDeskParts) {
		this.#dealsSince = parts.context.clock.now();
		this.#parts = parts;
		this.#questions = new Questions(parts.context.clock);
	}

	/** Takes what a request costs out of its workspace's quota. */
	async take({name, quota}: Workspace, cost: number): Promise<QuotaAnswer> {
		if (quota === undefined) {
			return {kind: 'granted'};
		}

		const {clock} = this.#parts.context;
		const desk = this.#deskOf(name, quota);
		const answer = desk.account.take(cost, this.#credit, clock.now());
		if (answer === 'refused') {
			return {kind: 'refused', waitMs: desk.account.refusedUntil - clock.now(), detail: describe(name, desk, cost)};
		}

		if (answer === 'granted') {
			if (desk.account.isLow(clock.now())) {
				void this.#ask(name, desk);
			}

			return {kind: 'granted'};
		}

		return new Promise(resolve => {
			desk.waiters.push({cost, resolve});
			void this.#ask(name, desk);
		});
	}

	/** Other hosts came or went: what is not dealt out here any more is forgotten, and what is dealt out from now on may have been by others until now. */
	noteFleetChange(): void {
		const {context: {clock, self}, listHeard} = this.#parts;
		const heard = listHeard();
		this.#dealsSince = clock.now();
		for (const workspace of this.#windows.keys()) {
			if (rankKeepers(workspace, heard)[0] !== self.host) {
				this.#windows.delete(workspace);
			}
		}
	}

	/** Gives back what a request cost that ran nowhere. */
	giveBack({name, quota}: Workspace, cost: number): void {
		if (quota !== undefined) {
			this.#deskOf(name, quota).account.giveBack(cost, this.#parts.context.clock.now());
		}
	}

	/** Answers a host that asks this one as a keeper. */
	hearWanted(from: string, {ask, workspace, isStandIn, ...wish}: RelayMessageOf<'quotaWanted'>): void {
		const quota = this.#quotaOf(workspace);
		if (quota !== undefined) {
			this.#parts.send(from, {kind: 'quotaGranted', ask, ...this.#deal(workspace, quota, wish, isStandIn)});
		}
	}

	/** Takes a keeper's answer. */
	hearGranted({ask, ...grant}: RelayMessageOf<'quotaGranted'>): void {
		this.#questions.answer(ask, grant);
	}

	/** Part of a workspace's allowance that one host may use on credit. */
	get #credit(): number {
		const {context: {settings: {access}}, countKnown} = this.#parts;
		return creditShare * access.quotaAllowance / Math.max(1, countKnown());
	}

	#deskOf(name: string, quota: Quota): Desk {
		let desk = this.#desks.get(name);
		if (desk === undefined) {
			desk = {
				account: new QuotaAccount(), quota, waiters: [], isAsking: false,
			};
			this.#desks.set(name, desk);
		}

		desk.quota = quota;
		return desk;
	}

	#quotaOf(workspace: string): Quota | undefined {
		return this.#parts.routing.table?.routing.workspaces?.find(({name}) => name === workspace)?.quota;
	}

	/** Asks until nobody waits; one question a workspace is under way at a time. */
	async #ask(name: string, desk: Desk): Promise<void> {
		if (desk.isAsking) {
			return;
		}

		desk.isAsking = true;
		try {
			do {
				await this.#askOnce(name, desk);
			} while (desk.waiters.length > 0);
		} finally {
			desk.isAsking = false;
		}
	}

	async #askOnce(name: string, desk: Desk): Promise<void> {
		const {clock} = this.#parts.context;
		const waiting = desk.waiters.reduce((sum, {cost}) => sum + cost, 0);
		const {least, wanted, heard} = desk.account.wish(waiting, clock.now());
		const first = desk.waiters[0]?.cost ?? 0;
		const grant = await this.#question(name, desk.quota, {least: Math.max(first, least - waiting + first), wanted, heard});
		desk.account.receive(grant, clock.now());
		this.#serve(name, desk, grant);
	}

	/** Serves those that waited, in their order; who is left is refused where nothing was granted. */
	#serve(name: string, desk: Desk, {granted, waitMs}: QuotaGrant): void {
		const {clock} = this.#parts.context;
		while (desk.waiters[0] !== undefined && desk.account.take(desk.waiters[0].cost, 0, clock.now()) === 'granted') {
			desk.waiters.shift()?.resolve({kind: 'granted'});
		}

		if (granted > 0) {
			return;
		}

		for (const {cost, resolve} of desk.waiters.splice(0)) {
			resolve({kind: 'refused', waitMs: Math.max(leastWaitMs, waitMs), detail: describe(name, desk, cost)});
		}
	}

	async #question(name: string, quota: Quota, wish: QuotaWish): Promise<QuotaGrant> {
		const {context, listHeard} = this.#parts;
		const {self, log, metrics} = context;
		const keepers = isOff(context, 'quotaKeepers') ? [] : rankKeepers(name, listHeard()).slice(0, mostKeepers);
		for (const [index, keeper] of keepers.entries()) {
			const grant = keeper === self.host ? this.#deal(name, quota, wish, index > 0) : await this.#askKeeper(keeper, name, wish, index > 0);
			if (grant !== undefined) {
				metrics.add('quotaAsked', {outcome: grant.granted > 0 ? 'granted' : 'refused'});
				return grant;
			}

			metrics.add('quotaAsked', {outcome: 'silent'});
			this.#parts.renew(keeper);
			log('quotaKeeperSilent', {workspace: name, keeper, hosts: listHeard().length});
		}

		return this.#dealAlone(name, quota, wish);
	}

	async #askKeeper(keeper: string, workspace: string, wish: QuotaWish, isStandIn: boolean): Promise<QuotaGrant | undefined> {
		return this.#questions.ask(answerMs, ask => {
			this.#parts.send(keeper, {
				kind: 'quotaWanted', ask, workspace, isStandIn, ...wish,
			});
		});
	}

	#deal(workspace: string, quota: Quota, wish: QuotaWish, isStandIn: boolean): QuotaGrant {
		const {listHeard, countKnown} = this.#parts;
		const share = shareOf(listHeard().length, countKnown());
		return this.#windowOf(workspace, quota, isStandIn ? standInShare * share : share).take(wish, this.#parts.context.clock.now());
	}

	/** Deals out this host's own part, where no keeper answers. */
	#dealAlone(workspace: string, quota: Quota, wish: QuotaWish): QuotaGrant {
		return this.#windowOf(workspace, quota, 1 / Math.max(1, this.#parts.countKnown())).take(wish, this.#parts.context.clock.now());
	}

	#windowOf(workspace: string, quota: Quota, share: number): QuotaWindow {
		const {context: {clock, self, settings: {access}}} = this.#parts;
		let window = this.#windows.get(workspace);
		if (window === undefined) {
			window = new QuotaWindow(`${self.host} ${self.incarnation}`, quota, access, share, this.#dealsSince);
			this.#windows.set(workspace, window);
		} else {
			window.adjust(quota, share, clock.now());
		}

		return window;
	}
}

/** What decided a refusal, for the log and the caller. */
function describe(name: string, {account, quota: {unit, ratePerS, burst}}: Desk, cost: number): string {
	const level = account.levelHeard === undefined ? 'an unknown rest' : Math.floor(account.levelHeard);
	return `${name} asked for ${cost} ${unit}, ${level} left of ${Math.round(ratePerS)} a second and ${Math.round(burst)} at once`;
}
