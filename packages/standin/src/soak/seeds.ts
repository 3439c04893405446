/** Seeds of the soak that failed once, each with its cause; they are played as regression cases. */

/** A seed that failed. */
export type FailedSeed = {
	readonly seed: number;
	readonly seconds: number;
	readonly cause: string;
};

/** All of them. */
export const failedSeeds: readonly FailedSeed[] = [
	{seed: 4, seconds: 4, cause: 'The proxy passed a reset that came with the last bytes on as a plain end, so that a cut answer without a length looked whole. A fault of the proxy, mended there.'},
];
