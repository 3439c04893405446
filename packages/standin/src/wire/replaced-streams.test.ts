/** Guards against streams that are broken off although their sound run was ended, or left alone, by a host that sought another one. */
import {
	afterEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {
	startForwardingWorld, streamOf, type EndpointCall, type ScriptedWorld,
} from './scripted-world.js';
import {until} from './world.js';

/** Deadline of the callers, in milliseconds. */
const deadlineMs = 15_000;

function chunkOf(text: string): string {
	return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Head of a stream, and its first event after those that the caller has. */
function beginStream({id, socket, headers}: EndpointCall): void {
	const after = Number(headers.get('last-event-id') ?? 0);
	const event = streamOf(id, after).slice(0, streamOf(id, after).length - streamOf(id, after + 1).length);
	socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${chunkOf(event)}`);
}

describe('a stream whose host sought another run', () => {
	let scripted: ScriptedWorld | undefined;

	afterEach(async () => {
		await scripted?.stop();
		scripted = undefined;
	});

	// A search in vain kept the request itself from being forwarded again
	it('is forwarded again when its run is lost after a search that found no other host', async () => {
		const id = 'searched';
		const world = await startForwardingWorld({decode: 2});
		scripted = world;
		const {lines, relays: [entry]} = world.world;
		const {members} = entry!.relay.fleet.membership;
		const listMembers = members.list.bind(members);
		const runs: EndpointCall[] = [];
		world.intercept = (call, kind) => {
			if (kind !== 'run') {
				return false;
			}

			runs.push(call);
			if (runs.length > 1) {
				return false;
			}

			members.list = () => [];
			beginStream(call);
			return true;
		};

		const answer = sendRequest({
			address: world.caller, id, path: '/resumable/1', headers: {'Deadline-Ms': String(deadlineMs)},
		});
		await until(() => lines.some(({code, facts}) => code === 'forwarded' && facts.request === id && facts.outcome === 'unavailable'));
		members.list = listMembers;
		runs[0]?.socket.resetAndDestroy();
		const {status, isWhole, body} = await answer;
		expect({
			status, isWhole, body, runs: runs.length,
		}).toEqual({
			status: 200, isWhole: true, body: streamOf(id), runs: 2,
		});
	});
});
