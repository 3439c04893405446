/**
 * Stand-ins for the platform, its replicas and its clients, and control of the
 * project's own processes, for the scripts of this review. Written from the
 * users' pages; every address is a loopback address.
 */
/* eslint-disable no-await-in-loop -- hosts, replicas and requests follow each other on purpose */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {Agent, createServer as createHttpServer, request as httpRequest} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

/** Names that the project keeps out of code outside its adapter and simulators. */
export const wire = JSON.parse(readFileSync(new URL('wire.json', import.meta.url), 'utf8'));
const root = fileURLToPath(new URL('..', import.meta.url));
const headEnd = '\r\n\r\n';
const startTimeoutMs = 15_000;
const pollMs = 20;
const zone = 'a';
const region = 'r';
/** Name that clients ask for; the host of all routes. */
export const hostName = 'calls.example';

/** Milliseconds on the steady clock. */
export function now() {
	return performance.now();
}

/** Modulus and multiplier of the random numbers (Park and Miller). */
const modulus = 2_147_483_647;
const multiplier = 48_271;

/** Repeatable random numbers from 0 to 1. */
export function seedRandom(seed) {
	let state = (seed % (modulus - 1)) + 1;
	return () => {
		state = (state * multiplier) % modulus;
		return state / modulus;
	};
}

/** Writes what was sent, answered and run to `record.txt` in a script's folder. */
export class Record {
	#file;
	#lines = [];

	constructor(folder) {
		this.#file = path.join(folder, 'record.txt');
		writeFileSync(this.#file, '');
	}

	add(line) {
		this.#lines.push(`${now().toFixed(1)} ${line}\n`);
	}

	/** Prints a line and writes it behind all that was recorded. */
	conclude(line) {
		process.stdout.write(`${line}\n`);
		this.#lines.push(`${line}\n`);
		appendFileSync(this.#file, this.#lines.join(''));
		this.#lines = [];
	}
}

/** A part of the loopback network of this run alone; each process gets an address of its own, as its port for figures is fixed. */
const network = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
let lastHost = 0;

function nextAddress() {
	lastHost += 1;
	return `${network}.${lastHost}`;
}

async function listen(server, ip) {
	server.listen(0, ip);
	await once(server, 'listening');
	return `${ip}:${server.address().port}`;
}

async function findPort(ip) {
	const server = createServer();
	const address = await listen(server, ip);
	server.close();
	await once(server, 'close');
	return address;
}

function sendJson(response, status, value) {
	const body = JSON.stringify(value);
	response.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body)});
	response.end(body);
}

/** The platform's store: lists and watches. */
export class Store {
	address = '';
	#server = createHttpServer((request, response) => {
		this.#serve(new URL(request.url, 'http://store'), response);
	});
	#items = new Map();
	#events = [];
	#watches = new Set();
	#revision = 0;

	async start() {
		this.address = await listen(this.#server, nextAddress());
	}

	stop() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	put(key, value) {
		this.#revision += 1;
		const item = {
			key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision: this.#revision, createRev: this.#items.get(key)?.createRev ?? this.#revision, lease: 0,
		};
		this.#items.set(key, item);
		this.#publish(item);
	}

	remove(key) {
		this.#revision += 1;
		this.#items.delete(key);
		this.#publish({key, revision: this.#revision, tombstone: true});
	}

	#publish(event) {
		this.#events.push(event);
		for (const watch of this.#watches) {
			watch();
		}
	}

	#serve(url, response) {
		const prefix = url.searchParams.get('pathPrefix') ?? '';
		if (url.pathname === wire.listPath) {
			const after = url.searchParams.get('after') ?? '';
			const items = [...this.#items.values()].filter(({key}) => key.startsWith(prefix) && key > after);
			sendJson(response, 200, {items, hasMore: false, asOf: this.#revision});
			return;
		}

		this.#watch({prefix, after: Number(url.searchParams.get('after')), waitMs: Number(url.searchParams.get('waitMs'))}, response);
	}

	#watch({prefix, after, waitMs}, response) {
		const answer = mayBeEmpty => {
			const events = this.#events.filter(({key, revision}) => revision > after && key.startsWith(prefix));
			if (events.length > 0 || mayBeEmpty) {
				clearTimeout(timer);
				this.#watches.delete(check);
				sendJson(response, 200, {events, asOf: this.#revision});
			}
		};

		const check = () => {
			answer(false);
		};

		const timer = setTimeout(answer, waitMs, true);
		this.#watches.add(check);
		response.once('close', () => {
			clearTimeout(timer);
			this.#watches.delete(check);
		});
		check();
	}
}

function parseHead(text) {
	const [line, ...fields] = text.split('\r\n');
	const [method, target] = line.split(' ');
	const headers = new Map(fields.map(field => {
		const colon = field.indexOf(':');
		return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()];
	}));
	return {method, target, headers};
}

/** Bytes of an answer with a length. */
function makeAnswer(status, headers, body = '') {
	const fields = Object.entries({...headers, 'Content-Length': Buffer.byteLength(body)}).map(([name, value]) => `${name}: ${value}\r\n`);
	return `HTTP/1.1 ${status} Status\r\n${fields.join('')}\r\n${body}`;
}

/** One connection of a replica, which serves one request at a time. */
class Connection {
	/** Bytes of a surplus answer, which go out where the next answer is due; undefined: none. */
	surplus;
	#socket;
	#replica;
	#received = Buffer.alloc(0);
	#isBusy = false;

	constructor(socket, replica) {
		this.#socket = socket;
		this.#replica = replica;
		socket.setNoDelay(true);
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('data', chunk => {
			this.#received = Buffer.concat([this.#received, chunk]);
			this.#next();
		});
	}

	get isOpen() {
		return !this.#socket.destroyed;
	}

	write(bytes) {
		this.#socket.write(bytes);
	}

	/** Ends the request in hand. */
	release() {
		this.#isBusy = false;
		this.#next();
	}

	#next() {
		const end = this.#received.indexOf(headEnd);
		if (this.#isBusy || end === -1) {
			return;
		}

		const request = parseHead(this.#received.subarray(0, end).toString('latin1'));
		const bodyEnd = end + headEnd.length + Number(request.headers.get('content-length') ?? 0);
		if (this.#received.length < bodyEnd) {
			return;
		}

		const body = this.#received.subarray(end + headEnd.length, bodyEnd).toString('utf8');
		this.#received = this.#received.subarray(bodyEnd);
		this.#isBusy = true;
		if (this.surplus !== undefined) {
			this.write(this.surplus);
			this.surplus = undefined;
		}

		this.#replica.serve({...request, body}, this);
	}
}

/** Listens on an address of its own and hands its connections' requests to `serve` of the replica that extends it. */
class Listener {
	address = '';
	id = `i-${Math.floor(Math.random() * (2 ** 32)).toString(16)}`;
	#sockets = new Set();
	#server = createServer(socket => {
		this.#sockets.add(socket);
		socket.once('close', () => {
			this.#sockets.delete(socket);
		});
		return new Connection(socket, this);
	});

	async start() {
		this.address = await listen(this.#server, nextAddress());
	}

	stop() {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		this.#server.close();
	}
}

/**
 * A replica of a plain service. It works on `slots` requests at once, queues
 * `queue` more and rejects the others with `Not-Executed`. Each of its answers
 * to a request carries the request's id. `spoil` may replace what goes out for
 * an answer, or return undefined.
 */
export class Replica extends Listener {
	/** Requests that it has begun to work on, by id. */
	runs = [];
	rejected = 0;
	#parts;
	#working = 0;
	#waiting = [];

	constructor(parts) {
		super();
		this.#parts = parts;
	}

	/** What it keeps in the store. */
	get entry() {
		const {service, slots} = this.#parts;
		return {
			service, address: this.address, zone, version: 'v1', slots, state: 'ready', coldRemainingMs: 0, callSeq: 0,
		};
	}

	serve({method, target, headers}, connection) {
		const id = headers.get('request-id');
		const call = {
			id, method, target, connection, dueAt: now() + Number(headers.get('deadline-ms') ?? 60_000),
		};
		if (target === '/health') {
			this.#answer(call, makeAnswer(200, {'Replica-Id': this.id}));
			return;
		}

		const expected = headers.get('expect-instance');
		if (expected !== undefined && expected !== this.id) {
			this.#answer(call, makeAnswer(421, {'Request-Id': id, 'Replica-Id': this.id}));
			return;
		}

		if (id === undefined) {
			this.#answer(call, makeAnswer(400, {'Not-Executed': '1'}));
			return;
		}

		if (this.#working < this.#parts.slots) {
			this.#run(call);
		} else if (this.#waiting.length < this.#parts.queue) {
			this.#waiting.push(call);
		} else {
			this.#reject(call);
		}
	}

	#reject(call) {
		this.rejected += 1;
		this.#parts.record.add(`replica ${this.id} rejects ${call.id}`);
		this.#answer(call, makeAnswer(503, {'Request-Id': call.id, 'Not-Executed': '1', 'Keep-Alive': 'timeout=5'}));
	}

	#run(call) {
		this.#working += 1;
		this.runs.push(call.id);
		this.#parts.record.add(`replica ${this.id} runs ${call.id}`);
		const workMs = this.#parts.workMs();
		const leftMs = call.dueAt - now();
		setTimeout(() => {
			this.#working -= 1;
			this.#answer(call, workMs > leftMs
				? makeAnswer(504, {'Request-Id': call.id})
				: makeAnswer(200, {'Request-Id': call.id, [wire.seal]: `seal.${call.id}`, 'Keep-Alive': 'timeout=5'}, `answer to ${call.id}`));
			this.#takeNext();
		}, Math.min(workMs, leftMs));
	}

	/** Begins the next request that waits, without those whose connection has closed or whose deadline has passed. */
	#takeNext() {
		while (this.#waiting.length > 0 && this.#working < this.#parts.slots) {
			const call = this.#waiting.shift();
			if (call.connection.isOpen && call.dueAt > now()) {
				this.#run(call);
			} else if (call.connection.isOpen) {
				this.#reject(call);
			}
		}
	}

	#answer(call, bytes) {
		const {connection} = call;
		connection.write(this.#parts.spoil?.({call, bytes, connection}) ?? bytes);
		connection.release();
	}
}

/** Paces of a model replica: prompt tokens read in a millisecond, and the time of one event of a stream. */
const promptTokensPerMs = 33;
const eventMs = 45;
const handleLifeMs = 500;
const roleSwitchMs = 6000;
const modelSlots = 64;

/**
 * A replica of a model: it reads prompts (`stage` prefill) or makes streams
 * (decode), within `kvTokens` tokens of memory. `handles` holds what all
 * replicas of the model have read and nobody has taken. `publish` writes its
 * entry to the store.
 */
export class ModelReplica extends Listener {
	/** Requests that it has begun to run, by id. */
	runs = [];
	#parts;
	#stage;
	#isSwitching = false;
	#holds = new Map();
	#usedTokens = 0;
	#running = 0;
	#readUntil = 0;
	#calls = {
		[wire.reservationPath]: call => {
			this.#hold(call);
		},
		'/api/hold-drop': ({name, ...call}) => {
			this.#holds.delete(name);
			this.#answerJson(call, 200, {});
		},
		'/api/kv-handle': ({name, ...call}) => {
			this.#parts.handles.delete(name);
			this.#answerJson(call, 200, {});
		},
		'/api/order': call => {
			this.#order(call);
		},
	};

	constructor(parts) {
		super();
		this.#parts = parts;
		this.#stage = parts.stage;
	}

	get entry() {
		const {service} = this.#parts;
		return {
			service, address: this.address, zone, version: 'v1', slots: modelSlots, state: 'ready', coldRemainingMs: 0, stage: this.#stage, models: [{name: 'm', version: 1, adapters: []}], callSeq: 0,
		};
	}

	serve({method, target, headers, body}, connection) {
		const id = headers.get('request-id');
		const call = {
			id, method, target, headers, body, connection,
		};
		const [, api, name, rest] = target.split('/');
		const handle = this.#calls[`/${api}/${name}`];
		if (handle !== undefined) {
			handle({...call, name: rest});
			return;
		}

		if (headers.get('expect-instance') !== this.id || (headers.get('stage') ?? 'decode') !== this.#stage) {
			this.#answerJson(call, 421, {}, {'Replica-Id': this.id});
			return;
		}

		if (this.#isSwitching) {
			this.#reject(call);
		} else if (this.#stage === 'prefill') {
			this.#read(call);
		} else {
			this.#decode(call);
		}
	}

	get #freeTokens() {
		let held = 0;
		for (const [name, {tokens, lapsesAt}] of this.#holds) {
			if (lapsesAt <= now()) {
				this.#holds.delete(name);
			} else {
				held += tokens;
			}
		}

		return this.#running + this.#holds.size < modelSlots ? this.#parts.kvTokens - this.#usedTokens - held : 0;
	}

	#hold(call) {
		const {tokens, ttlMs} = JSON.parse(call.body);
		if (this.#isSwitching || this.#freeTokens < tokens) {
			this.#answerJson(call, 503, {});
			return;
		}

		const hold = Math.floor(Math.random() * (2 ** 48)).toString(16);
		this.#holds.set(hold, {tokens, lapsesAt: now() + ttlMs});
		this.#answerJson(call, 200, {hold});
	}

	#order(call) {
		const {stage} = JSON.parse(call.body);
		if (stage === this.#stage) {
			this.#answerJson(call, 200, {});
			return;
		}

		this.#isSwitching = true;
		setTimeout(() => {
			this.#isSwitching = false;
			this.#stage = stage;
			this.#parts.publish(this);
		}, roleSwitchMs);
		this.#answerJson(call, 202, {});
	}

	#reject(call) {
		this.#parts.record.add(`replica ${this.id} rejects ${call.id}`);
		this.#answerJson(call, 503, {}, {'Not-Executed': '1'});
	}

	/** Reads prompts one after the other. */
	#read(call) {
		const tokens = Number(call.headers.get('token-counts').split(',')[0]);
		this.#readUntil = Math.max(now(), this.#readUntil) + (tokens / promptTokensPerMs);
		setTimeout(() => {
			const handle = Math.floor(Math.random() * (2 ** 48)).toString(16);
			this.#parts.handles.set(handle, now() + handleLifeMs);
			this.#answerJson(call, 200, {[wire.prefillResult]: handle, tokens, version: 1});
		}, this.#readUntil - now());
	}

	#decode(call) {
		const [promptTokens, answerTokens] = call.headers.get('token-counts').split(',').map(Number);
		const tokens = promptTokens + answerTokens;
		const handle = call.headers.get('kv-source')?.split('/')[1];
		const hasHandle = handle === undefined || (this.#parts.handles.get(handle) ?? 0) > now();
		this.#parts.handles.delete(handle);
		const isHeld = this.#holds.delete(call.headers.get('kv-hold'));
		if (!hasHandle || (!isHeld && this.#freeTokens < tokens)) {
			this.#reject(call);
			return;
		}

		this.runs.push(call.id);
		this.#parts.record.add(`replica ${this.id} runs ${call.id}`);
		this.#usedTokens += tokens;
		this.#running += 1;
		// A replica reads the prompt itself at half the pace
		setTimeout(() => {
			this.#stream(call, tokens);
		}, handle === undefined ? 2 * promptTokens / promptTokensPerMs : 0);
	}

	#stream(call, tokens) {
		const {connection, id} = call;
		const events = this.#parts.eventCount();
		connection.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\n${wire.seal}: seal.${id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`);
		const writeNext = number => {
			if (number > events || !connection.isOpen) {
				this.#usedTokens -= tokens;
				this.#running -= 1;
				connection.write('0\r\n\r\n');
				connection.release();
				return;
			}

			const event = `id: ${number}\ndata: piece ${number} of ${events} of ${id}\n\n`;
			connection.write(`${event.length.toString(16)}\r\n${event}\r\n`);
			setTimeout(writeNext, eventMs, number + 1);
		};

		writeNext(1);
	}

	/** Answers a call or a prompt; those of requests carry their ids. */
	#answerJson(call, status, value, headers = {}) {
		const {connection, id} = call;
		const bytes = makeAnswer(status, {
			...(id === undefined ? {} : {'Request-Id': id}), 'Content-Type': 'application/json', 'Keep-Alive': 'timeout=5', ...headers,
		}, JSON.stringify(value));
		connection.write(this.#parts.spoil?.({call, bytes, connection}) ?? bytes);
		connection.release();
	}
}

function readDeployCommand() {
	const [, line] = /^run = "(?<line>[^"]+)"$/mv.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8'));
	return line.split(' ');
}

/** A process of the deployment, started with the command of the deploy file. */
export class Host {
	ip = nextAddress();
	front = '';
	#addresses = {};
	#folder;
	#name;
	#child;
	#output = '';

	constructor(name, folder) {
		this.#name = name;
		this.#folder = folder;
	}

	/** Chooses its addresses. */
	async prepare() {
		for (const role of ['front', 'ready', 'control', 'directory']) {
			let address = await findPort(this.ip);
			while (Object.values(this.#addresses).includes(address)) {
				address = await findPort(this.ip);
			}

			this.#addresses[role] = address;
		}

		this.front = this.#addresses.front;
	}

	get control() {
		return this.#addresses.control;
	}

	get directory() {
		return this.#addresses.directory;
	}

	get pid() {
		return this.#child.pid;
	}

	get hasExited() {
		return this.#child.exitCode !== null || this.#child.signalCode !== null;
	}

	/** What the process has written to its standard output and error. */
	get output() {
		return this.#output;
	}

	start({store, seeds}) {
		const file = path.join(this.#folder, `${this.#name}.json`);
		writeFileSync(file, JSON.stringify(makeSettings({
			name: this.#name, ip: this.ip, listen: this.#addresses, seeds, store,
		})));
		const [program, ...options] = readDeployCommand();
		const {PATH, HOME, LANG} = process.env;
		this.#child = spawn(program, options, {
			cwd: root, env: {
				PATH, HOME, LANG, [wire.settingsVariable]: file,
			}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		for (const stream of [this.#child.stdout, this.#child.stderr]) {
			stream.on('data', chunk => {
				this.#output += String(chunk);
			});
		}
	}

	signal(name) {
		this.#child.kill(name);
	}

	async isReady() {
		const {status} = await get(this.#addresses.ready, '/api/ready');
		return status === 200;
	}

	/** Resolves once the process has ended. */
	async exit() {
		if (!this.hasExited) {
			await once(this.#child, 'exit');
		}
	}
}

/** The settings file of a small deployment, as the pages show it. */
function makeSettings({name, ip, listen: addresses, seeds, store}) {
	return {
		nodeName: name,
		role: 'gatehead',
		machineClass: 'front',
		serves: ['front', 'control', 'directory'],
		ip,
		zone,
		region,
		zones: {[zone]: region},
		listen: addresses,
		internalPorts: [7380, 7395],
		seeds,
		bootstrap: true,
		toleranceMember: false,
		limits: {
			cpuShare: 0.675, cpuCores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0,
		},
		dataDir: null,
		discovery: 'platform',
		entry: 'directory',
		heartbeatMs: 1200,
		contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'split', 'stream', 'engine', 'platform'],
		faultTolerance: {machines: 1, zones: 0, regions: 0},
		bounds: {
			seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxSkewMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 56, recoveryS: 12, transitMs: 120, retryAfterS: 6.9, enforceFencing: false, leaseMs: 3000, thawMs: 300, ...Object.fromEntries([['ttl_max_s', 5]]),
		},
		platform: {
			address: store, form: 'read', writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1_048_576, ttlMinMs: 1000,
		},
	};
}

async function get(address, target) {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const call = httpRequest({
			host, port, path: target, agent: false, timeout: 1000,
		});
		call.once('response', response => {
			let body = '';
			response.on('data', chunk => {
				body += String(chunk);
			});
			response.once('end', () => {
				resolve({status: response.statusCode, body});
			});
			response.once('error', () => {
				resolve({status: 0, body: ''});
			});
		});
		call.once('timeout', () => {
			call.destroy();
		});
		call.once('error', () => {
			resolve({status: 0, body: ''});
		});
		call.end();
	});
}

/** Clients of the platform: they ask the hosts where to go and keep connections for many requests. */
export class Clients {
	#hosts;
	#record;
	#random;
	#agents = new Map();
	#addresses = [];
	#timer;
	#sent = 0;

	constructor({hosts, record, random}) {
		this.#hosts = hosts;
		this.#record = record;
		this.#random = random;
	}

	/** Asks where to go, and again whenever the answer has expired. */
	async start() {
		const {ttlS} = await this.#resolve();
		this.#timer = setTimeout(async () => this.start(), ttlS * 1000);
	}

	stop() {
		clearTimeout(this.#timer);
		for (const agent of this.#agents.values()) {
			agent.destroy();
		}
	}

	/** Sends one request; resolves with what came of it. */
	async send({method = 'POST', target, deadlineMs, body = '', headers = {}, address = this.#choose()}) {
		this.#sent += 1;
		const id = `${this.#sent.toString(16).padStart(4, '0')}${Math.floor(this.#random() * (2 ** 48)).toString(16)}`;
		const [host, port] = address.split(':');
		const sentAt = now();
		this.#record.add(`client sends ${id} ${method} ${target} to ${address}`);
		const answer = await new Promise(resolve => {
			const call = httpRequest({
				host, port, method, path: target, agent: this.#agentOf(address), headers: {
					Host: hostName, 'Request-Id': id, [wire.deadline]: String(deadlineMs), ...(method === 'GET' ? {} : {'Content-Length': Buffer.byteLength(body)}), ...headers,
				},
			});
			const timer = setTimeout(() => {
				resolve({status: 0, outcome: 'deadline'});
				call.destroy();
			}, deadlineMs);
			const finish = result => {
				clearTimeout(timer);
				resolve(result);
			};

			call.once('response', response => {
				let text = '';
				response.on('data', chunk => {
					text += String(chunk);
				});
				response.once('end', () => {
					finish({
						status: response.statusCode, outcome: 'answered', body: text, answeredId: response.headers['request-id'],
					});
				});
				response.once('error', () => {
					finish({status: response.statusCode, outcome: 'cut'});
				});
			});
			call.once('error', () => {
				finish({status: 0, outcome: 'closed'});
			});
			call.end(body);
		});
		this.#record.add(`client gets ${id} ${answer.outcome} ${answer.status} after ${(now() - sentAt).toFixed(0)} ms`);
		return {
			id, method, target, address, sentAt, tookMs: now() - sentAt, ...answer,
		};
	}

	#choose() {
		return this.#addresses[Math.floor(this.#random() * this.#addresses.length)];
	}

	#agentOf(address) {
		let agent = this.#agents.get(address);
		if (agent === undefined) {
			agent = new Agent({keepAlive: true, noDelay: true});
			this.#agents.set(address, agent);
		}

		return agent;
	}

	/** Connections to addresses that the answer lacks are used no more. */
	async #resolve() {
		for (const {directory, hasExited} of this.#hosts) {
			const {status, body} = hasExited ? {status: 0} : await get(directory, `/api/resolve?name=${hostName}&region=${region}&zone=${zone}`);
			if (status === 200) {
				const answer = JSON.parse(body);
				this.#addresses = answer.addresses;
				return answer;
			}
		}

		return {ttlS: 1};
	}
}

/** Memory of a model replica, in tokens. */
export const kvTokens = 34_221;

/** The configuration: one route that may be repeated and one that may not, to one plain service, and one of streams where there is a model. */
export function makeConfig({service, timeoutMs, targetLatencyMs, model}) {
	const route = {
		host: hostName, timeoutMs, targetLatencyMs, priority: 2, service, sticky: false, resumable: false,
	};
	return {
		version: 3,
		routes: [
			{
				...route, name: 'r-once', pathPrefix: '/once/', kind: 'non_idempotent', maxAttempts: 1,
			},
			{
				...route, name: 'r-repeatable', pathPrefix: '/repeatable/', kind: 'idempotent', maxAttempts: 2,
			},
			...(model === undefined
				? []
				: [{
					...route, name: 'r-stream', pathPrefix: '/stream/', kind: 'streaming', service: model, maxAttempts: 1, timeoutMs: 14_000, targetLatencyMs: 900, gapTargetMs: 300, priority: 1, sticky: true,
				}]),
		],
		services: [
			{
				name: service, healthPath: '/health', maxConns: 110, protocol: 'h1', tls: false,
			},
			...(model === undefined
				? []
				: [{
					name: model, healthPath: '/health', maxConns: 370, protocol: 'h1', tls: false, engine: {
						slots: modelSlots, kvCapacityTokens: kvTokens, kvTokenBytes: 35_136, linkMbps: 1_100_000, moves: true, backups: true, stride: 13, most: 12, handleTtlS: 0.5, roleSwitchS: 6, pinMs: 4000, holdMs: 2000, models: [{name: 'm'}],
					},
				}]),
		],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
	};
}

/** How many requests ended in which way. */
export function describeOutcomes(answers) {
	const counts = new Map();
	for (const {outcome, status} of answers) {
		const name = `${outcome} ${status}`;
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}

	return [...counts].map(([name, count]) => `${name}: ${count}`).join(', ');
}

/** Starts a small deployment, runs `play` in it and ends all that was started. Resolves with the result of `play`. */
export async function withDeployment({hostCount, replicas, config, record, seed, onStore}, play) {
	const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	const store = new Store();
	const hosts = Array.from({length: hostCount}, (_, index) => new Host(`front-${zone}-${index + 1}`, folder));
	const random = seedRandom(seed);
	const clients = new Clients({hosts, record, random});
	try {
		await store.start();
		store.put('op/config', config);
		for (const replica of replicas) {
			await replica.start();
			store.put(`servers/${replica.id}`, replica.entry);
		}

		onStore?.(store);
		await Promise.all(hosts.map(async host => host.prepare()));
		const seeds = hosts.map(({control}) => control);
		for (const host of hosts) {
			host.start({store: store.address, seeds});
		}

		await untilReady(hosts);
		await clients.start();
		return await play({
			store, hosts, clients, random,
		});
	} finally {
		clients.stop();
		for (const host of hosts) {
			host.signal('SIGKILL');
		}

		await Promise.all(hosts.map(async host => host.exit()));
		for (const [index, host] of hosts.entries()) {
			writeFileSync(path.join(folder, `host-${index + 1}.log`), host.output);
		}

		for (const replica of replicas) {
			replica.stop();
		}

		store.stop();
		if (process.env.KEEP === undefined) {
			rmSync(folder, {recursive: true});
		} else {
			process.stdout.write(`logs in ${folder}\n`);
		}
	}
}

/** Waits until all hosts are ready, then until they know each other. */
async function untilReady(hosts) {
	const startedAt = now();
	for (const host of hosts) {
		while (!(await host.isReady())) {
			if (host.hasExited || now() - startedAt > startTimeoutMs) {
				throw new Error(`a host did not start: ${host.output.slice(-500)}`);
			}

			await pause(pollMs);
		}
	}

	await pause(3000);
}

/** Tells whether a fault that comes in windows is on. `firstMs`: start of the first window; `windowMs`: its length; `everyMs`: time from one start to the next. */
export function makeWindows({firstMs, windowMs, everyMs, count}) {
	let startedAt;
	return {
		start() {
			startedAt = now();
		},
		/** Time since the start, in milliseconds. */
		get elapsedMs() {
			return startedAt === undefined ? 0 : now() - startedAt;
		},
		get isOn() {
			const passedMs = startedAt === undefined ? -1 : now() - startedAt - firstMs;
			return passedMs >= 0 && passedMs < everyMs * count && passedMs % everyMs < windowMs;
		},
	};
}

/** Sends requests at a rate, with exponential pauses, for a time; resolves with what came of each. */
export async function sendOpenLoop({perS, forMs, random, send}) {
	const calls = [];
	const endsAt = now() + forMs;
	let dueAt = now();
	while (dueAt < endsAt) {
		await pause(Math.max(0, dueAt - now()));
		calls.push(send(calls.length));
		dueAt += -Math.log(1 - random()) * 1000 / perS;
	}

	return Promise.all(calls);
}

/** Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(play) {
	try {
		process.exitCode = await play({hasTrouble: process.env.TROUBLE !== '0'}) ? 1 : 0;
	} catch (error) {
		process.stderr.write(`the case could not run: ${error.stack}\n`);
		process.exitCode = 2;
	}
}
