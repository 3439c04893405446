/* eslint-disable no-await-in-loop, @stylistic/max-len -- steps of a case follow each other; lines of a record are long */
/**
 * A small deployment for the cases of this review: the users' store as a
 * stand-in in this process, replicas as processes of their own (replica-2.mjs),
 * and hosts as the deploy file starts them. Written from the users' pages. All
 * addresses are loopback addresses; files go to a temporary folder and to the
 * case's record.
 */
import {Buffer} from 'node:buffer';
import {fork, spawn} from 'node:child_process';
import {
	createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer, get as httpGet, request as httpRequest} from 'node:http';
import {createServer as createNetServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const names = JSON.parse(readFileSync(new URL('names-2.json', import.meta.url), 'utf8'));
const root = fileURLToPath(new URL('../', import.meta.url));
/** Time that a case may take, in milliseconds; less than the 120 s that it is given. */
const maxCaseMs = 112_000;

export {setTimeout as pause} from 'node:timers/promises';
export const isTroubled = process.env.TROUBLE !== '0';
export const {headers: headerNames} = names;
/** The limits of the pages that the cases use. */
export const bounds = {
	seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxSkewMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 56, recoveryS: 12, transitMs: 120, retryAfterS: 6.9, enforceFencing: false, leaseMs: 3000, thawMs: 300, ttl_max_s: 5, // eslint-disable-line camelcase -- the pages' name
};
/** Machines of two small sites. */
export const sites = {
	cbn: {
		region: 'nordeste', zones: ['fortaleza-hall', 'natal-hall', 'recife-hall'], memoryMb: 350, extraBounds: {},
	},
	emvg: {
		region: 'cuyo', zones: ['centro', 'godoy', 'lujan'], memoryMb: 200, extraBounds: {budgetSlack: 58, retryAfterS: 5.7},
	},
};
/** Time between two writes of a replica's entry, in milliseconds. */
export const heartbeatMs = 1200;

function sendJson(response, status, value, era) {
	const body = JSON.stringify(value);
	response.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body), 'Store-Era': era}).end(body);
}

/** The platform's store. */
class Store {
	era = 1;
	#revision = 0;
	#items = new Map();
	#history = [];
	#watches = new Set();
	#server = createServer((request, response) => {
		this.#handle(new URL(request.url ?? '/', 'http://store'), response);
	});

	async listen(ip) {
		await new Promise(resolve => {
			this.#server.listen(0, ip, resolve);
		});
		this.address = `${ip}:${this.#server.address().port}`;
	}

	put(key, value) {
		this.putBytes(key, JSON.stringify(value));
	}

	putBytes(key, text) {
		this.#revision += 1;
		const item = {
			key, value: Buffer.from(text).toString('base64'), revision: this.#revision, createRev: this.#items.get(key)?.createRev ?? this.#revision, lease: 0,
		};
		this.#items.set(key, item);
		this.#publish(item);
	}

	remove(key) {
		if (this.#items.delete(key)) {
			this.#revision += 1;
			this.#publish({key, revision: this.#revision, tombstone: true});
		}
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#publish(event) {
		this.#history.push(event);
		for (const watch of this.#watches) {
			this.#answer(watch);
		}
	}

	#answer(watch) {
		const events = this.#history.filter(({key, revision}) => revision > watch.after && key.startsWith(watch.prefix));
		if (events.length === 0) {
			return false;
		}

		this.#watches.delete(watch);
		sendJson(watch.response, 200, {events, asOf: this.#revision}, this.era);
		return true;
	}

	#handle({pathname, searchParams}, response) {
		const prefix = searchParams.get('pathPrefix') ?? '';
		if (pathname === names.calls.range) {
			const after = searchParams.get('after') ?? '';
			const items = [...this.#items.values()].filter(({key}) => key.startsWith(prefix) && key > after).toSorted((left, right) => left.key < right.key ? -1 : 1);
			sendJson(response, 200, {items, hasMore: false, asOf: this.#revision}, this.era);
			return;
		}

		if (pathname === names.calls.key) {
			const item = this.#items.get(searchParams.get('key') ?? '');
			sendJson(response, item === undefined ? 404 : 200, {...item, asOf: this.#revision}, this.era);
			return;
		}

		const watch = {prefix, after: Number(searchParams.get('after')), response};
		if (watch.after > this.#revision) {
			sendJson(response, 410, {}, this.era);
			return;
		}

		if (!this.#answer(watch)) {
			this.#watches.add(watch);
			const timer = setTimeout(() => {
				if (this.#watches.delete(watch)) {
					sendJson(response, 200, {events: [], asOf: this.#revision}, this.era);
				}
			}, Number(searchParams.get('waitMs')));
			response.once('close', () => {
				clearTimeout(timer);
				this.#watches.delete(watch);
			});
		}
	}
}

async function findPort(ip) {
	return new Promise((resolve, reject) => {
		const server = createNetServer();
		server.once('error', reject);
		server.listen(0, ip, () => {
			const {port} = server.address();
			server.close(() => {
				resolve(port);
			});
		});
	});
}

/** A deployment and the record of what happens in it. */
export class Bed {
	store = new Store();
	/** What replicas told: arrivals, runs, ends of answers, orders. */
	events = [];
	replicas = new Map();
	hosts = [];
	#folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	#lines = [];
	#startedAt = Date.now();
	#record;
	#beats = [];
	#net = `127.${10 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
	#isClosed = false;

	/** `folder`: of the case. */
	constructor(folder) {
		this.#record = path.join(folder, 'record.txt');
		setTimeout(() => {
			this.note('the case took too long');
			this.finish(2);
		}, maxCaseMs).unref();
	}

	/** Writes a line to the record. */
	note(text) {
		this.#lines.push(`${((Date.now() - this.#startedAt) / 1000).toFixed(3)} ${text}`);
	}

	async startStore() {
		await this.store.listen(`${this.#net}.1`);
	}

	/** Starts a replica; its entry is written at once and about every `heartbeatMs`. */
	async startReplica(settings) {
		const child = fork(fileURLToPath(new URL('replica-2.mjs', import.meta.url)), [JSON.stringify({...settings, ip: `${this.#net}.2`})], {stdio: ['ignore', 'inherit', 'inherit', 'ipc']});
		const replica = {
			...settings, child, state: 'ready', isListed: true, isEnded: false, address: '', callSeq: 0,
		};
		this.replicas.set(settings.id, replica);
		await new Promise((resolve, reject) => {
			child.once('exit', () => {
				replica.isEnded = true;
				reject(new Error('a replica has ended'));
			});
			child.on('message', event => {
				if (event.kind === 'listening') {
					replica.address = event.address;
					replica.born = event.born;
					resolve();
					return;
				}

				if (event.kind === 'stage') {
					replica.stage = event.stage;
					this.publish(replica);
				}

				this.events.push(event);
				this.note(`replica ${event.replica}: ${event.kind} ${event.request ?? JSON.stringify(event)}`);
			});
		});
		this.publish(replica);
		this.#beats.push(setInterval(() => {
			this.publish(replica);
		}, heartbeatMs));
		return replica;
	}

	entryOf({born, service, address, zone = 'natal-hall', slots = 6, state, stage, version = 'v1', callSeq}) {
		return {
			born, service, address, zone, version, slots, state, coldRemainingMs: 0, callSeq, ...(stage === undefined ? {} : {stage}),
		};
	}

	/** Writes a replica's entry, as the replica does. */
	publish(replica) {
		if (replica.isListed && !replica.isEnded) {
			replica.callSeq += 1;
			this.store.put(`servers/${replica.id}`, this.entryOf(replica));
		}
	}

	/** A replica says in the store that it leaves. */
	drain(replica) {
		replica.state = 'draining';
		this.publish(replica);
		this.note(`replica ${replica.id}: says draining; the store has taken it`);
		return Date.now();
	}

	/** A replica ends, and its entry goes. */
	async endReplica(replica) {
		this.note(`replica ${replica.id}: ends`);
		const ended = new Promise(resolve => {
			replica.child.once('exit', resolve);
		});
		replica.child.send({end: true});
		await ended;
		replica.isEnded = true;
		this.store.remove(`servers/${replica.id}`);
	}

	/** Starts hosts with the command of the deploy file. */
	async startHosts(count, {region, zones, memoryMb, extraBounds} = sites.cbn) {
		const addresses = [];
		for (let index = 0; index < count; index += 1) {
			const ip = `${this.#net}.${10 + index}`;
			const ports = [];
			while (ports.length < 5) {
				const port = await findPort(ip);
				if (!ports.includes(port)) {
					ports.push(port);
				}
			}

			addresses.push({ip, ports});
		}

		const seeds = addresses.slice(0, 3).map(({ip, ports}) => `${ip}:${ports[2]}`);
		const command = /^run = "(?<command>.*)"$/mv.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8'))?.groups?.command ?? '';
		for (const [index, {ip, ports}] of addresses.entries()) {
			const [front, ready, control, directory, internal] = ports;
			const zone = zones[index % zones.length];
			const settings = {
				nodeName: `front-${zone}-${index + 1}`, role: 'gatehead', machineClass: 'front', serves: ['front', 'control', 'directory'], ip, zone, region, zones: Object.fromEntries(zones.map(each => [each, region])),
				listen: {
					front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${ip}:${control}`, directory: `${ip}:${directory}`,
				},
				internalPorts: [internal, internal], seeds, bootstrap: true, toleranceMember: false,
				limits: {
					cpuShare: 0.675, cpuCores: 1, memoryMb, maxFds: 4100, linkMbps: 1000, diskMb: 0,
				},
				dataDir: null, discovery: 'platform', entry: 'directory', heartbeatMs,
				contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'split', 'stream', 'engine', 'platform'],
				faultTolerance: {machines: 1, zones: 0, regions: 0}, bounds: {...bounds, ...extraBounds},
				platform: {
					address: this.store.address, form: 'read', writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1_048_576, ttlMinMs: 1000,
				},
			};
			const file = path.join(this.#folder, `${settings.nodeName}.json`);
			writeFileSync(file, JSON.stringify(settings));
			const host = {
				name: settings.nodeName, file, settings, front: settings.listen.front, ready: settings.listen.ready, directory: settings.listen.directory, command, starts: 0,
			};
			this.hosts.push(host);
			this.startHost(host);
		}

		await this.until(async () => {
			const areReady = await Promise.all(this.hosts.map(async host => this.isReady(host)));
			return areReady.every(Boolean);
		}, 20_000, 'the hosts are ready');
	}

	/** Starts the process of a host, again if it has ended. */
	startHost(host) {
		const [program, ...words] = host.command.split(' ');
		host.starts += 1;
		if (host.starts > 1) {
			writeFileSync(host.file, JSON.stringify({...host.settings, bootstrap: false}));
		}

		host.log = path.join(this.#folder, `${host.name}-${host.starts}.log`);
		host.process = spawn(program, words, {cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, [names.settingsVariable]: host.file}, stdio: ['ignore', 'pipe', 'inherit']});
		host.process.stdout.pipe(createWriteStream(host.log));
		host.process.once('exit', (code, signal) => {
			if (!this.#isClosed) {
				this.note(`host ${host.name}: process ended (${code ?? signal})`);
			}
		});
		this.note(`host ${host.name}: process started`);
	}

	/** Memory of a host's process, in megabytes. */
	memoryOf(host) {
		try {
			const kilobytes = /^VmRSS:\s+(?<kilobytes>\d+)/mv.exec(readFileSync(`/proc/${host.process.pid}/status`, 'utf8'))?.groups?.kilobytes;
			return Number(kilobytes ?? 0) * 1024 / 1_000_000;
		} catch {
			return 0;
		}
	}

	get net() {
		return this.#net;
	}

	async isReady({ready}) {
		return new Promise(resolve => {
			const call = httpGet(`http://${ready}${names.calls.ready}`, {agent: false}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			call.once('error', () => {
				resolve(false);
			});
		});
	}

	/** Waits until something is so; a case that waits in vain could not run. */
	async until(isSo, maxMs, what) {
		const endsAt = Date.now() + maxMs;
		while (!(await isSo())) {
			if (Date.now() > endsAt) {
				this.note(`waited in vain until ${what}`);
				await this.finish(2);
			}

			await sleep(20);
		}
	}

	/** Sends a request to a host; resolves with what its client sees. */
	async send(host, id, {method = 'POST', route, body = 'question', deadlineMs, extra = {}, onData}) {
		const sentAt = Date.now();
		this.note(`client: ${id} sent to ${host.name}, ${method} ${route}`);
		const [ip, port] = host.front.split(':');
		const answer = await new Promise(resolve => {
			const chunks = [];
			const call = httpRequest({
				host: ip, port, method, path: route, agent: false, headers: {
					Host: 'calls.example', 'Request-Id': id, [headerNames.deadline]: String(deadlineMs), ...extra, ...(method === 'GET' ? {} : {'Content-Length': body.length}),
				},
			});
			const finish = facts => {
				clearTimeout(timer);
				resolve({
					status: 0, headers: {}, body: chunks.join(''), isWhole: false, ...facts,
				});
			};

			const timer = setTimeout(() => {
				finish({isGivenUp: true});
				call.destroy();
			}, deadlineMs + 500);
			call.once('error', error => {
				finish({error: String(error)});
			});
			call.once('response', response => {
				const facts = () => ({status: response.statusCode, headers: response.headers, isWhole: response.complete});
				response.setEncoding('utf8');
				response.on('data', chunk => {
					chunks.push(chunk);
					onData?.(chunk);
				});
				response.once('error', () => {
					finish(facts());
				});
				response.once('close', () => {
					finish(facts());
				});
			});
			call.end(method === 'GET' ? undefined : body);
		});
		this.note(`client: ${id} got ${answer.status}${answer.isWhole ? ', complete' : ', not complete'}, ${answer.body.length} bytes after ${Date.now() - sentAt} ms${answer.error === undefined ? '' : `, ${answer.error}`}`);
		return {
			...answer, id, sentAt, endedAt: Date.now(),
		};
	}

	/** Ends all processes, writes the record, and exits. */
	async finish(code) {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.note(`exit ${code}`);
		for (const beat of this.#beats) {
			clearInterval(beat);
		}

		for (const {child, isEnded} of this.replicas.values()) {
			if (!isEnded) {
				child.kill('SIGKILL');
			}
		}

		for (const host of this.hosts) {
			host.process.kill('SIGKILL');
		}

		this.store.close();
		await sleep(200);
		writeFileSync(this.#record, `${this.#lines.join('\n')}\n`);
		if (process.env.KEEP_LOGS === undefined) {
			rmSync(this.#folder, {recursive: true, force: true});
		} else {
			process.stdout.write(`${this.#folder}\n`);
		}

		process.exit(code); // eslint-disable-line unicorn/no-process-exit -- its code is the result of the case
	}
}

/** Times of the routes, as on a small deployment. */
const call = {timeoutMs: 8000, targetLatencyMs: 386};
const stream = {timeoutMs: 14_000, targetLatencyMs: 900, gapTargetMs: 300};

/** A configuration with streams and calls of all kinds. */
export function makeConfig(version, {routes = [], services = [], ...rest} = {}) {
	const host = 'calls.example';
	return {
		version,
		routes: [
			{
				name: 'brief', host, pathPrefix: '/brief/', kind: 'streaming', service: 'model', maxAttempts: 1, priority: 1, ...stream,
			},
			{
				name: 'summary', host, pathPrefix: '/summary/', kind: 'streaming', service: 'model', maxAttempts: 2, resumable: true, priority: 1, ...stream,
			},
			{
				name: 'pull', host, pathPrefix: '/pull/', kind: 'non_idempotent', service: 'plain', maxAttempts: 1, priority: 2, ...call,
			},
			{
				name: 'status', host, pathPrefix: '/status/', kind: 'idempotent', service: 'plain', maxAttempts: 2, priority: 2, ...call,
			},
			...routes,
		],
		services: [
			{
				name: 'model', healthPath: '/health', maxConns: 370, engine: {
					slots: 64, kvCapacityTokens: 34_221, kvTokenBytes: 35_136, linkMbps: 1_100_000, moves: true, backups: true, stride: 13, most: 12, handleTtlS: 0.5, roleSwitchS: 6, pinMs: 4000, holdMs: 2000, models: [{name: 'm'}],
				},
			},
			{
				name: 'plain', healthPath: '/health', maxConns: 110, protocol: 'h1', tls: false,
			},
			...services,
		],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		...rest,
	};
}
