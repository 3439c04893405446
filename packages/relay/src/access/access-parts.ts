/** What the tasks of access are made from. Neither safety nor efficiency rests here. */
import {type RelayMessage} from '@gatehead/schema/relay-message';
import {type RelayContext} from '../core/context.js';
import {type RoutingState} from '../core/routing-state.js';

/** What keys, evidence and quotas work with. */
export type AccessParts = {
	readonly context: Pick<RelayContext, 'clock' | 'log' | 'metrics' | 'self' | 'settings'>;
	readonly routing: RoutingState;
	readonly send: (host: string, message: RelayMessage) => void;
	/** Sees to it that what is said to a host next goes over a new connection. */
	readonly renew: (host: string) => void;
};
