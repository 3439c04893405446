/** The thread of a `LinkProxy`: one proxy before each endpoint, at an address of this process alone, so that no other takes the port of a listener that refuses. While its event loop is blocked, open connections are silent and the kernel leaves new ones unanswered. */
import {parentPort} from 'node:worker_threads';
import {splitAddress} from '@gatehead/schema/address';
import {startProxy, type FaultyProxy} from '../soak/faulty-proxy.js';
import {ownAddress} from '../utils/ports.js';

/** Connections that the kernel accepts for a blocked thread; Linux adds one. */
const backlog = 1;

/** `block`: blocks the thread until the first element of the shared array changes. */
type Command
	= | {readonly kind: 'open'; readonly targets: readonly string[]}
		| {readonly kind: 'block'; readonly gate: Int32Array}
		| {readonly kind: 'refuse'; readonly resetsOpen: boolean}
		| {readonly kind: 'heal'};

type Path = {
	readonly target: string;
	proxy: FaultyProxy;
	isRefusing: boolean;
};
type Handlers = {readonly [Kind in Command['kind']]: (command: Extract<Command, {kind: Kind}>) => Promise<void> | void};

let paths: Path[] = [];

const handlers: Handlers = {
	async open({targets}) {
		paths = await Promise.all(targets.map(async target => ({target, proxy: await startProxy(target, {ip: ownAddress, backlog}), isRefusing: false})));
		parentPort?.postMessage(paths.map(({proxy}) => proxy.address));
	},
	block({gate}) {
		parentPort?.postMessage('blocking');
		Atomics.wait(gate, 0, 0);
	},
	refuse({resetsOpen}) {
		for (const path of paths) {
			path.isRefusing = true;
			path.proxy.refuseNew();
			if (resetsOpen) {
				path.proxy.reset();
			}
		}

		parentPort?.postMessage('refusing');
	},
	async heal() {
		for (const path of paths.filter(({isRefusing}) => isRefusing)) {
			const {port} = splitAddress(path.proxy.address);
			path.proxy = await startProxy(path.target, {ip: ownAddress, port, backlog});
			path.isRefusing = false;
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
