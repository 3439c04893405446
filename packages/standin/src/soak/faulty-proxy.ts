/** A loopback proxy that delays, resets, silences or cuts one way what passes between a host and what it calls. */
import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import {splitAddress} from '@gatehead/schema/address';

/** What the proxy does with what passes. */
export type ProxyMode = 'pass' | 'delay' | 'silence' | 'dropAnswers';

const delayMs = 120;

/** A running proxy. */
export type FaultyProxy = {
	readonly address: string;
	mode: ProxyMode;
	/** Nothing passes any more on the connections that are open now, not even their end; new ones work. */
	silenceOpen(): void;
	/** Nothing is read any more, as if the process behind had stopped, until `release`; nothing is lost. */
	hold(): void;
	release(): void;
	/** Resets all open connections. */
	reset(): void;
	/** Refuses new connections from now on; open ones live on. */
	refuseNew(): void;
	close(): void;
};

/** A reset that comes with the last bytes looks like an end; a write to the closed side tells them apart, so that a reset is passed on as one. */
function passEnd(from: Socket, to: Socket, isAnswer: boolean): void {
	if (!isAnswer || !from.writable) {
		to.end();
		return;
	}

	from.write('\r\n', error => {
		if (error) {
			to.resetAndDestroy();
		} else {
			to.end();
		}
	});
}

/** Where a proxy listens. */
export type ProxyListener = {
	/** Absent: 127.0.0.1. */
	readonly ip?: string;
	/** 0: a free port. */
	readonly port?: number;
	/** Connections that wait to be accepted, at most. */
	readonly backlog?: number;
};

/** Starts a proxy before an address. */
export async function startProxy(target: string, {ip: ownIp = '127.0.0.1', port: ownPort = 0, backlog}: ProxyListener = {}): Promise<FaultyProxy> {
	const {ip, port} = splitAddress(target);
	const sockets = new Set<Socket>();
	const silenced = new WeakSet<Socket>();
	const proxy: {mode: ProxyMode; isHeld: boolean} = {mode: 'pass', isHeld: false};
	const forward = (from: Socket, to: Socket, isAnswer: boolean) => {
		const dropped: Readonly<Record<ProxyMode, boolean>> = {
			pass: false, delay: false, silence: true, dropAnswers: isAnswer,
		};
		from.on('data', chunk => {
			if (dropped[proxy.mode] || silenced.has(from)) {
				return;
			}

			if (proxy.mode === 'delay') {
				setTimeout(() => {
					to.write(chunk);
				}, delayMs);
			} else {
				to.write(chunk);
			}
		});
		from.on('end', () => {
			if (silenced.has(from)) {
				return;
			}

			setTimeout(() => {
				passEnd(from, to, isAnswer);
			}, proxy.mode === 'delay' ? delayMs : 0);
		});
		from.on('error', () => {
			if (!silenced.has(from)) {
				to.resetAndDestroy();
			}
		});
		from.once('close', () => {
			sockets.delete(from);
		});
	};

	const server = createServer({allowHalfOpen: true}, incoming => {
		const outgoing = connect({host: ip, port, allowHalfOpen: true});
		sockets.add(incoming);
		sockets.add(outgoing);
		forward(incoming, outgoing, false);
		forward(outgoing, incoming, true);
		if (proxy.isHeld) {
			incoming.pause();
			outgoing.pause();
		}

		incoming.once('close', () => {
			if (!silenced.has(incoming)) {
				outgoing.destroy();
			}
		});
	});
	server.listen({port: ownPort, host: ownIp, backlog});
	await once(server, 'listening');
	const bound = server.address();
	return {
		address: `${ownIp}:${typeof bound === 'object' && bound !== null ? bound.port : 0}`,
		get mode() {
			return proxy.mode;
		},
		set mode(mode) {
			proxy.mode = mode;
		},
		silenceOpen() {
			for (const socket of sockets) {
				silenced.add(socket);
			}
		},
		hold() {
			proxy.isHeld = true;
			for (const socket of sockets) {
				socket.pause();
			}
		},
		release() {
			proxy.isHeld = false;
			for (const socket of sockets) {
				socket.resume();
			}
		},
		reset() {
			for (const socket of sockets) {
				socket.resetAndDestroy();
			}
		},
		refuseNew() {
			server.close();
		},
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}
