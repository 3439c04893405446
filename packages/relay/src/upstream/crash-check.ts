/**
 * Distinguishes a crashed endpoint from one that closed a single connection,
 * as overloaded endpoints do: a crashed process has no open connections left
 * and accepts no new ones. Without the check, requests whose connections two
 * endpoints closed would be held although neither crashed. A false positive may hold back one content's
 * requests for a minute. A paused endpoint whose backlog is full accepts no
 * connections either, but refuses none: silence alone shows no crash.
 */
import {setImmediate} from 'node:timers/promises';
import {type Endpoint} from '@gatehead/schema/routing';
import {type RelayContext} from '../core/context.js';
import {probeConnection, type ProbeResult} from './connection-probe.js';
import {type Endpoints} from './endpoints.js';

/** Time until all connections of a crashed endpoint are seen to be closed, in milliseconds: twice the longest latency between regions, and one event-loop turn of a busy host. */
const settleMs = 30;

/** Time for which an endpoint that accepts and refuses nothing may be paused, in milliseconds; most pauses end within two seconds. */
const maxPauseMs = 3000;

/** Result of a check; `connected`: this host still has a connection. */
export type Finding = 'connected' | 'takesConnections' | 'refused' | 'silent';

const probeFindings: Readonly<Record<ProbeResult, Finding>> = {connected: 'takesConnections', refused: 'refused', silent: 'silent'};

const crashFindings: ReadonlySet<Finding> = new Set(['refused', 'silent']);

/** Crash checks of one host. */
export class CrashCheck {
	readonly #context: Pick<RelayContext, 'clock' | 'metrics' | 'settings'>;
	readonly #endpoints: Pick<Endpoints, 'connectionsOf'>;
	/** Checks in progress, by endpoint id: one crash loses many requests at once. */
	readonly #pendingChecks = new Map<string, Promise<Finding>>();

	constructor(context: Pick<RelayContext, 'clock' | 'metrics' | 'settings'>, endpoints: Pick<Endpoints, 'connectionsOf'>) {
		this.#context = context;
		this.#endpoints = endpoints;
	}

	/** Whether an endpoint that just closed a connection has crashed. One that is silent is checked again until a pause would have ended. */
	async hasCrashed(endpoint: Endpoint): Promise<boolean> {
		const {clock} = this.#context;
		const pausedUntil = clock.now() + maxPauseMs;
		let finding = await this.check(endpoint);
		while (finding === 'silent' && clock.now() < pausedUntil) {
			finding = await this.check(endpoint);
		}

		return crashFindings.has(finding);
	}

	/** Checks an endpoint that just closed a connection, once. */
	async check(endpoint: Endpoint): Promise<Finding> {
		const pending = this.#pendingChecks.get(endpoint.id);
		if (pending !== undefined) {
			return pending;
		}

		const check = this.#check(endpoint);
		this.#pendingChecks.set(endpoint.id, check);
		try {
			return await check;
		} finally {
			this.#pendingChecks.delete(endpoint.id);
		}
	}

	async #check(endpoint: Endpoint): Promise<Finding> {
		await new Promise<void>(resolve => {
			this.#context.clock.after(settleMs, resolve);
		});
		// Timers run before the closes that have arrived meanwhile are read
		await setImmediate();
		const finding = this.#endpoints.connectionsOf(endpoint).isConnected ? 'connected' : await this.#probe(endpoint);
		this.#context.metrics.add('endChecks', {finding});
		return finding;
	}

	async #probe({address}: Endpoint): Promise<Finding> {
		const {clock, settings: {timing: {connectMs}}} = this.#context;
		return probeFindings[await probeConnection({clock, address, connectMs})];
	}
}
