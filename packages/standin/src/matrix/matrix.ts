/** The fault matrix: every step with every fault, each fault twice, and pairs; every cell is judged by every promise. */
import {faults, pairs, survivable} from './faults.js';
import {promises, type Aftermath} from './promises.js';
import {Scene} from './scene.js';
import {Stage} from './stage.js';
import {steps} from './steps.js';

const hostCount = 3;
const betweenFaultsMs = 200;
const finishMs = 16_000;
const settleMs = 9000;
/** Time after which a leaving endpoint gets no new work, and rounds of requests that show it. */
const leavingMs = 1000;
const lateRounds = 3;
const healMs = 6000;

/** One cell. */
export type Cell = {
	readonly step: string;
	/** Faults in the order in which they strike. */
	readonly faults: readonly string[];
};

/** What a cell showed. */
export type CellResult = {
	readonly cell: Cell;
	/** What broke, by promise; empty where all held. */
	readonly broken: ReadonlyArray<{readonly promise: string; readonly detail: string}>;
};

/** Cells that are left out, with why. */
export const leftOut: ReadonlyArray<{readonly step: string; readonly fault: string; readonly why: string}> = [
	{step: 'last token', fault: 'stall', why: 'the answer is whole; nothing is left that could stall'},
];

function isLeftOut(step: string, fault: string): boolean {
	return leftOut.some(each => each.step === step && each.fault === fault);
}

/** All cells. */
export function listCells(): Cell[] {
	const cells: Cell[] = [];
	for (const step of Object.keys(steps)) {
		for (const fault of Object.keys(faults)) {
			if (!isLeftOut(step, fault)) {
				cells.push({step, faults: [fault]});
			}
		}

		for (const pair of pairs) {
			cells.push({step, faults: pair});
		}
	}

	for (const fault of Object.keys(faults)) {
		cells.push({step: 'decode stream', faults: [fault, fault]});
	}

	cells.push({step: 'planned stop', faults: []}, {step: 'decode stream', faults: []});
	return cells;
}

async function strike(scene: Scene, names: readonly string[]): Promise<void> {
	for (const [index, name] of names.entries()) {
		if (index > 0) {
			await scene.stage.pass(betweenFaultsMs);
		}

		await faults[name]?.(scene);
	}
}

async function mend(scene: Scene): Promise<void> {
	for (const undo of scene.mends.splice(0)) {
		await undo();
	}
}

async function play(stage: Stage, {step, faults: names}: Cell): Promise<Aftermath> {
	const scene = new Scene(stage);
	await scene.addCallers();
	if (step !== 'lookup') {
		scene.send();
	}

	await steps[step]?.(scene);
	await strike(scene, names);
	if (step === 'lookup') {
		scene.send();
	}

	const isFinished = await scene.finish(finishMs);
	const lateWork = await countLateWork(scene);
	for (const caller of scene.callers) {
		caller.leave();
	}

	await mend(scene);
	await stage.until(() => stage.living.every(({host}) => host.bundles.version === stage.published), healMs);
	await stage.until(() => countHeld(stage) === 0, settleMs);
	return {
		stage, callers: scene.callers.map(each => each.log), lateWork, isFinished, isPlanned: !scene.hasFault, isSurvivable: new Set(names).size === names.length && names.every(each => survivable.has(each)),
	};
}

function countHeld({engines}: Stage): number {
	return engines.reduce((sum, {prefill, decode}) => sum + prefill.listHeld().length + decode.listHeld().length, 0);
}

/** Sends new requests once an endpoint has been leaving for a while, and counts what reaches it. */
async function countLateWork(scene: Scene): Promise<number> {
	const {leaving} = scene;
	if (leaving === undefined) {
		return 0;
	}

	await scene.stage.until(() => scene.stage.clock.now() >= leaving.since + leavingMs, leavingMs);
	const before = leaving.countWork();
	for (let round = 0; round < lateRounds; round += 1) {
		await scene.addCallers();
		scene.send();
		await scene.finish(finishMs);
	}

	return leaving.countWork() - before;
}

/** Plays one cell on a stage of its own. */
export async function runCell(cell: Cell): Promise<CellResult> {
	const stage = new Stage();
	try {
		await stage.start(hostCount);
		const aftermath = await play(stage, cell);
		const broken = Object.entries(promises).flatMap(([promise, check]) => check(aftermath).map(detail => ({promise, detail})));
		return {cell, broken};
	} finally {
		await stage.close();
	}
}
