/** The forwarder of a host that knows one other, without the rest of the relay. */
import {parseBootSettings} from '@gatehead/platform/boot-settings';
import {wireDialect} from '@gatehead/platform/wire-dialect';
import {systemClock} from '@gatehead/policy/utils/clock';
import {ignore} from '@gatehead/policy/utils/ignore';
import {seedRandom} from '@gatehead/policy/utils/random';
import {PeerForwarder, type PeerForwarderParts} from '@gatehead/relay/upstream/peer-forwarder';
import {Metrics} from '@gatehead/relay/utils/metrics';
import {type Job} from '@gatehead/relay/work/job';
import {RunLedger} from '@gatehead/relay/work/run-ledger';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {ownAddress} from '../utils/ports.js';
import {type ScriptedCall} from './scripted-endpoint.js';
import {makeBoot} from './world.js';

/** Time for the head of a response, in milliseconds. */
export const headMs = 5000;

const member: MemberRecord = {
	host: 'b', hall: 'a', region: 'r', incarnation: 1, counter: 1, state: 'alive', callerAddress: '', peerAddress: '', adminAddress: '', load: 0,
};

/** Creates the forwarder. `admit`: whether there is retry budget for a job. */
export function createForwarder(address: string, admit: () => boolean = () => true): PeerForwarder {
	const {settings} = parseBootSettings(makeBoot({
		name: 'a', ip: ownAddress, ports: [1, 2, 3, 4], seeds: [], store: `${ownAddress}:1`,
	}));
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- what the forwarder uses
	const parts = {
		context: {
			clock: systemClock, log: ignore, random: seedRandom(1), metrics: new Metrics(undefined, {}), settings, dialect: wireDialect, self: {host: 'a', incarnation: 1},
		},
		reachability: {isUnreachable: () => true},
		budgets: {admit, discount: ignore},
		routingVersion: () => 1,
		listMembers: () => [{...member, hall: settings.hall, forwardAddress: address}],
	} as unknown as PeerForwarderParts;
	return new PeerForwarder(parts);
}

/** Creates a request to forward. */
export function createJob(): Job {
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- what the forwarder uses
	return {
		id: 'own', facts: {id: 'own'}, service: {name: 'plain'}, method: 'GET', target: '/once/1', headers: ['Host', 'calls.example', 'Request-Id', 'own'], signal: new AbortController().signal, deadlineAt: systemClock.now() + headMs, runs: new RunLedger(),
	} as unknown as Job;
}

/** Header field of a response that names the forward that it answers. */
export function nameForward({headers}: ScriptedCall): Record<string, string> {
	return {'gatehead-forward-id': headers.get('gatehead-forward-id') ?? ''};
}
