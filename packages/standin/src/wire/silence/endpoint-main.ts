/** One endpoint of a plain service as a process of its own, so that it can be stopped and woken. Written from the platform's pages. */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {jitter, seedRandom} from '@gatehead/policy/utils/random';
import {readBody} from '../../utils/http.js';
import {type EndpointEvent, type EndpointParts} from './endpoint-process.js';

const parts = JSON.parse(process.argv[2] ?? '{}') as EndpointParts; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- written by the parent process
const random = seedRandom(parts.seed);
const spread = 0.15;
const millisecondsPerSecond = 1000;
/** Deadline of a request that states none, in milliseconds. */
const longestMs = 60_000;
/** Time before its deadline at which a late rejection leaves, in milliseconds. */
const lateRejectionMs = 15;

type Exchange = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly id: string;
	readonly connection: number;
	readonly deadlineAt: number;
	isGone: boolean;
};

const queue: Exchange[] = [];
let running = 0;
let connections = 0;
const open = new Set<Socket>();
const numbers = new WeakMap<Socket, number>();
/** The last response of each connection that is sent there once more. */
const surplus = new WeakMap<Socket, string>();

function report(event: EndpointEvent): void {
	process.send?.(event);
}

function note(kind: 'arrived' | 'began' | 'ended', {id, connection}: Exchange, status = 0): void {
	report({
		kind, id, endpoint: parts.id, connection, status, at: Date.now(),
	});
}

function respond(exchange: Exchange, status: number, headers: Readonly<Record<string, string>>): void {
	const {request: {socket}, response, id} = exchange;
	note('ended', exchange, status);
	if (exchange.isGone) {
		return;
	}

	const body = `${status} of ${id}`;
	const all = {...headers, 'Request-Id': id, 'Content-Length': String(body.length)};
	const earlier = surplus.get(socket);
	if (earlier !== undefined) {
		surplus.delete(socket);
		socket.write(earlier);
	}

	if (random.next() < parts.bareHeadShare) {
		socket.end(`HTTP/1.1 ${status} Status\r\nRequest-Id: ${id}\r\n${headers['Server-Seal'] === undefined ? '' : 'Server-Seal: seal\r\n'}\r\n`);
		return;
	}

	if (random.next() < parts.surplusShare) {
		const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
		surplus.set(socket, `HTTP/1.1 ${status} Again\r\n${lines.join('')}\r\n${body}`);
	}

	if (random.next() < parts.closingShare) {
		response.setHeader('Connection', 'close');
	}

	response.writeHead(status, all);
	response.end(body);
}

function reject(exchange: Exchange): void {
	respond(exchange, 503, {'Not-Executed': '1'});
}

/** The deadline ends the work with the endpoint's own 504. */
async function run(exchange: Exchange): Promise<void> {
	running += 1;
	note('began', exchange);
	const workMs = jitter(random, parts.workMs, spread);
	const leftMs = exchange.deadlineAt - performance.now();
	await pause(Math.min(workMs, Math.max(0, leftMs)));
	running -= 1;
	const isLate = performance.now() >= exchange.deadlineAt;
	respond(exchange, isLate ? 504 : 200, {'Server-Seal': 'seal'});
	beginNext();
}

function beginNext(): void {
	while (running < parts.slots) {
		const exchange = queue.shift();
		if (exchange === undefined) {
			return;
		}

		if (exchange.isGone) {
			note('ended', exchange);
		} else if (performance.now() >= exchange.deadlineAt) {
			reject(exchange);
		} else {
			void run(exchange);
		}
	}
}

/** Ends the wait of a request in the queue at its deadline, or shortly before it. */
function expire(exchange: Exchange, earlyMs: number): void {
	setTimeout(() => {
		const place = queue.indexOf(exchange);
		if (place !== -1) {
			queue.splice(place, 1);
			reject(exchange);
		}
	}, exchange.deadlineAt - performance.now() - earlyMs);
}

function serve(exchange: Exchange): void {
	if (queue.length >= parts.queue) {
		reject(exchange);
		return;
	}

	if (random.next() < parts.lateRejectionShare) {
		setTimeout(() => {
			reject(exchange);
		}, exchange.deadlineAt - performance.now() - lateRejectionMs);
		return;
	}

	queue.push(exchange);
	expire(exchange, 0);
	beginNext();
}

async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
	const {headers, socket} = request;
	const exchange: Exchange = {
		request, response, id: String(headers['request-id'] ?? ''), connection: numbers.get(socket) ?? 0, deadlineAt: performance.now() + Number(headers['deadline-ms'] ?? longestMs), isGone: false,
	};
	response.once('close', () => {
		exchange.isGone = !response.writableFinished;
	});
	note('arrived', exchange);
	if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== parts.id) {
		respond(exchange, 421, {'Not-Executed': '1', 'Replica-Id': parts.id});
		request.resume();
		return;
	}

	if (parts.shedsBeforeBody && (queue.length >= parts.queue || random.next() < parts.rejectedShare)) {
		reject(exchange);
		request.resume();
		return;
	}

	try {
		await readBody(request);
	} catch {
		note('ended', exchange);
		return;
	}

	if (random.next() < parts.rejectedShare) {
		reject(exchange);
	} else {
		serve(exchange);
	}
}

const server = createServer({keepAliveTimeout: parts.idleS * millisecondsPerSecond}, (request, response) => {
	if (request.method === 'GET' && request.url === '/health') {
		response.writeHead(200, {'Replica-Id': parts.id});
		response.end();
		return;
	}

	void handle(request, response);
});
server.on('connection', socket => {
	connections += 1;
	numbers.set(socket, connections);
	open.add(socket);
	socket.once('close', () => {
		open.delete(socket);
	});
	if (open.size > parts.mostConnections) {
		socket.resetAndDestroy();
	}
});
server.on('clientError', (error, socket) => {
	socket.destroy(error);
});
server.listen({host: '127.0.0.1', port: 0, backlog: parts.backlog}, () => {
	const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server's address is no string
	report({kind: 'listening', address: `127.0.0.1:${port}`});
});
// The parent process has ended
process.once('disconnect', () => {
	process.exit();
});
