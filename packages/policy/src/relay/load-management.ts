/** Decides whether the relay manages the load of scarce services: forecasts, paces, shares and queues over all hosts. */
import {type LoadManagement} from '@gatehead/schema/relay-settings';
import {type Routing} from '@gatehead/schema/routing';

/** Tokens per event from which an output takes about as much memory as its prompt, so that the error of its estimate decides whether a replica runs out of memory. */
const minLongOutputTokens = 32;

/** Whether load management applies to a configuration. */
export function isLoadManaged({services}: Pick<Routing, 'services'>, management: LoadManagement): boolean {
	if (management !== 'auto') {
		return management === 'on';
	}

	return services.some(({engine}) => (engine?.eventTokens ?? 0) >= minLongOutputTokens);
}
