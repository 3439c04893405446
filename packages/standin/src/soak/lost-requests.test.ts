/** Guards against a soak that misses requests without an answer, or that reports those whose end is excused. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {type HostEnd} from './host-process.js';
import {findLostRequests, type Attempt, type Circumstances} from './lost-requests.js';

type Case = {
	readonly name: string;
	readonly attempt?: Partial<Attempt>;
	readonly ends?: readonly HostEnd[];
	readonly circumstances?: Partial<Circumstances>;
	readonly isLost: boolean;
};

const sentAt = 10_000;
const cut: Omit<Attempt, 'host'> = {
	id: 'r1', path: '/resumable/1', sentAt, endedAt: sentAt + 1500, deadlineMs: 3000, status: 200, isWhole: false, isConnected: true, hasLeft: false,
};
const stop: HostEnd = {signal: 'SIGTERM', at: sentAt - 1000, endedAt: sentAt + 5000};
/** A request that was sent before a stop, and ends near the end of the grace period. */
const lateEnd = {endedAt: sentAt + 6500, deadlineMs: 10_000};
const longStop: HostEnd = {signal: 'SIGTERM', at: sentAt - 1000, endedAt: undefined};
const notArrived = {arrived: new Set<string>()};

const cases: readonly Case[] = [
	{name: 'a response that was cut', isLost: true},
	{name: 'a connection that closed without a response', attempt: {status: 0}, isLost: true},
	{name: 'one that had reached no endpoint, at a host that goes on', circumstances: notArrived, isLost: true},
	{name: 'one that had reached an endpoint, at a host that stops', ends: [stop], isLost: true},
	{
		name: 'one right before its deadline under a shorter timeout that was replaced long before', circumstances: {timeouts: [{at: 0, timeoutMs: 1500}, {at: sentAt - 3000, timeoutMs: 3000}]}, isLost: true,
	},
	{name: 'one at a host that was killed long before', ends: [{signal: 'SIGKILL', at: 1000, endedAt: 1100}], isLost: true},
	{name: 'a whole response', attempt: {isWhole: true}, isLost: false},
	{name: 'a caller that left', attempt: {hasLeft: true}, isLost: false},
	{name: 'no connection', attempt: {status: 0, isConnected: false}, isLost: false},
	{name: 'its deadline', attempt: {deadlineMs: 1500}, isLost: false},
	{name: 'a timeout of its route', circumstances: {timeouts: [{at: 0, timeoutMs: 1500}, {at: sentAt - 1000, timeoutMs: 3000}]}, isLost: false},
	{name: 'an endpoint that broke off', circumstances: {breaks: [{from: sentAt + 1000, to: sentAt + 2000}]}, isLost: false},
	{name: 'a host that was killed', ends: [{signal: 'SIGKILL', at: sentAt + 1490, endedAt: sentAt + 1495}], isLost: false},
	{
		name: 'one that crossed the close of a host that stops', attempt: {status: 0}, ends: [stop], circumstances: notArrived, isLost: false,
	},
	{
		name: 'a run that lasted until a stop was nearly over', ends: [longStop], attempt: lateEnd, circumstances: {timeouts: []}, isLost: false,
	},
	{
		name: 'a run whose endpoint finished in the last sixth of a stop', ends: [longStop], attempt: lateEnd, circumstances: {timeouts: [], finishedAt: new Map([['r1', sentAt + 5700]])}, isLost: false,
	},
	{
		name: 'a run whose endpoint finished before that', ends: [longStop], attempt: lateEnd, circumstances: {timeouts: [], finishedAt: new Map([['r1', sentAt + 5600]])}, isLost: true,
	},
	{
		name: 'a run that was sent more than three seconds after SIGTERM', ends: [{...longStop, at: sentAt - 3001}], attempt: lateEnd, circumstances: {timeouts: []}, isLost: true,
	},
];

describe('requests that the soak calls lost', () => {
	for (const {name, attempt, ends = [], circumstances, isLost} of cases) {
		it(`${name}: ${isLost ? 'lost' : 'excused'}`, () => {
			const lost = findLostRequests([{...cut, ...attempt, host: {name: 'host-0', ends: [...ends]}}], {
				breaks: [], timeouts: [{at: 0, timeoutMs: 3000}], arrived: new Set(['r1']), finishedAt: new Map(), ...circumstances,
			});
			expect(lost.length).toEqual(isLost ? 1 : 0);
		});
	}
});
