/* eslint-disable no-await-in-loop, @stylistic/max-len -- steps of a case follow each other; lines of a record are long */
/**
 * A replica as a process of its own, so that it can end as one does: its
 * sockets are closed by the operating system. Written from the users' pages.
 * Settings come as JSON in the first argument; the parent changes them by
 * messages, and hears of what reaches the replica and what it runs.
 */
import {readFileSync} from 'node:fs';
import {createServer} from 'node:http';
import process from 'node:process';

const {headers, fields, calls} = JSON.parse(readFileSync(new URL('names-2.json', import.meta.url), 'utf8'));
const state = {
	workMs: 40, bodyParts: 1, partGapMs: 0, version: 'v1', events: 40, eventGapMs: 30, framing: 'chunks', isLeaving: false, backoffS: undefined, roleSwitchMs: 6000, lostShare: 0, ...JSON.parse(process.argv[2] ?? '{}'),
};
const born = Date.now();
let made = 0;
let orders = 0;
const open = new Map();
/** Tokens in memory by the last part of a prompt: the prompt, and what was made behind it. */
const held = new Map();

function tell(kind, facts = {}) {
	process.send?.({
		kind, replica: state.id, at: Date.now(), ...facts,
	});
}

function sendJson(response, status, value) {
	const body = JSON.stringify(value);
	response.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': body.length}).end(body);
}

async function readAll(request) {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return chunks.join('');
}

async function pause(milliseconds) {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** Writes one part of a body after the other; the process may end meanwhile. */
async function writeParts(response, parts, gapMs, onWritten) {
	let written = 0;
	for (const part of parts) {
		if (written > 0) {
			await pause(gapMs);
		}

		if (response.destroyed) {
			return written;
		}

		response.write(part);
		written += 1;
		onWritten?.(written);
	}

	response.end();
	return written;
}

/** The head of a success; without a length and without chunks, its end is that of the connection. */
function writeHead(response, id, length, type) {
	const head = {'Request-Id': id, [headers.seal]: `seal-${id}`, 'Content-Type': type};
	if (state.framing === 'connection') {
		response.useChunkedEncodingByDefault = false;
		response.shouldKeepAlive = false;
		response.writeHead(200, {...head, Connection: 'close'});
		response.flushHeaders();
	} else if (state.framing === 'length' && length !== undefined) {
		response.writeHead(200, {...head, 'Content-Length': length});
	} else {
		response.writeHead(200, head);
	}
}

async function run(request, response, {id, body}) {
	const [part = '', tokens = '0'] = (request.headers[headers.parts.toLowerCase()] ?? '').split(',').at(-1).split(':');
	const from = Number(request.headers['last-event-id'] ?? 0);
	const progress = {tokens: Number(tokens) + from, events: from};
	open.set(id, progress);
	const note = made => {
		progress.events = from + made;
		progress.tokens = Number(tokens) + from + made;
		if (part !== '') {
			held.set(part, Math.max(held.get(part) ?? 0, progress.tokens));
		}
	};

	tell('run', {
		request: id, target: request.url, bodyBytes: body.length, model: request.headers.model,
	});
	response.once('close', () => {
		open.delete(id);
		tell(response.writableFinished ? 'finished' : 'closed', {request: id});
	});
	if (state.stage === undefined) {
		await pause(state.workMs);
		const parts = Array.from({length: state.bodyParts}, (_, index) => `part ${index + 1} of ${state.bodyParts} for ${id};`.padEnd(Math.ceil(800 / state.bodyParts), '.'));
		writeHead(response, id, parts.join('').length, 'text/plain');
		await writeParts(response, parts, state.partGapMs);
		return;
	}

	const events = Array.from({length: Math.max(0, state.events - from)}, (_, index) => `id: ${from + index + 1}\ndata: piece ${from + index + 1} of ${state.events}, ${state.version}\n\n`);
	await pause(state.workMs);
	if (Math.random() < state.lostShare) {
		// It runs, and its answer is lost
		note(events.length);
		tell('lost', {request: id});
		request.socket.resetAndDestroy();
		return;
	}

	writeHead(response, id, undefined, 'text/event-stream');
	await writeParts(response, events, state.eventGapMs, note);
}

const server = createServer({keepAliveTimeout: 30_000}, async (request, response) => {
	const {pathname} = new URL(request.url ?? '/', 'http://replica');
	const expected = request.headers[headers.expected.toLowerCase()];
	const id = request.headers['request-id'];
	const body = await readAll(request);
	if (state.isLeaving) {
		response.setHeader('Server-Leaving', '1');
	}

	if (expected !== undefined && expected !== state.id) {
		response.setHeader('Not-Executed', '1');
		if (id !== undefined) {
			response.setHeader('Request-Id', id);
		}

		sendJson(response, 421, {});
		return;
	}

	if (pathname === calls.report) {
		sendJson(response, 200, {
			born, stage: state.stage, models: [{name: 'm', version: 1, adapters: []}], busy: false, callSeq: orders, queued: 0, running: open.size, kvUsed: 0, kvTotal: 40_000, handles: 0, runs: [...open].map(([id, {tokens, events}]) => [id, tokens, events, 5]),
		});
		return;
	}

	if (pathname === calls.list) {
		sendJson(response, 200, {
			born, epoch: born, nextPageToken: 1, held: [...held].map(([part, tokens]) => ['', part, tokens, 'm']),
		});
		return;
	}

	if (pathname === calls.hold) {
		made += 1;
		sendJson(response, 200, {hold: `${state.id}-${born}-${made}`});
		return;
	}

	if (pathname.startsWith(calls.holdDrop) || pathname.startsWith(calls.handle)) {
		sendJson(response, 200, {});
		return;
	}

	if (pathname === calls.order) {
		orders += 1;
		const order = JSON.parse(body);
		tell('order', order);
		setTimeout(() => {
			state.stage = order.stage;
			tell('stage', {stage: order.stage});
		}, state.roleSwitchMs);
		sendJson(response, 202, {});
		return;
	}

	if (pathname === '/health') {
		response.setHeader('Replica-Id', state.id);
		sendJson(response, 200, {});
		return;
	}

	if (id === undefined) {
		response.setHeader('Not-Executed', '1');
		sendJson(response, 400, {});
		return;
	}

	tell('arrival', {request: id, prefill: request.headers.stage === 'prefill'});
	response.setHeader('Request-Id', id);
	if (state.backoffS !== undefined) {
		response.setHeader('Not-Executed', '1');
		response.setHeader('Retry-After', String(state.backoffS));
		sendJson(response, 503, {});
		return;
	}

	if (request.headers.stage === 'prefill') {
		await pause(state.workMs);
		made += 1;
		sendJson(response, 200, {[fields.handle]: `${state.id}-${born}-${made}`, tokens: 100, version: 1});
		return;
	}

	await run(request, response, {id, body});
});

process.on('message', message => {
	if (message.end === true) {
		// As a process that ends: the system closes what is open
		process.exit(0);
	}

	Object.assign(state, message);
});
process.on('disconnect', () => {
	process.exit(0);
});
// A sound server reads all fields of a head, however many
server.maxHeadersCount = 0;
server.listen(0, state.ip, () => {
	tell('listening', {address: `${state.ip}:${server.address().port}`, born});
});
