/** Requests at a steady pace to the hosts of a test deployment; each request's id begins with its host's name. */
import {setTimeout as pause} from 'node:timers/promises';
import {sendRequest, type CallerAnswer} from './client.js';
import {type World} from './world.js';

/** What is sent. */
export type SteadyLoad = {
	readonly path: string;
	/** Time between two requests to one host, in milliseconds. */
	readonly intervalMs: number;
	readonly rounds: number;
	/** Hosts that receive requests, by their place; absent: all. */
	readonly entryHosts?: number;
	/** Time that callers give a request, in milliseconds; absent: 3000. */
	readonly patienceMs?: number;
};

/** The host that a request was sent to. */
export function hostOf(request: string): string {
	return request.slice(0, request.lastIndexOf('-'));
}

/** Sends the load; resolves with all answers. `sentAt` takes the instant at which each request was sent, by its id. */
export async function sendSteadily({relays}: World, {path, intervalMs, rounds, entryHosts = relays.length, patienceMs}: SteadyLoad, sentAt = new Map<string, number>()): Promise<CallerAnswer[]> {
	const answers: Array<Promise<CallerAnswer>> = [];
	for (let round = 0; round < rounds; round += 1) {
		for (const {caller, name} of relays.slice(0, entryHosts)) {
			const id = `${name}-${round}`;
			sentAt.set(id, performance.now());
			answers.push(sendRequest({
				address: caller, id, path, headers: patienceMs === undefined ? {} : {'Deadline-Ms': String(patienceMs)},
			}));
		}

		await pause(intervalMs);
	}

	return Promise.all(answers);
}
