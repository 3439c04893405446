/** The brief's promises as checks over endpoints' own counts and callers' replies, never over gatehead's own counters. */
import {type Stage} from './stage.js';
import {countRuns, textOf, type CallerLog} from './workload.js';

/** What a test run left behind. */
export type Aftermath = {
	readonly stage: Stage;
	readonly callers: readonly CallerLog[];
	/** Work that reached a leaving endpoint after the few seconds that it may. */
	readonly lateWork: number;
	/** Whether every caller that stayed learned its outcome in time. */
	readonly isFinished: boolean;
	/** Whether only planned stops happened, so that nothing may be cut. */
	readonly isPlanned: boolean;
	/** Whether the faults leave host and engines enough for a whole answer. */
	readonly isSurvivable: boolean;
};

/** Finds what breaks a promise; empty where it holds. */
export type PromiseCheck = (aftermath: Aftermath) => string[];

function findHeld({stage: {engines}}: Aftermath): string[] {
	return engines.flatMap(({traits, prefill, decode}) => [...prefill.listHeld(), ...decode.listHeld()].map(({request}) => `${traits.name} holds ${request}`));
}

function findTwice({callers}: Aftermath): string[] {
	return callers.filter(({kind, replies}) => new Set(replies.filter(each => each.status === 200).map(each => textOf(kind, each)).filter(text => text !== undefined)).size > 1).map(({id}) => `${id} got two answers`);
}

function findCrossed({callers}: Aftermath): string[] {
	const broken: string[] = [];
	for (const {kind, id, expected, replies} of callers) {
		for (const reply of replies) {
			const text = reply.status === 200 ? textOf(kind, reply) : undefined;
			if (text !== undefined && text !== expected) {
				broken.push(`${id} got another text: ${text.slice(0, 60)}`);
			}
		}
	}

	return broken;
}

function findUntrue({callers}: Aftermath): string[] {
	return callers.flatMap(({id, untrue}) => untrue.map(body => `${id} ran and was told ${body}`));
}

function findRepeated({stage, callers}: Aftermath): string[] {
	return callers.filter(log => log.kind === 'label' && countRuns(stage, log) > 1).map(({id}) => `${id} ran more than once`);
}

function findBundleFaults({stage}: Aftermath): string[] {
	const behind = stage.living.filter(({host}) => host.bundles.version !== stage.published).map(({name, host}) => `${name} has ${host.bundles.version} of ${stage.published}`);
	const disobeyed = stage.engines.filter(({serving}) => serving().model.name !== 'model').map(({traits}) => `${traits.name} serves something else`);
	return [...stage.reverted, ...behind, ...disobeyed];
}

function findCut({isPlanned, callers}: Aftermath): string[] {
	return isPlanned ? callers.filter(({isGone, hasWhole, replies}) => !isGone && (!hasWhole || replies.some(each => each.status === 0))).map(({id}) => `${id} was cut`) : [];
}

function findUnanswered({isSurvivable, callers}: Aftermath): string[] {
	return isSurvivable ? callers.filter(({kind, isGone, hasWhole}) => kind === 'model' && !isGone && !hasWhole).map(({id, replies}) => `${id} got no whole answer: ${replies.at(-1)?.body.slice(0, 200)}`) : [];
}

/** The promises by a short name, in the brief's order. */
export const promises: Readonly<Record<string, PromiseCheck>> = {
	'memory freed': findHeld,
	'one answer': findTwice,
	'own answer': findCrossed,
	'whole answer': findUnanswered,
	'not run is true': findUntrue,
	'at most once': findRepeated,
	'leaving gets no work': ({lateWork}) => (lateWork > 0 ? [`${lateWork} pieces of work at a leaving endpoint`] : []),
	'planned stop cuts nothing': findCut,
	'bundle in force': findBundleFaults,
	'outcome told': ({isFinished}) => (isFinished ? [] : ['a caller waits for ever']),
};
