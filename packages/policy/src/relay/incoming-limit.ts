/** How much of a machine's memory a host may use for what others send it. */

/** Share of a machine's memory that a host may use. */
const usableShare = 0.9;
/** Memory of a host that receives nothing, in bytes: program, heap and buffers. */
const ownBytes = 78_000_000;
/** Share of the rest for received bytes; as much again may wait for collection, or for its callers. */
const receivedShare = 0.5;
/** Bounds in bytes, also for machines whose memory is unknown or hardly larger than that of an idle host. */
const minBytes = 2_097_152;
const maxBytes = 33_554_432;

/** Bound of the bytes that a host holds of what others send. `memoryBytes`: memory of its machine; undefined: unknown. */
export function incomingLimit(memoryBytes: number | undefined): number {
	const restBytes = (usableShare * (memoryBytes ?? Number.POSITIVE_INFINITY)) - ownBytes;
	return Math.min(maxBytes, Math.max(minBytes, receivedShare * restBytes));
}
