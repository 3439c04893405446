/** Guards against retries at another software version than that of a run whose events reached nobody. */
import {describe, it} from 'node:test';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {expect} from 'earl';
import {type Job} from './job.js';
import {StreamState, type StreamStateParts} from './stream-state.js';

type Step = (state: StreamState) => void;

const run = (id: string, softwareVersion?: string): Step => state => {
	state.noteRun({id, softwareVersion});
};

const reject = (id: string, softwareVersion?: string): Step => state => {
	state.noteRun({id, softwareVersion})();
};

const end = (id: string): Step => state => {
	state.forgetRun(id);
};

const forward = (softwareVersion: string): Step => state => {
	state.softwareVersion = softwareVersion;
};

const change: Step = state => {
	state.changeVersion();
};

type Case = {
	readonly name: string;
	readonly job?: Partial<Job>;
	/** Whether endpoints of another version serve; absent: yes. */
	readonly hasOther?: boolean;
	/** Whether an endpoint of the earlier request's version can be used; absent: yes. */
	readonly isUsable?: boolean;
	readonly steps: readonly Step[];
	readonly next: string | undefined;
	/** Versions that other hosts are told. */
	readonly unseen: readonly string[];
	readonly mayChange: boolean;
};

/** Whether a run would be at another version than a lost one at v2. */
const otherVersions = [['v1', true], ['v2', false], [undefined, undefined]] as const;

const cases: readonly Case[] = [
	{
		name: 'no run', steps: [], next: undefined, unseen: [], mayChange: false,
	},
	{
		name: 'a run that was lost', steps: [run('a', 'v2')], next: 'v2', unseen: ['v2'], mayChange: true,
	},
	{
		name: 'a run that was lost, where one version serves', hasOther: false, steps: [run('a', 'v2')], next: 'v2', unseen: ['v2'], mayChange: false,
	},
	{
		name: 'a run that was rejected', steps: [reject('a', 'v2')], next: undefined, unseen: [], mayChange: false,
	},
	{
		name: 'a run that was lost, and one at the same endpoint that was rejected', steps: [run('a', 'v2'), reject('a', 'v2')], next: 'v2', unseen: ['v2'], mayChange: true,
	},
	{
		name: 'two runs of one version', steps: [run('a', 'v2'), run('b', 'v2')], next: 'v2', unseen: ['v2'], mayChange: true,
	},
	{
		name: 'a run at an endpoint that has ended', steps: [run('a', 'v2'), end('a')], next: undefined, unseen: [], mayChange: false,
	},
	{
		name: 'two runs, one at an endpoint that has ended', steps: [run('a', 'v2'), run('b', 'v2'), end('a')], next: 'v2', unseen: ['v2'], mayChange: true,
	},
	{
		name: 'a version without room, and a run at the other one', steps: [run('a', 'v2'), change, run('b', 'v1')], next: 'v1', unseen: ['v1'], mayChange: true,
	},
	{
		name: 'an event after a lost run', steps: [run('a', 'v2'), run('b', 'v2'), forward('v2')], next: 'v2', unseen: [], mayChange: false,
	},
	{
		name: 'a run of a stream that its caller resumes', job: {resumedVersion: 'v1'}, steps: [run('a', 'v1')], next: 'v1', unseen: [], mayChange: false,
	},
	{
		name: 'a run at a host that does not state a version', steps: [run('host')], next: undefined, unseen: [], mayChange: false,
	},
	{
		name: 'an earlier request', job: {earlierVersion: 'v2'}, steps: [], next: 'v2', unseen: [], mayChange: true,
	},
	{
		name: 'an earlier request at a version whose endpoints are set aside', job: {earlierVersion: 'v2'}, isUsable: false, steps: [], next: undefined, unseen: [], mayChange: false,
	},
	{
		name: 'an earlier request, and an endpoint that has ended', job: {earlierVersion: 'v2'}, steps: [end('a')], next: undefined, unseen: [], mayChange: false,
	},
];

function makeState(job: Partial<Job> = {}, isUsable = true, hasOther = true): StreamState {
	const parts = {context: {clock: new ManualClock(), settings: {limits: {unreadBytes: 1}}}, endpoints: {hasUsableVersion: () => isUsable, hasOtherVersion: () => hasOther}};
	const base = {service: {name: 's'}, facts: {}, reply: {}};
	return new StreamState(parts as unknown as StreamStateParts, {...base, ...job} as unknown as Job); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- nothing else of them is read
}

describe('version of the next run', () => {
	for (const [softwareVersion, isOther] of otherVersions) {
		it(`a run at ${softwareVersion ?? 'an unknown version'} behind one at v2`, () => {
			const state = makeState();
			expect(state.isOtherVersion(softwareVersion)).toEqual(undefined);
			state.noteRun({id: 'a', softwareVersion: 'v2'});
			expect(state.isOtherVersion(softwareVersion)).toEqual(isOther);
		});
	}

	for (const {name, job, isUsable = true, hasOther = true, steps, next, unseen, mayChange} of cases) {
		it(name, () => {
			const state = makeState(job, isUsable, hasOther);
			for (const step of steps) {
				step(state);
			}

			expect([state.nextVersion, state.listUnseenVersions(), state.mayChangeVersion]).toEqual([next, [...unseen], mayChange]);
		});
	}
});
