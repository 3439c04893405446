/** Contact with an address whose first connection attempt hangs. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {credentials, makeGenericClientConstructor} from '@grpc/grpc-js';
import {systemClock} from '@gatehead/policy/utils/clock';
import {ignore} from '@gatehead/policy/utils/ignore';
import {systemRandom} from '@gatehead/policy/utils/random';
import {peerBatch, type PeerMessage} from '@gatehead/schema/peer-message';
import {expect} from 'earl';
import {pack, unpack} from 'msgpackr';
import {HybridClock} from '../utils/hybrid-clock.js';
import {Timeline} from '../utils/timeline.js';
import {type PeerContext} from './peer-context.js';
import {PeerLinks} from './peer-links.js';

function makeContext(host: string, peer: string): PeerContext {
	const hybrid = new HybridClock(host, () => 0);
	return {
		settings: {
			listen: {peer}, timing: {tickMs: 700, suspectMs: 2100, lateWakeMs: 1000}, limits: {peerMessageBytes: 1_000_000}, keys: {},
		},
		clock: systemClock,
		random: systemRandom,
		log: ignore,
		counters: {count: ignore},
		hybrid,
		timeline: new Timeline(host, hybrid, 10),
		self: {host, incarnation: 1},
	};
}

function makeListener(peer: string) {
	return {
		onMessage: ignore,
		onLost: ignore,
		localRecord: () => ({
			host: 'sender', hall: 'h', region: 'r', incarnation: 1, counter: 0, state: 'alive' as const, callerAddress: peer, peerAddress: peer, adminAddress: peer, load: 0,
		}),
		addressOf: () => undefined,
	};
}

function makeLinks(host: string, peer: string, onMessage: (from: string) => void) {
	return new PeerLinks(makeContext(host, peer), peerBatch, {
		...makeListener(peer),
		onMessage({host: from}) {
			onMessage(from);
		},
		localRecord: () => ({...makeListener(peer).localRecord(), host}),
	});
}

/** Opens a link by hand. */
function openStream(address: string) {
	const Peer = makeGenericClientConstructor({}, 'Peer');
	const peer = new Peer(address, credentials.createInsecure());
	return {peer, stream: peer.makeBidiStreamRequest('/gatehead.Peer/Link', (bytes: Uint8Array) => Buffer.from(bytes), (bytes: Uint8Array): unknown => unpack(bytes))};
}

/** Test timeout in milliseconds, for a link that is never established. */
const testTimeoutMs = 60_000;
const pollMs = 5;
/** Time in milliseconds for a host to hear that its peer has closed. */
const lossMs = 3000;

describe('PeerLinks', () => {
	it('who is greeted again while the first connection hangs gets a new one', {timeout: testTimeoutMs}, async () => {
		const accepted: Socket[] = [];
		const silent = createServer(socket => {
			accepted.push(socket);
		}).listen(0, '127.0.0.1');
		await once(silent, 'listening');
		const bound = silent.address();
		const address = `127.0.0.1:${typeof bound === 'object' && bound !== null ? bound.port : 0}`;
		const caller = makeLinks('caller', '127.0.0.1:0', ignore);
		caller.contact(address);
		await once(silent, 'connection');
		// Stops accepting; the accepted connection stays open and silent
		silent.close();

		const senders: string[] = [];
		const connected = new Promise<void>(resolve => {
			const receiver = makeLinks('late', address, from => {
				senders.push(from);
				receiver.close();
				resolve();
			});
			void receiver.listen().then(() => {
				caller.contact(address);
			});
		});
		await connected;
		expect(senders).toEqual(['caller']);
		caller.close();
		for (const socket of accepted) {
			socket.destroy();
		}
	});

	// Guards against a message of a later version, or of a host with a fault, that keeps all others from being received
	it('a message that does not match the schema is left out; those beside and behind it are received over the same link', {timeout: testTimeoutMs}, async () => {
		const received: string[] = [];
		const receiver = new PeerLinks(makeContext('receiver', '127.0.0.1:0'), peerBatch, {
			...makeListener('127.0.0.1:0'),
			onMessage(_, {kind}) {
				received.push(kind);
			},
		});
		const address = await receiver.listen();
		const sender = new PeerLinks<PeerMessage | {readonly kind: 'later'}>(makeContext('sender', '127.0.0.1:0'), peerBatch, {...makeListener(address), addressOf: () => address});
		for (const kind of ['later', 'later'] as const) {
			sender.send('receiver', {kind});
			sender.send('receiver', {kind: 'bundleWanted', have: []});
			const count = received.length;
			while (received.length === count) {
				await pause(pollMs);
			}
		}

		expect(received).toEqual(['hello', 'bundleWanted', 'bundleWanted']);
		sender.close();
		receiver.close();
	});

	// Guards against streams that a closed host leaves open, so that its peer goes on sending over one of them
	it('whose peer closes hears of it, although each had opened a link to the other at once', {timeout: testTimeoutMs}, async () => {
		const addresses = new Map<string, string>();
		const heard = new Set<string>();
		const lost: string[] = [];
		const [first, second] = ['first', 'second'].map(name => new PeerLinks(makeContext(name, '127.0.0.1:0'), peerBatch, {
			...makeListener('127.0.0.1:0'),
			onMessage({host}, {kind}) {
				heard.add(`${name} ${kind} ${host}`);
			},
			onLost(host) {
				lost.push(`${name} lost ${host}`);
			},
			addressOf: host => addresses.get(host),
		}));
		if (first === undefined || second === undefined) {
			throw new Error('no links');
		}

		try {
			addresses.set('first', await first.listen());
			addresses.set('second', await second.listen());
			first.send('second', {kind: 'bundleWanted', have: []});
			second.send('first', {kind: 'bundleWanted', have: []});
			while (heard.size < 4) {
				await pause(pollMs);
			}

			first.close();
			const end = systemClock.now() + lossMs;
			while (lost.length === 0 && systemClock.now() < end) {
				await pause(pollMs);
			}

			expect(lost).toEqual(['second lost first']);
		} finally {
			first.close();
			second.close();
		}
	});

	// Guards against a process that ends because it decodes whatever a peer sends
	it('closes a link over which a batch with too many values comes', {timeout: testTimeoutMs}, async () => {
		const received: string[] = [];
		const links = new PeerLinks(makeContext('receiver', '127.0.0.1:0'), peerBatch, {
			...makeListener('127.0.0.1:0'), onMessage({host}) {
				received.push(host);
			},
		});
		const address = await links.listen();
		const {peer, stream} = openStream(address);
		stream.resume();
		const failed = once(stream, 'error');
		stream.write(pack([...Array.from({length: 900_000}, () => []), {kind: 'hello', from: {host: 'other', incarnation: 1}, record: {...makeListener('').localRecord(), host: 'other'}}]));
		try {
			await failed;
			expect(received).toEqual([]);
		} finally {
			peer.close();
			links.close();
		}
	});
});
