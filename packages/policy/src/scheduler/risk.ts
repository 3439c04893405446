/**
 * The one risk knob: how sure a slot must be before a prefill starts for it. Set by the bundle's objective, by measurement.
 * Efficiency only.
 */
import {type Objective} from '@gatehead/schema/bundle';

/** How early to start. */
export type Risk = {
	/** Standard deviations below the mean of the forecast that are counted on. */
	readonly caution: number;
	/** Share of a result's life that it may wait for its slot. */
	readonly patience: number;
};

/** The tour services buy goodput with risk; the consortium refuses waste. */
export const risks: Record<Objective, Risk> = {
	goodput: {caution: 0, patience: 0},
	wastedPrefill: {caution: 0.5, patience: 0},
};
