/** Guards against streams that go on at the version of an earlier attempt whose events reached nobody, when all engines that ran the later one have lost their memory with the hosts. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	isDecode, listVersion, playRestart, replace, runUnseen, streams, type RestartCase,
} from './restarted-streams.js';

const cases: readonly RestartCase[] = [
	{
		name: 'the engines of the first version crash and come back', mayRefuse: true, async meanwhile(world, callers) {
			await runUnseen(world, callers);
			await replace(world, listVersion(world, 'v1').filter(replica => isDecode(replica)), 'v1');
		},
	},
];

describe('streams with an earlier attempt at another version, after all hosts were restarted', () => {
	for (const each of cases) {
		it(each.name, async context => {
			expect(await playRestart(each, text => {
				context.diagnostic(text);
			})).toEqual({
				broken: streams, mixed: 0, late: 0, inOrder: true, share: 'enough',
			});
		});
	}
});
