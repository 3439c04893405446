/** A short seeded run of the soak with real processes, and the seeds that failed once. */
import process from 'node:process';
import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {buildProgram, type BuiltProgram} from '../wire/memory-bed.js';
import {waitUntilServing} from './bed.js';
import {failedSeeds} from './seeds.js';
import {playSoak} from './soak.js';

const shortSeconds = 2;
/** Time after the last seed in which the file must end by itself, in milliseconds; sockets that are closing take some tens. */
const endMs = 10_000;
const cases: ReadonlyArray<{readonly seed: number; readonly kinds?: number; readonly isLoadManaged?: boolean; readonly only?: readonly string[]; readonly cause: string}> = [{seed: 1001, kinds: 12, cause: 'a fresh seed'}, {seed: 1003, kinds: 12, cause: 'another'}, {seed: 1005, kinds: 13, cause: 'with a directory that comes back from a copy'}, {seed: 1006, kinds: 14, cause: 'with connections that fall silent'}, {seed: 1007, kinds: 16, cause: 'with replicas that limit and drain by their responses'}, {seed: 1008, kinds: 17, cause: 'with hosts that lose their links to replicas'}, {seed: 1009, kinds: 20, cause: 'with releases of engines, and callers that resume streams'}, {seed: 1010, kinds: 21, cause: 'with responses without framing, some of them cut'}, {seed: 1011, kinds: 22, cause: 'with replicas that reject'}, {
	seed: 1012, kinds: 22, isLoadManaged: true, cause: 'with load management',
}, {seed: 1013, kinds: 23, cause: 'with hosts that are all killed at once during a release of engines'}, {seed: 8201, kinds: 24, cause: 'with replicas that pause beside changes of the configuration'}, {seed: 8301, only: ['floodResponses', 'sendSlowly', 'readSlowly', 'leaveUnread', 'overlapSignals', 'restartSeries'], cause: 'with floods, slow callers and signals in series'}, {seed: 9600, only: ['stallStop', 'stopHost', 'configure'], cause: 'with standstills inside stops'}, ...failedSeeds];

// Without it, Node may spin for ever as it cleans up (Environment::CleanupHandles), when all results are printed
process.once('exit', () => {
	process.exit();
});

describe('soak', () => {
	const built: BuiltProgram[] = [];
	before(() => {
		built.push(buildProgram());
	});
	after(() => {
		for (const {remove} of built) {
			remove();
		}

		// Does not keep the process alive; fires only where something else does
		setTimeout(() => {
			console.error(`the soak has ended and its process waits for: ${process.getActiveResourcesInfo().join(', ')}`);
			process.exit(1); // eslint-disable-line unicorn/no-process-exit -- a file that stands still tells nothing
		}, endMs).unref();
	});

	it('a host that ends before it serves ends the soak', async () => {
		const hosts = [{name: 'host-0', caller: '127.0.0.1:1', isRunning: false}];
		await expect(waitUntilServing({hosts, folder: '/logs'})).toBeRejectedWith('host-0 ended before it served');
	});

	for (const {seed, kinds, isLoadManaged, only, cause} of cases) {
		it(`seed ${seed} keeps every promise (${cause})`, async () => {
			const {broken, requests} = await playSoak({
				seed, kinds, only, seconds: shortSeconds, program: built[0]?.program ?? '', ...(isLoadManaged === undefined ? {} : {isLoadManaged}),
			});
			expect([...broken]).toEqual([]);
			expect(requests > 0).toEqual(true);
		});
	}
});
