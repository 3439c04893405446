import {describe, it} from 'node:test';
import {expect} from 'earl';
import {SignalBook, type EndpointSignals, type SignalChange} from './endpoint-signals.js';

const none: EndpointSignals = {
	limitPerS: undefined, isDraining: false, backoffMs: undefined, malformed: [],
};

/** A response at a time, to a request sent `tookMs` before. */
type Response = {
	readonly at: number;
	readonly tookMs?: number;
	readonly isComplete?: boolean;
	readonly signals: Partial<EndpointSignals>;
	readonly changes: readonly SignalChange[];
};

type Case = {readonly name: string; readonly responses: readonly Response[]};

const limitBegan = {signal: 'limit', change: 'began', value: 5} as const;
const limitEnded = {signal: 'limit', change: 'ended', value: 5} as const;

const cases: readonly Case[] = [
	{name: 'a response without signals changes nothing', responses: [{at: 0, signals: {}, changes: []}]},
	{
		name: 'a limit begins once, changes, and ends with a response without it', responses: [
			{at: 0, signals: {limitPerS: 5}, changes: [limitBegan]},
			{at: 100, signals: {limitPerS: 5}, changes: []},
			{at: 200, signals: {limitPerS: 4}, changes: [{signal: 'limit', change: 'changed', value: 4}]},
			{at: 300, signals: {limitPerS: 5}, changes: [{signal: 'limit', change: 'changed', value: 5}]},
			{at: 1400, signals: {}, changes: [limitEnded]},
		],
	},
	{
		name: 'a response to an earlier request does not end a limit', responses: [
			{at: 0, signals: {limitPerS: 5}, changes: [limitBegan]},
			{
				at: 3000, tookMs: 3500, signals: {}, changes: [],
			},
		],
	},
	{
		name: 'a response shortly after one with a limit does not end it', responses: [
			{at: 0, signals: {limitPerS: 5}, changes: [limitBegan]},
			{at: 500, signals: {}, changes: []},
		],
	},
	{
		name: 'a call of the relay\'s own does not end a limit', responses: [
			{at: 0, signals: {limitPerS: 5}, changes: [limitBegan]},
			{
				at: 3000, isComplete: false, signals: {}, changes: [],
			},
		],
	},
	{
		name: 'a drain begins once and does not end', responses: [
			{at: 0, signals: {isDraining: true}, changes: [{signal: 'drain', change: 'began'}]},
			{at: 3000, signals: {isDraining: true}, changes: []},
			{at: 6000, signals: {}, changes: []},
		],
	},
	{
		name: 'backoff periods that overlap extend each other and do not shorten', responses: [
			{at: 0, signals: {backoffMs: 3000}, changes: [{signal: 'backoff', change: 'began', value: 3000}]},
			{at: 1000, signals: {backoffMs: 1000}, changes: []},
			{at: 2000, signals: {backoffMs: 3000}, changes: [{signal: 'backoff', change: 'changed', value: 3000}]},
			{at: 6000, signals: {backoffMs: 1000}, changes: [{signal: 'backoff', change: 'began', value: 1000}]},
		],
	},
];

describe('signals of one endpoint', () => {
	for (const {name, responses} of cases) {
		it(name, () => {
			const book = new SignalBook();
			for (const {at, tookMs = 10, isComplete = true, signals, changes} of responses) {
				expect(book.note('e', {signals: {...none, ...signals}, sentAt: at - tookMs, isComplete}, at)).toEqual([...changes]);
			}
		});
	}
});

type DecisionCase = {
	readonly name: string;
	readonly signals: Partial<EndpointSignals>;
	readonly permitsFrom?: number;
	readonly at: number;
	readonly waitMs: number;
	readonly isBackingOff: boolean;
	readonly rampShare: number;
};

const decisionCases: readonly DecisionCase[] = [
	{
		name: 'no signal', signals: {}, at: 100, waitMs: 0, isBackingOff: false, rampShare: 1,
	},
	{
		name: 'within a backoff period', signals: {backoffMs: 3000}, at: 1000, waitMs: 2000, isBackingOff: true, rampShare: 0,
	},
	{
		name: 'a quarter of a second after it', signals: {backoffMs: 3000}, at: 3250, waitMs: 0, isBackingOff: false, rampShare: 0.25,
	},
	{
		name: 'long after it', signals: {backoffMs: 3000}, at: 9000, waitMs: 0, isBackingOff: false, rampShare: 1,
	},
	{
		name: 'a limit with permits left', signals: {limitPerS: 5}, at: 100, waitMs: 0, isBackingOff: false, rampShare: 1,
	},
	{
		name: 'a limit without permits for a while', signals: {limitPerS: 5}, permitsFrom: 500, at: 100, waitMs: 400, isBackingOff: false, rampShare: 1,
	},
	{
		name: 'a limit without permits, and a longer backoff', signals: {limitPerS: 5, backoffMs: 900}, permitsFrom: 500, at: 100, waitMs: 800, isBackingOff: true, rampShare: 0,
	},
];

describe('decisions on signals', () => {
	for (const {name, signals, permitsFrom, at, waitMs, isBackingOff, rampShare} of decisionCases) {
		it(name, () => {
			const book = new SignalBook();
			book.note('e', {signals: {...none, ...signals}, sentAt: -1, isComplete: true}, 0);
			if (permitsFrom !== undefined) {
				book.notePermitsFrom('e', permitsFrom);
			}

			expect([book.waitMs('e', at), book.isBackingOff('e', at), book.rampShare('e', at)]).toEqual([waitMs, isBackingOff, rampShare]);
		});
	}

	it('of two statements of a limit the later one counts, whichever host received it', () => {
		const book = new SignalBook();
		book.note('e', {signals: {...none, limitPerS: 5}, sentAt: 90, isComplete: true}, 100);
		expect(book.mergeLimit({endpoint: 'e', perS: 9, ageMs: 80}, 'b', 150)).toEqual([]);
		expect(book.mergeLimit({endpoint: 'e', perS: 9, ageMs: 20}, 'b', 150)).toEqual([{signal: 'limit', change: 'changed', value: 9}]);
		expect(book.mergeLimit({endpoint: 'e', ageMs: 0}, 'b', 200)).toEqual([{signal: 'limit', change: 'ended', value: 9}]);
		expect(book.limitOf('e')).toEqual(undefined);
	});

	it('lists each signal in force with its source and the time left', () => {
		const book = new SignalBook();
		book.note('e', {
			signals: {
				...none, limitPerS: 5, isDraining: true, backoffMs: 900,
			}, sentAt: 0, isComplete: true,
		}, 100);
		book.mergeDrain('f', 'b');
		expect(book.list(300)).toEqual([
			{
				endpoint: 'e', signal: 'limit', value: 5, source: 'own',
			},
			{endpoint: 'e', signal: 'drain', source: 'own'},
			{
				endpoint: 'e', signal: 'backoff', leftMs: 700, source: 'own',
			},
			{endpoint: 'f', signal: 'drain', source: 'b'},
		]);
	});
});
