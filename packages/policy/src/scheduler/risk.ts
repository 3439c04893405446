/** How likely a decode slot must be before a prefill starts, by the bundle's objective. */
import {type Objective} from '@gatehead/schema/bundle';

export type Risk = {
	/** Standard deviations subtracted from the mean number of forecast releases. */
	readonly safetyDeviations: number;
	/** Share of its hold time that a prefill result may wait for a decode slot, from 0 to 1. */
	readonly waitShare: number;
};

/** `goodput` starts prefills on the mean forecast; `wastedPrefill` keeps a margin to avoid results that expire unused. */
export const riskByObjective: Record<Objective, Risk> = {
	goodput: {safetyDeviations: 0, waitShare: 0},
	wastedPrefill: {safetyDeviations: 0.5, waitShare: 0},
};
