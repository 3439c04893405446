/** Guards against streams that go on at the version of an earlier attempt whose answer was lost, after the engines that ran the later one have crashed and all hosts have restarted. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	isDecode, listVersion, playRestart, replace, streams,
} from './restarted-streams.js';
import {type AnswerLoss} from './replica-server.js';

/** Engines of the version that lose answers, and answers that each of them loses. */
const losing = {engines: 3, answers: 2};
/** Enough for an engine that loses none to be tried. */
const streamAttempts = losing.engines + 1;

type LossCase = {
	readonly name: string;
	readonly loss: AnswerLoss;
	/** Attempts of the route. */
	readonly attempts: number;
	/** Whether callers whose streams do not begin try the next host. */
	readonly isRoaming?: boolean;
};

const cases: readonly LossCase[] = [
	{name: 'the connection is reset', loss: 'reset', attempts: streamAttempts},
	{name: 'the run ends with an error', loss: 'error', attempts: streamAttempts},
	{name: 'the run is silent', loss: 'silent', attempts: streamAttempts},
	{name: 'the connection is reset, and callers send new requests', loss: 'reset', attempts: 1},
	{name: 'the run ends with an error, and callers send new requests', loss: 'error', attempts: 1},
	{
		name: 'the connection is reset, and callers send new requests to another host', loss: 'reset', attempts: 1, isRoaming: true,
	},
];

describe('streams of which an engine of another version has lost an answer', () => {
	for (const {
		name, loss, attempts, isRoaming = false,
	} of cases) {
		it(name, async context => {
			expect(await playRestart({
				name,
				streamAttempts: attempts,
				isRoaming,
				lostVersions: ['v1'],
				async before(world) {
					for (const engine of listVersion(world, 'v2').filter(replica => isDecode(replica)).slice(-losing.engines)) {
						engine.answerLosses.push(...Array.from({length: losing.answers}, () => loss));
					}
				},
				async meanwhile(world) {
					await replace(world, listVersion(world, 'v1').filter(replica => isDecode(replica)), 'v1');
				},
			}, text => {
				context.diagnostic(text);
			})).toEqual({
				broken: streams, mixed: 0, late: 0, inOrder: true, share: 'enough',
			});
		});
	}
});
