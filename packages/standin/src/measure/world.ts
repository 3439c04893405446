/** The fakes of a measurement: the stand-ins' engine cores on one injected clock, and a network that is a fixed delay between halls. */
import {type Bundle} from '@gatehead/schema/bundle';
import {type DecodeOrder, type EngineRefusal, type EngineReport} from '@gatehead/schema/engine-protocol';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {seedRandom, type Random} from '@gatehead/policy/utils/random';
import {DecodeCore, type LineSink} from '../engine/decode-core.js';
import {PrefillCore} from '../engine/prefill-core.js';
import {
	noFaults, traitsOf, type EngineFaults, type EngineTraits,
} from '../engine/traits.js';

const ownHallMs = 0.1;
const betweenHallsMs: Readonly<Record<string, number>> = {tour: 1, buoy: 0.5};

/** One fake engine. */
export type FakeEngine = {
	readonly hall: string;
	readonly traits: EngineTraits;
	readonly faults: EngineFaults;
	readonly prefill: PrefillCore;
	readonly decode: DecodeCore;
	isLost: boolean;
};

/** A fake host. */
export type FakeHost = {
	readonly name: string;
	readonly hall: string;
	isLost: boolean;
};

/** Everything that is not a decision. */
export type World = {
	readonly bundle: Bundle;
	readonly clock: ManualClock;
	readonly random: Random;
	readonly engines: ReadonlyMap<string, FakeEngine>;
	readonly hosts: readonly FakeHost[];
	/** How late reports are, in milliseconds. */
	reportLagMs: number;
};

/** Makes a world. */
export function makeWorld(bundle: Bundle, hostCount: number, seed: number): World {
	const clock = new ManualClock();
	const halls = [...new Set(bundle.engines.map(each => each.hall))];
	const engines = new Map<string, FakeEngine>();
	for (const engine of bundle.engines) {
		const traits = traitsOf(engine, bundle.models[0]?.kvBytesPerToken ?? 1, '');
		const faults = noFaults();
		engines.set(engine.name, {
			hall: engine.hall, traits, faults, prefill: new PrefillCore(traits, faults, clock), decode: new DecodeCore(traits, faults, clock), isLost: false,
		});
	}

	const hosts = Array.from({length: hostCount}, (_, index) => ({name: `host-${index}`, hall: halls[index % halls.length] ?? '', isLost: false}));
	return {
		bundle, clock, random: seedRandom(seed), engines, hosts, reportLagMs: 150,
	};
}

/** One-way delay between two halls, in milliseconds. */
export function delayBetween({bundle}: World, left: string, right: string): number {
	return left === right ? ownHallMs : (betweenHallsMs[bundle.deployment] ?? 1);
}

/** An engine's report as it is now. */
export function reportOf({traits, prefill, decode, faults}: FakeEngine): EngineReport {
	return {
		name: traits.name,
		role: traits.role,
		fence: 0,
		models: [],
		slots: traits.slots,
		streams: decode.listHeld(),
		results: prefill.listHeld(),
		queued: prefill.queued,
		tokenMs: decode.tokenMs,
		lagMs: 0,
		cacheEvents: prefill.cache.takeEvents().filter(({sequence}) => sequence % 2 === 0 || faults.cacheEventLoss < 0.5),
	};
}

/** Imports a result at a decode engine and starts its stream; `failed` is called instead where it cannot. */
export function importAndDecode({clock, engines}: World, target: FakeEngine, source: FakeEngine, order: DecodeOrder, sink: LineSink, failed: (refusal: EngineRefusal | undefined) => void): void {
	if (target.isLost) {
		failed(undefined);
		return;
	}

	const refusal = target.decode.reserve(order, sink);
	if (refusal !== undefined) {
		failed(refusal);
		return;
	}

	const outcome = source.prefill.startExport(order.source.handle);
	if ('refused' in outcome) {
		target.decode.abandon(order.request, order.attempt);
		failed(outcome);
		return;
	}

	clock.after(outcome.tookMs, () => {
		const isWhole = !target.isLost && engines.has(source.traits.name);
		source.prefill.endExport(order.source.handle, isWhole);
		if (isWhole) {
			target.decode.begin(order.request, order.attempt);
		} else {
			failed(undefined);
		}
	});
}

/** Ends an engine with all that it holds. */
export function loseEngine(engine: FakeEngine): void {
	engine.isLost = true;
	for (const {request, attempt} of [...engine.decode.listHeld(), ...engine.prefill.listHeld()]) {
		engine.decode.cancel(request, attempt);
		engine.prefill.cancel(request, attempt);
	}
}
