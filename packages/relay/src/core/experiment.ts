import {type Mechanism} from '@gatehead/schema/relay-settings';
import {type RelayContext} from './context.js';

/** Whether the experiment settings disable a mechanism; all are enabled by default. */
export function isOff({settings}: Pick<RelayContext, 'settings'>, mechanism: Mechanism): boolean {
	return settings.experiments.off.includes(mechanism);
}
