/** Guards against cached parts that count for nothing until the time for the survey is over, although all hosts have asked their engines. */
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

function makeMembers(count: number): MemberRecord[] {
	return Array.from({length: count}, (_, index) => ({
		host: `host-${index}`, hall: 'a', region: 'r', incarnation: 1, counter: 0, load: 0, state: 'alive', callerAddress: '', peerAddress: '', adminAddress: '',
	}));
}

/** One host of a fleet in which each has heard all engines that it has to ask. */
function makeRegistry(hosts: number): TraceRegistry {
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
	registry.setMembers(makeMembers(hosts));
	return registry;
}

describe('traces once all hosts of a fleet have heard their engines', () => {
	for (const hosts of [2, 8, 20, 31, 32, 40, 350]) {
		it(`${hosts} hosts: nothing more is expected`, async () => {
			const registry = makeRegistry(hosts);
			const {isComplete} = await registry.find([key]);
			expect(isComplete).toEqual(true);
		});
	}
});
