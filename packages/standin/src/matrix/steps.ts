/** The steps of a request's and a bundle's life at which faults are injected, each with how the stage gets there. */
import {type EventKind} from '@gatehead/schema/event';
import {type Scene} from './scene.js';

const longestMs = 3000;

/** Brings a scene to a step; the fault follows at once. */
export type Step = (scene: Scene) => Promise<void>;

function untilEvent(kind: EventKind): Step {
	return async ({stage}) => {
		await stage.until(() => stage.listEvents().some(each => each.kind === kind && (each.request === undefined || each.request.includes('~'))), longestMs);
	};
}

/** Steps by name. */
export const steps: Readonly<Record<string, Step>> = {
	async lookup() {
		// The callers have their addresses and send only after the fault
	},
	admission: untilEvent('requestArrived'),
	lease: untilEvent('asked'),
	prefill: untilEvent('prefillStarted'),
	export: untilEvent('prefillEnded'),
	transfer: untilEvent('decodeGranted'),
	import: untilEvent('decodeStarted'),
	'decode stream': untilEvent('firstToken'),
	'last token': untilEvent('decodeEnded'),
	async cancel(scene) {
		await untilEvent('firstToken')(scene);
		scene.callers[0]?.leave();
		await untilEvent('callerGone')(scene);
	},
	async order(scene) {
		scene.publishNext();
		await scene.stage.until(() => scene.stage.listEvents().some(each => each.kind === 'orderSent' && each.bundleVersion === scene.stage.published), longestMs);
	},
	async 'bundle adoption'(scene) {
		scene.publishNext();
		await scene.stage.until(() => scene.stage.listEvents().some(each => each.kind === 'bundleAdopted' && each.bundleVersion === scene.stage.published), longestMs);
	},
	async 'planned stop'(scene) {
		await untilEvent('firstToken')(scene);
		scene.stopOwner();
		await untilEvent('stopping')(scene);
	},
};
