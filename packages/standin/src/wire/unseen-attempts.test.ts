/** Guards against streams that go on at the version of an earlier attempt whose events reached nobody, when no engine that ran the later one can be asked. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	isDecode, listVersion, playRestart, remove, replace, runUnseen, streams, type RestartCase,
} from './restarted-streams.js';

const cases: readonly RestartCase[] = [
	{
		name: 'the engines of the first version crash and come back', mayRefuse: true, async meanwhile(world, callers) {
			await runUnseen(world, callers);
			await replace(world, listVersion(world, 'v1').filter(replica => isDecode(replica)), 'v1');
		},
	},
	{
		name: 'the directory has forgotten its history, an earlier attempt ran at the other version, and the first leaves', mayRefuse: true, async meanwhile(world, callers) {
			await runUnseen(world, callers);
			remove(world, listVersion(world, 'v1'));
			world.store.compact();
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
