/** Collects garbage on request. Buffers lie outside the heap, so a host that drops many has long passed its machine's memory when the heap would be collected. */
import process from 'node:process';

/** Share of the machine's memory from which garbage is collected. */
const pressureShare = 0.7;

/** Frees the buffers that nothing uses any more; `isYoung`: only those that were in use for a short time, which costs far less. */
export type CollectGarbage = (isYoung: boolean) => void;

/** Makes a collector for a machine with `memoryBytes`. It does nothing while enough memory is free, on a machine of unknown memory, and unless Node runs with `--expose-gc`. */
export function makeGarbageCollector(memoryBytes: number | undefined): CollectGarbage {
	const pressureBytes = pressureShare * (memoryBytes ?? Number.POSITIVE_INFINITY);
	return isYoung => {
		if (process.memoryUsage.rss() < pressureBytes) {
			return;
		}

		if (isYoung) {
			globalThis.gc?.({type: 'minor'});
		} else {
			globalThis.gc?.();
		}
	};
}
