/** The platform's stand-in: a configuration service that can only be read and watched, and a lagging host list. Every call is counted. */
import {type Clock} from '@gatehead/policy/utils/clock';
import {platformPaths, type ListedHost, type PublishedValue} from '@gatehead/schema/platform-protocol';
import {sendJson, startServer} from '../utils/http.js';

const watchPollMs = 20;

/** Faults of the platform. */
export type PlatformFaults = {
	/** Neither service answers. */
	isDown: boolean;
	/** The configuration service answers with this old value; undefined: the newest. */
	staleValue: PublishedValue | undefined;
	/** How late the host list is. */
	listLagMs: number;
};

/** The running platform. */
export type StandinPlatform = {
	readonly address: string;
	readonly faults: PlatformFaults;
	/** Calls so far, a waiting watch as one. */
	countReads(): number;
	/** What the operators do with a signed bundle. */
	publish(key: string, value: string): void;
	list(hosts: readonly ListedHost[]): void;
	/** Names the endpoints that are leaving. */
	listLeaving(endpoints: readonly string[]): void;
	kill(): Promise<void>;
};

type PlatformState = {
	readonly clock: Clock;
	readonly faults: PlatformFaults;
	readonly values: Map<string, PublishedValue>;
	hosts: readonly ListedHost[];
	leavingEndpoints: readonly string[];
	reads: number;
	isKilled: boolean;
};

function lookUp({faults, values}: PlatformState, key: string): PublishedValue {
	const fresh = faults.staleValue?.key === key ? faults.staleValue : values.get(key);
	return fresh ?? {key, revision: 0, value: ''};
}

/** Answers a watch once the value is newer than `after` or `deadline` has come. */
function watch(state: PlatformState, key: string, after: number, deadline: number, answer: (value: PublishedValue) => void): void {
	const value = lookUp(state, key);
	if (value.revision > after || state.isKilled || state.clock.now() >= deadline) {
		answer(value);
		return;
	}

	state.clock.after(watchPollMs, () => {
		watch(state, key, after, deadline, answer);
	});
}

/** Starts the platform's stand-in. */
export async function startPlatform(clock: Clock, address: string): Promise<StandinPlatform> {
	const state: PlatformState = {
		clock, faults: {isDown: false, staleValue: undefined, listLagMs: 0}, values: new Map(), hosts: [], leavingEndpoints: [], reads: 0, isKilled: false,
	};
	const {faults, values} = state;
	const server = await startServer({
		[`GET ${platformPaths.value}`](request, response, url) {
			state.reads += 1;
			if (faults.isDown) {
				request.socket.resetAndDestroy();
				return;
			}

			const after = Number(url.searchParams.get('after') ?? -1);
			const deadline = clock.now() + Number(url.searchParams.get('waitMs') ?? 0);
			watch(state, String(url.searchParams.get('key')), after, deadline, value => {
				sendJson(response, 200, value);
			});
		},
		[`GET ${platformPaths.hosts}`](request, response) {
			state.reads += 1;
			if (faults.isDown) {
				request.socket.resetAndDestroy();
				return;
			}

			sendJson(response, 200, {hosts: state.hosts, leavingEndpoints: state.leavingEndpoints});
		},
	}, address);
	return {
		address: server.address,
		faults,
		countReads: () => state.reads,
		publish(key, value) {
			values.set(key, {key, revision: (values.get(key)?.revision ?? 0) + 1, value});
		},
		list(hosts) {
			clock.after(faults.listLagMs, () => {
				state.hosts = hosts;
			});
		},
		listLeaving(endpoints) {
			clock.after(faults.listLagMs, () => {
				state.leavingEndpoints = endpoints;
			});
		},
		async kill() {
			state.isKilled = true;
			await server.kill();
		},
	};
}
