/** A relay's own calls to endpoints, without the rest of the relay. */
import {parseBootSettings} from '@gatehead/platform/boot-settings';
import {wireDialect} from '@gatehead/platform/wire-dialect';
import {wholeFleet} from '@gatehead/policy/relay/subsets';
import {type Clock} from '@gatehead/policy/utils/clock';
import {ignore} from '@gatehead/policy/utils/ignore';
import {seedRandom} from '@gatehead/policy/utils/random';
import {ControlCalls} from '@gatehead/relay/upstream/control-calls';
import {Endpoints} from '@gatehead/relay/upstream/endpoints';
import {IncomingMemory} from '@gatehead/relay/utils/incoming-memory';
import {Metrics} from '@gatehead/relay/utils/metrics';
import {type Endpoint} from '@gatehead/schema/routing';
import {ownAddress} from '../utils/ports.js';
import {makeBoot} from './world.js';

/** Memory for what arrives, in bytes. */
const incomingBytes = 1_048_576;

/** Creates the own calls of a host, and the connections that they take. */
export function createOwnCalls(clock: Clock): {readonly own: ControlCalls; readonly endpoints: Endpoints} {
	const {settings} = parseBootSettings(makeBoot({
		name: 'a', ip: ownAddress, ports: [1, 2, 3, 4], seeds: [], store: `${ownAddress}:1`,
	}), undefined);
	const parts = {
		clock, log: ignore, random: seedRandom(1), metrics: new Metrics(undefined, {}), settings, dialect: wireDialect,
	};
	const context = {...parts, incoming: new IncomingMemory({...parts, limitBytes: incomingBytes, collectGarbage: ignore})};
	const endpoints = new Endpoints(context, {
		onPause: ignore, onLimit: ignore, onDrain: ignore, onLinkFailure: ignore, onCapacityFreed: ignore, onGone: ignore, subset: () => wholeFleet, isLoadManaged: () => false,
	});
	return {own: new ControlCalls(context, endpoints), endpoints};
}

/** An engine at an address. */
export function makeEngine(address: string): Endpoint {
	return {
		id: 'e', service: 's', address, hall: 'a', state: 'ready', stage: 'prefill', slots: 16,
	};
}
