import {type LinkListener, type PeerLinks} from '@gatehead/host/peer/peer-links';
import {type RetryBudget} from '@gatehead/policy/relay/retry-budget';
import {type RelayMessage} from '@gatehead/schema/relay-message';
import {type RelayContext} from '../core/context.js';
import {type DirectoryWatch} from '../core/directory-watch.js';
import {type RoutingState} from '../core/routing-state.js';
import {type CrashGuard} from '../upstream/crash-guard.js';
import {type Endpoints} from '../upstream/endpoints.js';
import {type RunSurvey} from '../upstream/run-survey.js';
import {type Reachability} from '../upstream/reachability.js';

/** Transport to the other hosts. */
export type HostLinks = Pick<PeerLinks<RelayMessage>, 'listen' | 'send' | 'contact' | 'resetLink' | 'close'>;

/** Dependencies of `Fleet`. */
export type FleetParts = {
	readonly context: RelayContext;
	readonly endpoints: Endpoints;
	readonly guard: CrashGuard;
	readonly routing: RoutingState;
	readonly watch: () => DirectoryWatch;
	readonly measureLoad: () => number;
	/** This host's part of a service's retry budget. */
	readonly retryBudgetOf: (service: string) => RetryBudget;
	/** Services to whose endpoints this host has lost its links. */
	readonly reachability: Pick<Reachability, 'isUnreachable'>;
	/** Asks engines after the start of this host what they hold of earlier runs. */
	readonly survey: () => Pick<RunSurvey, 'whenComplete' | 'isOver' | 'listUnheard'>;
	/** Creates the transport; defaults to gRPC streams. */
	readonly makeLinks?: (listener: LinkListener<RelayMessage>) => HostLinks;
};
