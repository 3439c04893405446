/** What a host's view of the fleet, and its news of the directory, are made from. Neither safety nor efficiency rests here. */
import {type LinkListener, type PeerLinks} from '@gatehead/host/peer/peer-links';
import {type RelayMessage} from '@gatehead/schema/relay-message';
import {type RelayContext} from '../core/context.js';
import {type DirectoryWatch} from '../core/directory-watch.js';
import {type RoutingState} from '../core/routing-state.js';
import {type CrashGuard} from '../upstream/crash-guard.js';
import {type Endpoints} from '../upstream/endpoints.js';

/** How a host speaks to others. */
export type HostLinks = Pick<PeerLinks<RelayMessage>, 'listen' | 'send' | 'greet' | 'renew' | 'close'>;

/** What the fleet works with. */
export type FleetParts = {
	readonly context: RelayContext;
	readonly endpoints: Endpoints;
	readonly guard: CrashGuard;
	readonly routing: RoutingState;
	readonly watch: () => DirectoryWatch;
	readonly measureLoad: () => number;
	/** Makes the links to other hosts; absent: gRPC streams. */
	readonly makeLinks?: (listener: LinkListener<RelayMessage>) => HostLinks;
};
