/** The faults of the matrix, each as what it does to a scene and how it is mended once the callers are done. */
import {type Scene} from './scene.js';
import {type StagedHost} from './stage.js';

const pauseMs = 1500;

/** Strikes a scene. */
export type Fault = (scene: Scene) => Promise<void> | void;

async function killAndReplace(scene: Scene, victim: StagedHost | undefined): Promise<void> {
	scene.hasFault = true;
	if (victim !== undefined) {
		await scene.stage.kill(victim);
		scene.mends.push(async () => {
			await scene.stage.addHost(victim.name, victim.hall);
			scene.stage.listHosts();
		});
	}
}

function pause(scene: Scene, victim: StagedHost | undefined): void {
	scene.hasFault = true;
	if (victim === undefined) {
		return;
	}

	victim.clock.pause();
	scene.stage.setSplit(victim, true);
	scene.stage.clock.after(pauseMs, () => {
		scene.stage.setSplit(victim, false);
		victim.clock.resume();
	});
}

function split(scene: Scene): void {
	const {owner, stage} = scene;
	scene.hasFault = true;
	if (owner !== undefined) {
		stage.setSplit(owner, true);
		scene.mends.push(() => {
			stage.setSplit(owner, false);
		});
	}
}

/** Faults by name. */
export const faults: Readonly<Record<string, Fault>> = {
	'owner dies': async scene => killAndReplace(scene, scene.owner),
	'keeper dies': async scene => killAndReplace(scene, scene.stage.findKeeper()),
	async 'endpoint dies'(scene) {
		scene.hasFault = true;
		const engine = scene.busyEngine;
		const service = scene.stage.services[0];
		await engine?.kill();
		await service?.kill();
		scene.mends.push(async () => {
			await engine?.revive();
			await service?.revive();
		});
	},
	async 'reset before'(scene) {
		scene.hasFault = true;
		for (const service of scene.stage.services) {
			await service.kill();
			scene.mends.push(async () => service.revive());
		}
	},
	'reset after'(scene) {
		scene.hasFault = true;
		for (const {faults: own} of scene.stage.services) {
			own.resetsAfterRun = true;
		}

		for (const {faults: own} of scene.stage.engines) {
			own.resetAfterTokens = 5;
			own.resetsLeft = 2;
			own.repeatedOnResume = 2;
		}

		scene.mends.push(() => {
			for (const {faults: own} of scene.stage.engines) {
				own.resetAfterTokens = Number.POSITIVE_INFINITY;
			}
		});
	},
	'reset without framing'(scene) {
		scene.hasFault = true;
		for (const {faults: own} of scene.stage.services) {
			own.cutsUnframed = true;
		}

		scene.mends.push(() => {
			for (const {faults: own} of scene.stage.services) {
				own.cutsUnframed = false;
			}
		});
	},
	stall(scene) {
		scene.hasFault = true;
		for (const {faults: own} of scene.stage.engines) {
			own.silentAfterTokens = 3;
			own.transferStallMs = 700;
		}

		for (const {faults: own} of scene.stage.services) {
			own.isSilent = true;
		}

		scene.stage.clock.after(1000, () => {
			for (const {faults: own} of scene.stage.engines) {
				own.silentAfterTokens = Number.POSITIVE_INFINITY;
				own.transferStallMs = 0;
			}
		});
	},
	'caller cancels'(scene) {
		for (const caller of scene.callers) {
			caller.leave();
		}
	},
	'caller silent'(scene) {
		// A caller that vanishes without a word is one whose connection the host's own system ends
		scene.callers[0]?.leave();
	},
	'pause and late wake-up'(scene) {
		pause(scene, scene.owner);
	},
	split,
	'configuration down'(scene) {
		scene.stage.platform.faults.isDown = true;
		scene.mends.push(() => {
			scene.stage.platform.faults.isDown = false;
		});
	},
	'configuration stale'(scene) {
		const stale = scene.stage.staleValue;
		scene.stage.platform.faults.staleValue = stale;
		scene.mends.push(() => {
			scene.stage.platform.faults.staleValue = undefined;
		});
	},
	'duplicated delivery'(scene) {
		scene.sendAgain();
	},
	'endpoint leaves'(scene) {
		const {stage} = scene;
		const engine = stage.engines[2];
		const service = stage.services[0];
		if (engine === undefined || service === undefined) {
			return;
		}

		stage.platform.listLeaving([engine.traits.name, 'labels-0']);
		scene.leaving = {since: stage.clock.now(), countWork: () => engine.decode.starts.size + service.runs.size};
	},
	'cancels lost'(scene) {
		for (const {faults: own} of scene.stage.engines) {
			own.cancelsLost = 3;
		}

		scene.callers[0]?.leave();
	},
};

/** Faults after which a model request's answer is still whole, as long as its caller stays. */
export const survivable: ReadonlySet<string> = new Set(['keeper dies', 'endpoint dies', 'reset before', 'reset after', 'reset without framing', 'stall', 'configuration down', 'configuration stale', 'duplicated delivery', 'endpoint leaves']);

/** Pairs that strike together or one after the other. */
export const pairs: ReadonlyArray<readonly [string, string]> = [
	['owner dies', 'keeper dies'],
	['pause and late wake-up', 'configuration stale'],
	['split', 'endpoint dies'],
	['split', 'duplicated delivery'],
	['configuration down', 'keeper dies'],
	['caller cancels', 'owner dies'],
	['cancels lost', 'keeper dies'],
	['stall', 'keeper dies'],
];
