/** Seeds of the soak that failed once, each with its cause; they are played as regression cases. */

/** A seed that failed. */
export type FailedSeed = {
	readonly seed: number;
	readonly seconds: number;
	/** How many kinds of fault there were when it failed: more would make another schedule of it. */
	readonly kinds: number;
	readonly cause: string;
};

/** All of them. */
export const failedSeeds: readonly FailedSeed[] = [
	{
		seed: 4, seconds: 4, kinds: 12, cause: 'The proxy passed a reset that came with the last bytes on as a plain end, so that a cut answer without a length looked whole. A fault of the proxy, mended there.',
	},
	{
		seed: 1002, seconds: 2, kinds: 12, cause: 'A decode replica that doubles its answers gave a whole text in place of events, which the relay passed on as it came; the judge took it for lost events. A fault of the judge, which now knows that text, and knows no other exception.',
	},
];
