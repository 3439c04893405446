/** Dependencies that the request handlers share. */
import {type StopWindow} from '@gatehead/policy/relay/stop-window';
import {type RelayContext} from '../core/context.js';
import {type ListEvidence} from '../core/list-evidence.js';
import {type LoadGossip} from '../peer/load-gossip.js';
import {type CrashGuard} from '../upstream/crash-guard.js';
import {type Endpoints} from '../upstream/endpoints.js';
import {type ControlCalls} from '../upstream/control-calls.js';
import {type PeerForwarder} from '../upstream/peer-forwarder.js';
import {type Reachability} from '../upstream/reachability.js';
import {type Sender} from '../upstream/sender.js';
import {type RetryBudgets} from './retry-budgets.js';
import {type Admission} from './admission.js';
import {type CallAdmission} from './call-admission.js';
import {type StageOrders} from './stage-orders.js';
import {type StreamVersions} from './stream-versions.js';

export type WorkParts = {
	readonly context: RelayContext;
	readonly endpoints: Endpoints;
	readonly evidence: Pick<ListEvidence, 'isComplete' | 'refresh'>;
	readonly sender: Sender;
	readonly forwarder: PeerForwarder;
	readonly reachability: Reachability;
	readonly guard: CrashGuard;
	readonly budgets: RetryBudgets;
	readonly admission: Admission;
	readonly calls: CallAdmission;
	readonly ownCalls: ControlCalls;
	readonly orders: StageOrders;
	readonly streams: Pick<StreamVersions, 'record' | 'recordUnseen'>;
	readonly news: LoadGossip;
	readonly stopWindow: Pick<StopWindow, 'mayBegin'>;
};
