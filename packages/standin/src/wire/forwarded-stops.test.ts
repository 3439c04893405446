/** Guards against forwarded requests that end without a response, or with an untrue one, because the host that runs them stops, reloads or changes its configuration at that moment. */
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {startForwardingWorld, type ScriptedWorld} from './scripted-world.js';
import {makeConfig, patientTimes, until} from './world.js';

const okStatus = 200;
const unavailableStatus = 503;
/** Time that a run takes, and between two requests, in milliseconds. */
const runMs = 60;
const gapMs = 15;
/** Time that a caller waits, in milliseconds. */
const timeoutMs = 2500;
/** Requests that are sent before and behind the event at least. */
const margin = 10;

type RunningRelay = ScriptedWorld['world']['relays'][number]['relay'];

/** What befalls the other host; `isServing`: whether it serves throughout. */
const events: ReadonlyArray<{readonly name: string; readonly isServing: boolean; readonly act: (relay: RunningRelay, scripted: ScriptedWorld) => Promise<void>}> = [
	{
		name: 'stops as planned', isServing: false, act: async relay => relay.stop(),
	},
	{
		name: 'reloads its settings', isServing: true, async act(relay) {
			relay.reload(relay.context.settings);
		},
	},
	{
		name: 'adopts other configurations', isServing: true, async act(relay, {world}) {
			for (const version of [2, 3, 4]) {
				world.store.put('op/config', makeConfig(version, undefined, [{pathPrefix: `/added-${version}/`, service: 'plain'}], patientTimes));
				await until(() => relay.routing.version === version);
			}
		},
	},
];

describe('forwarded requests whose host changes', () => {
	async function check(path: string, {isServing, act}: typeof events[number]): Promise<void> {
		const scripted = await startForwardingWorld({plain: 2});
		try {
			scripted.intercept = (call, kind) => {
				if (kind === 'run') {
					setTimeout(() => {
						scripted.answerSoundly(call);
					}, runMs);
				}

				return kind === 'run';
			};

			const [, other] = scripted.world.relays;
			const answers: Array<Promise<{readonly id: string; readonly status: number; readonly isWhole: boolean}>> = [];
			const send = async (id: string) => {
				const {status, isWhole} = await sendRequest({
					address: scripted.caller, id, path, headers: {'Deadline-Ms': timeoutMs},
				});
				return {id, status, isWhole};
			};

			const sendNext = async () => {
				answers.push(send(`request-${answers.length}`));
				await pause(gapMs);
			};

			while (answers.length < margin) {
				await sendNext();
			}

			let left = Number.POSITIVE_INFINITY;
			const acting = act(other!.relay, scripted).finally(() => {
				left = margin;
			});
			while (left > 0) {
				await sendNext();
				left -= 1;
			}

			await acting;
			const seen = await Promise.all(answers);
			const wrong = seen.filter(({id, status, isWhole}) => {
				const runs = scripted.runs.filter(run => run === id).length;
				const isAnswered = status === okStatus && runs === 1;
				const isRefused = !isServing && status === unavailableStatus && runs === 0;
				return !isWhole || !(isAnswered || isRefused);
			});
			expect({wrong, isAnyServed: seen.some(({status}) => status === okStatus)}).toEqual({wrong: [], isAnyServed: true});
		} finally {
			await scripted.stop();
		}
	}

	for (const path of ['/once/1', '/repeatable/1']) {
		for (const event of events) {
			it(`${path}: each is answered, or refused and not run, where the host ${event.name}`, {timeout: 60_000}, async () => check(path, event));
		}
	}
});
