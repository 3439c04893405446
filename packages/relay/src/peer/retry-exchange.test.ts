/** A loan that arrives after its request has timed out must not reduce the allowance of all hosts for the rest of the window. */
import {describe, it} from 'node:test';
import {setImmediate as settled} from 'node:timers/promises';
import {RetryBudget} from '@gatehead/policy/relay/retry-budget';
import {ignore} from '@gatehead/policy/utils/ignore';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {seedRandom} from '@gatehead/policy/utils/random';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type RelayMessage, type RelayMessageOf} from '@gatehead/schema/relay-message';
import {expect} from 'earl';
import {RetryExchange} from './retry-exchange.js';

const rule = {ratio: 0.2, allowance: 40, windowMs: 10_000};
const service = 'plain';
const names = ['borrower', 'lender'] as const;

type Name = (typeof names)[number];

/** Two hosts, of which one has a share, and the messages between them. */
class Pair {
	readonly clock = new ManualClock();
	readonly sent: RelayMessage[] = [];
	readonly budgets: Readonly<Record<Name, RetryBudget>> = {borrower: new RetryBudget(rule, () => 0), lender: new RetryBudget(rule, () => 0.5)};
	readonly hosts: Readonly<Record<Name, RetryExchange>> = {borrower: this.#make('borrower'), lender: this.#make('lender')};

	get lenderLeft(): number {
		return this.budgets.lender.left(this.clock.now());
	}

	/** Delivers the request for a loan; returns the lender's response. */
	lend(): RelayMessageOf<'retriesGranted'> {
		const wanted = this.#take('retriesWanted');
		this.hosts.lender.receiveWanted('borrower', wanted);
		return this.#take('retriesGranted');
	}

	/** Delivers what the borrower returns. */
	giveBack(): void {
		for (const message of this.sent.splice(0)) {
			if (message.kind === 'retriesReturned') {
				this.hosts.lender.receiveReturned('borrower', message);
			}
		}
	}

	#take<Kind extends RelayMessage['kind']>(kind: Kind): RelayMessageOf<Kind> {
		const index = this.sent.findIndex(message => message.kind === kind);
		const [message] = this.sent.splice(index, 1);
		return message as RelayMessageOf<Kind>; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- by its kind
	}

	#make(name: Name): RetryExchange {
		const self = {host: name, incarnation: 1};
		const members = names.map(host => ({host, census: {isEstablished: true}}));
		return new RetryExchange({
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- what the exchange uses of it
			context: {
				clock: this.clock, random: seedRandom(1), self, metrics: {add: ignore},
			} as unknown as ConstructorParameters<typeof RetryExchange>[0]['context'],
			budgetOf: () => this.budgets[name],
			averageShare: () => rule.allowance / names.length,
			listReachable: () => members as unknown as MemberRecord[], // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- what the exchange uses of them
			send: (_host, message) => {
				this.sent.push(message);
			},
		});
	}
}

describe('loans of the retry allowance', () => {
	it('one that arrives in time is used, and not returned with a duplicate of the response', async () => {
		const pair = new Pair();
		const before = pair.lenderLeft;
		const borrowed = pair.hosts.borrower.borrow(service, 0);
		const response = pair.lend();
		pair.hosts.borrower.receiveGranted(response);
		expect((await borrowed) === undefined).toEqual(false);
		pair.hosts.borrower.receiveGranted(response);
		pair.giveBack();
		expect(pair.lenderLeft).toEqual(before - response.granted);
	});

	it('one that arrives late is returned, once', async () => {
		const pair = new Pair();
		const before = pair.lenderLeft;
		const borrowed = pair.hosts.borrower.borrow(service, 0);
		const response = pair.lend();
		expect(pair.lenderLeft).toEqual(before - response.granted);
		pair.clock.advance(60);
		expect(await borrowed).toEqual(undefined);
		pair.hosts.borrower.receiveGranted(response);
		pair.hosts.borrower.receiveGranted(response);
		await settled();
		expect(pair.budgets.borrower.borrowed(pair.clock.now())).toEqual(0);
		expect(pair.sent.length).toEqual(1);
		pair.giveBack();
		expect(pair.lenderLeft).toEqual(before);
	});
});
