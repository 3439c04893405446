/** Asks whether an experiment has switched a mechanism off. Neither safety nor efficiency rests here: elsewhere all are on. */
import {type Mechanism} from '@gatehead/schema/relay-settings';
import {type RelayContext} from './context.js';

/** Whether a mechanism is switched off. */
export function isOff({settings}: Pick<RelayContext, 'settings'>, mechanism: Mechanism): boolean {
	return settings.experiments.off.includes(mechanism);
}
