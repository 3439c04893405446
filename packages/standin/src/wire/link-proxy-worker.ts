/** The thread of a `LinkProxy`: forwards connections. While its event loop is blocked, open connections are silent and the kernel leaves new ones unanswered. */
import {once} from 'node:events';
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {parentPort} from 'node:worker_threads';
import {splitAddress} from '@gatehead/schema/address';

/** Connections that the kernel accepts for a blocked thread; Linux adds one. */
const backlog = 1;

/** `block`: blocks the thread until the first element of the shared array changes. */
type Command
	= | {readonly kind: 'open'; readonly targets: readonly string[]}
		| {readonly kind: 'block'; readonly gate: Int32Array}
		| {readonly kind: 'refuse'; readonly resetsOpen: boolean}
		| {readonly kind: 'heal'};

type Path = {readonly target: string; server: Server; readonly port: number};
type Handlers = {readonly [Kind in Command['kind']]: (command: Extract<Command, {kind: Kind}>) => Promise<void> | void};

const sockets = new Set<Socket>();
let paths: Path[] = [];

function track(socket: Socket): void {
	sockets.add(socket);
	socket.once('close', () => {
		sockets.delete(socket);
	});
}

function makeServer(target: string): Server {
	const {ip, port} = splitAddress(target);
	return createServer({allowHalfOpen: true}, incoming => {
		const outgoing = connect({host: ip, port, allowHalfOpen: true});
		for (const [from, to] of [[incoming, outgoing], [outgoing, incoming]] as const) {
			track(from);
			from.pipe(to);
			from.on('error', () => {
				to.resetAndDestroy();
			});
			from.once('close', () => {
				to.destroySoon();
			});
		}
	});
}

async function listen(server: Server, port: number): Promise<number> {
	server.listen({host: '127.0.0.1', port, backlog});
	await once(server, 'listening');
	const bound = server.address();
	return typeof bound === 'object' && bound !== null ? bound.port : 0;
}

const handlers: Handlers = {
	async open({targets}) {
		paths = await Promise.all(targets.map(async target => {
			const server = makeServer(target);
			return {target, server, port: await listen(server, 0)};
		}));
		parentPort?.postMessage(paths.map(({port}) => `127.0.0.1:${port}`));
	},
	block({gate}) {
		parentPort?.postMessage('blocking');
		Atomics.wait(gate, 0, 0);
	},
	refuse({resetsOpen}) {
		for (const {server} of paths) {
			server.close();
		}

		for (const socket of resetsOpen ? sockets : []) {
			socket.resetAndDestroy();
		}

		parentPort?.postMessage('refusing');
	},
	async heal() {
		for (const path of paths) {
			if (!path.server.listening) {
				path.server = makeServer(path.target);
				await listen(path.server, path.port);
			}
		}

		parentPort?.postMessage('healed');
	},
};

function handle<Kind extends Command['kind']>(message: Extract<Command, {kind: Kind}> & {readonly kind: Kind}): void {
	const run: (each: Extract<Command, {kind: Kind}>) => Promise<void> | void = handlers[message.kind];
	void run(message);
}

parentPort?.on('message', (data: unknown) => {
	handle(data as Command); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the main thread's own message
});
