/** Catalogue: which signals of an endpoint begin, change and end with a row of responses. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {SignalBook, type EndpointSignals, type SignalChange} from './endpoint-signals.js';

const none: EndpointSignals = {
	limitPerS: undefined, isDraining: false, backoffMs: undefined, malformed: [],
};

/** A response at an instant, to a request sent `tookMs` before. */
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
	{name: 'nothing stated changes nothing', responses: [{at: 0, signals: {}, changes: []}]},
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
		name: 'a response right behind one with a limit does not end it', responses: [
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
