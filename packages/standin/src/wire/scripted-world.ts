/** Hosts before scripted endpoints that answer soundly but for what a test changes. */
import {type LoadManagement} from '@gatehead/schema/relay-settings';
import {
	startScriptedEndpoint, writeResponse, type ScriptedCall, type ScriptedEndpoint,
} from './scripted-endpoint.js';
import {
	makeEntry, patientTimes, startWorld, until, type RouteTimes, type World,
} from './world.js';

type Stage = 'prefill' | 'decode' | undefined;

/** A call at one of the endpoints. */
export type EndpointCall = ScriptedCall & {readonly endpoint: string; readonly stage: Stage};

/** Repeats that the host may send in one window: more than any test needs. */
const ampleAllowance = 1000;

/** What a request is at an endpoint: a control call, a prompt to read, or a run. */
export type CallKind = 'reservation' | 'control' | 'prefill' | 'run';

/** Hosts and their endpoints. */
export type ScriptedWorld = {
	readonly world: World;
	/** Address of the first host for callers. */
	readonly caller: string;
	/** Runs of requests, by their ids. */
	readonly runs: string[];
	/** Prefill results that runs took, in order. */
	readonly takenResults: string[];
	/** Reservations that runs took, in order. */
	readonly takenReservations: string[];
	readonly endpoints: ReadonlyMap<string, ScriptedEndpoint>;
	/** Answers a call before the sound endpoint does; returns whether it did. Tests replace it. */
	intercept: (call: EndpointCall, kind: CallKind) => boolean;
	/** Writes the entries of all endpoints as those of new starts, of which the hosts know nothing yet, and waits until they use them. */
	publish(): Promise<void>;
	/** Endpoints that a host does not use. */
	listUnready(): string[];
	/** Answers a call as a sound endpoint does. */
	answerSoundly(call: EndpointCall): void;
	stop(): Promise<void>;
};

export type ScriptedParts = {
	/** Number of hosts; absent: one. */
	readonly hosts?: number;
	readonly plain?: number;
	readonly prefill?: number;
	readonly decode?: number;
	readonly routeTimes?: RouteTimes;
	/** Repeats that the host may send in one window; absent: more than any test needs. */
	readonly retryAllowance?: number;
	/** Attempts of the resumable route; absent: two. */
	readonly streamAttempts?: number;
	/** Size of a body that endpoints do not read before they answer, in bytes; absent: they read all of them. */
	readonly earlyBytes?: number;
	/** Whether the host manages the load; absent: as the configuration calls for. */
	readonly loadManagement?: LoadManagement;
};

/** Body of a sound response to a plain call. */
export function bodyOf(id: string): string {
	return `answer to ${id}`;
}

/** Body of a sound stream, after the event with the given number. */
export function streamOf(id: string, after = 0): string {
	return [1, 2, 3].filter(number => number > after).map(number => `id: ${number}\ndata: piece ${number} of ${id}\n\n`).join('');
}

function kindOf({target, headers}: ScriptedCall): CallKind {
	if (target === '/api/hold-take') {
		return 'reservation';
	}

	if (target.startsWith('/api/')) {
		return 'control';
	}

	return headers.get('stage') === 'prefill' ? 'prefill' : 'run';
}

/** Starts hosts and their endpoints, and waits until the hosts know them. */
export async function startScriptedWorld({hosts = 1, plain = 0, prefill = 0, decode = 0, routeTimes = patientTimes, retryAllowance = ampleAllowance, streamAttempts, earlyBytes, loadManagement}: ScriptedParts): Promise<ScriptedWorld> {
	const world = await startWorld({
		hosts, plain: 0, prefill: 0, decode: 0, slots: 8, routeTimes, retryAllowance, ...(streamAttempts === undefined ? {} : {streamAttempts}), ...(loadManagement === undefined ? {} : {loadManagement}),
	});
	let made = 0;
	let starts = 0;
	const answers: Readonly<Record<CallKind, (call: EndpointCall) => string>> = {
		reservation() {
			made += 1;
			return writeResponse(200, {'Keep-Alive': 'timeout=5'}, JSON.stringify({hold: `hold${made}`}));
		},
		control: () => writeResponse(200, {'Keep-Alive': 'timeout=5'}, '{}'),
		prefill({id}) {
			made += 1;
			return writeResponse(200, {'Request-Id': id, 'Keep-Alive': 'timeout=5'}, JSON.stringify({prefillHandle: `result${made}`, tokens: 1, version: 1}));
		},
		run({id, stage, headers}) {
			scripted.runs.push(id);
			scripted.takenResults.push(headers.get('kv-source')?.split('/')[1] ?? '');
			scripted.takenReservations.push(headers.get('kv-hold') ?? '');
			const isStream = stage === 'decode';
			return writeResponse(200, {
				'Request-Id': id, 'Server-Seal': 'seal', 'Keep-Alive': 'timeout=5', ...(isStream ? {'Content-Type': 'text/event-stream'} : {}),
			}, isStream ? streamOf(id, Number(headers.get('last-event-id') ?? 0)) : bodyOf(id));
		},
	};
	const stages: Stage[] = [...Array.from({length: plain}, () => undefined), ...Array.from({length: prefill}, () => 'prefill' as const), ...Array.from({length: decode}, () => 'decode' as const)];
	const endpoints = new Map<string, ScriptedEndpoint>();
	const scripted: ScriptedWorld = {
		world,
		caller: world.relays[0]?.caller ?? '',
		runs: [],
		takenResults: [],
		takenReservations: [],
		endpoints,
		intercept: () => false,
		async publish() {
			starts += 1;
			for (const [index, [id, {address}]] of [...endpoints].entries()) {
				world.store.put(`servers/${id}`, makeEntry({
					address, stage: stages[index], slots: 8, born: starts, softwareVersion: undefined,
				}, 'ready'));
			}

			await until(() => scripted.listUnready().length === 0);
		},
		listUnready: () => [...endpoints.keys()].map(id => `${id}@${starts}`).filter(id => !world.relays.every(({relay}) => relay.endpoints.book.isReady(id))),
		answerSoundly(call) {
			call.socket.write(answers[kindOf(call)](call));
		},
		async stop() {
			await world.stop();
			for (const endpoint of endpoints.values()) {
				endpoint.stop();
			}
		},
	};
	for (const [index, stage] of stages.entries()) {
		const id = `${stage ?? 'plain'}-${index}`;
		const endpoint = await startScriptedEndpoint(received => {
			const call = {...received, endpoint: id, stage};
			if (!scripted.intercept(call, kindOf(call))) {
				scripted.answerSoundly(call);
			}
		}, undefined, earlyBytes);
		endpoints.set(id, endpoint);
	}

	await scripted.publish();
	return scripted;
}

/** Starts two hosts and their endpoints; the first host reaches no endpoint and forwards what callers send it to the second one. */
export async function startForwardingWorld(parts: Omit<ScriptedParts, 'hosts'>): Promise<ScriptedWorld> {
	const scripted = await startScriptedWorld({...parts, hosts: 2});
	const [entry] = scripted.world.relays;
	if (entry !== undefined) {
		entry.relay.reachability.isUnreachable = () => true;
	}

	return scripted;
}

/** How a request gets from its caller's host to an endpoint, and how a world is started in which it does. */
export const reaches = {direct: startScriptedWorld, forwarded: startForwardingWorld} as const;

export type Reach = keyof typeof reaches;
