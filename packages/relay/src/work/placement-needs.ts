/** What a request needs of the endpoint that it is sent to. */
import {type PlacementNeeds} from '../upstream/managed-load.js';
import {timeLeft, type Job} from './job.js';

/** Targets of a request, for placement where load is managed. */
export function placementNeeds(job: Job, now: number): PlacementNeeds {
	const {facts: {promptTokens, answerTokens}, route: {targetMs, gapTargetMs}, service: {engine}, arrivedAt} = job;
	return {
		promptTokens, events: Math.ceil(answerTokens / (engine?.eventTokens ?? 1)), firstLeftMs: arrivedAt + targetMs - now, targetMs, leftMs: timeLeft(job, now), gapTargetMs,
	};
}
