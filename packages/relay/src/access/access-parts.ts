/** Dependencies that the access modules share. */
import {type RelayMessage} from '@gatehead/schema/relay-message';
import {type RelayContext} from '../core/context.js';
import {type RoutingState} from '../core/routing-state.js';

export type AccessParts = {
	readonly context: Pick<RelayContext, 'clock' | 'log' | 'metrics' | 'self' | 'settings'>;
	readonly routing: RoutingState;
	readonly send: (host: string, message: RelayMessage) => void;
	/** Makes the next message to a host use a new connection. */
	readonly renew: (host: string) => void;
};
