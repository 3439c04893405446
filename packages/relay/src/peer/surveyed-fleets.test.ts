/** Guards against cached parts that count before all hosts have heard their engines, or not until the time for the survey is over although they have. */
import {describe, it} from 'node:test';
import {ignore} from '@gatehead/policy/utils/ignore';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {expect} from 'earl';
import {toTraceKey} from '../upstream/run-survey.js';
import {Metrics} from '../utils/metrics.js';
import {TraceRegistry} from './trace-registry.js';

const self = {host: 'host-0', incarnation: 1};
const key = toTraceKey('part', 'own');

type Case = {
	readonly hosts: number;
	/** Whether all hosts but the asked ones still ask their engines. */
	readonly isSurveying: boolean;
	readonly isComplete: boolean;
};

const cases: readonly Case[] = [
	...[2, 8, 20, 31, 32, 40, 350].map(hosts => ({hosts, isSurveying: false, isComplete: true})),
	// Each host is asked
	...[2, 8, 20, 31].map(hosts => ({hosts, isSurveying: true, isComplete: true})),
	...[32, 40, 350].map(hosts => ({hosts, isSurveying: true, isComplete: false})),
];

function makeMembers({hosts, isSurveying}: Case): MemberRecord[] {
	return Array.from({length: hosts}, (_, index) => ({
		host: `host-${index}`, hall: 'a', region: 'r', incarnation: 1, counter: 0, load: 0, state: 'alive', callerAddress: '', peerAddress: '', adminAddress: '', isSurveying,
	}));
}

/** One host of a fleet in which it and all that it asks have heard their engines. */
function makeRegistry(each: Case): TraceRegistry {
	const registry = new TraceRegistry({
		context: {
			clock: new ManualClock(), log: ignore, metrics: new Metrics(undefined, {}), self,
		},
		survey: () => ({isOver: false, whenComplete: async () => true, listUnheard: () => []}),
		send(_host, message) {
			if (message.kind === 'tracesWanted') {
				registry.receiveFound({
					kind: 'tracesFound', ask: message.ask, isComplete: true, unheard: [], traces: [],
				});
			}
		},
	});
	registry.setMembers(makeMembers(each));
	return registry;
}

describe('traces after a restart of all hosts', () => {
	for (const each of cases) {
		it(`${each.hosts} hosts, others ${each.isSurveying ? 'still ask' : 'have heard'} their engines: ${each.isComplete ? 'nothing' : 'something'} more is expected`, async () => {
			const {isComplete} = await makeRegistry(each).find([key]);
			expect(isComplete).toEqual(each.isComplete);
		});
	}
});
