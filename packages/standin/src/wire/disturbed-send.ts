/** Sends requests until an endpoint has answered one of their sends as a test wants. */
import {sendRequest, type CallerAnswer} from './client.js';
import {type EndpointCall, type ScriptedWorld} from './scripted-world.js';
import {type SendPlace} from './send-places.js';

/** How one send is answered. */
export type Disturbance = {
	readonly place: Pick<SendPlace, 'kind' | 'path'>;
	/** Whether the response is a later one on its connection. */
	readonly isLater: boolean;
	/** Writes the response. */
	readonly respond: (call: EndpointCall) => void;
};

/** A request and what its caller saw. */
export type DisturbedRequest = CallerAnswer & {readonly id: string};

/** Sends requests one after another until one send of theirs was answered by `respond`; returns the answer to that request. */
export async function sendDisturbed(scripted: ScriptedWorld, {place, isLater, respond}: Disturbance, makeId: () => string): Promise<DisturbedRequest> {
	await scripted.publish();
	let isPending = true;
	scripted.intercept = (call, kind) => {
		if (kind !== place.kind || !isPending || (isLater && call.earlierIds.length === 0)) {
			return false;
		}

		isPending = false;
		respond(call);
		return true;
	};

	for (;;) {
		const id = makeId();
		const answer = await sendRequest({address: scripted.caller, id, path: place.path});
		if (!isPending) {
			return {...answer, id};
		}
	}
}
