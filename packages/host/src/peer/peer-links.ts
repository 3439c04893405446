/**
 * Links between hosts: one long-lived bidirectional gRPC stream per pair,
 * opened by whichever sends first. Messages sent in the same turn of the
 * event loop are batched. Efficiency: a link may lose messages at any time.
 */
import {Buffer} from 'node:buffer';
import {readFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {
	type Client, connectivityState, credentials, makeGenericClientConstructor, Server, ServerCredentials, type ClientDuplexStream, type ServerDuplexStream, type ServiceDefinition,
} from '@grpc/grpc-js';
import {pack, unpack} from 'msgpackr';
import {describeFaults} from '@gatehead/schema/check';
import {type Owner} from '@gatehead/schema/engine-protocol';
import {fail} from '@gatehead/schema/failure';
import {type PeerMessageOf} from '@gatehead/schema/peer-message';
import {type z} from 'zod';
import {listenAt} from '../utils/listen.js';
import {isWithinBounds} from './message-size.js';
import {type PeerContext} from './peer-context.js';

const keepaliveMs = 10_000;
/** Time in milliseconds to wait for a keepalive acknowledgement; far above the latency between halls. An idle link is closed if none arrives. */
const keepaliveTimeoutMs = 1000;
/** Minimum age in milliseconds at which `resetLink` closes a link, so that a new link has time to receive an answer. */
const minLinkAgeMs = 1000;
/** Maximum faults of a message in one log line. */
const maxLoggedFaults = 3;
const linkPath = '/gatehead.Peer/Link';

/** A batch of messages in MessagePack encoding; encoded before gRPC serialization so that its size can be counted. */
type Packed = Uint8Array;
type Duplex = ClientDuplexStream<Packed, unknown> | ServerDuplexStream<unknown, Packed>;

function unpackBatch(bytes: Uint8Array): unknown {
	if (!isWithinBounds(bytes)) {
		throw new Error('batch exceeds the bounds of its values');
	}

	return unpack(bytes);
}

const service = {
	link: {
		path: linkPath,
		requestStream: true,
		responseStream: true,
		requestSerialize: (packed: Packed) => Buffer.from(packed),
		requestDeserialize: unpackBatch,
		responseSerialize: (packed: Packed) => Buffer.from(packed),
		responseDeserialize: unpackBatch,
	},
} satisfies ServiceDefinition;

/** First message on every link: identifies the sender. */
type Hello = PeerMessageOf<'hello'>;

type BaseMessage = {readonly kind: string};

function isHello(message: BaseMessage): message is Hello {
	return message.kind === 'hello';
}

/** Receives the events of the links. */
export type LinkListener<Message extends BaseMessage> = {
	onMessage(from: Owner, message: Message): void;
	/** Called when a link breaks; `isRefused` if the peer's address refused the connection. */
	onLost(host: string, isRefused: boolean): void;
	/** This host's member record, sent first on every link. */
	localRecord(): Hello['record'];
	/** Peer address of a host, if known. */
	addressOf(host: string): string | undefined;
};

type Link<Message> = {
	readonly host: string;
	readonly stream: Duplex;
	/** Time of opening on this host's clock, in milliseconds. */
	readonly openedAt: number;
	readonly close: () => void;
	pending: Array<Hello | Message>;
	isFlushing: boolean;
};

/** All links of one process. */
export class PeerLinks<Message extends BaseMessage> {
	/** Hosts whose messages are dropped in both directions, to simulate partitions in tests. */
	readonly blocked = new Set<string>();
	readonly #context: PeerContext;
	readonly #schema: z.ZodType<Message[]>;
	readonly #listener: LinkListener<Message>;
	readonly #links = new Map<string, Link<Message>>();
	readonly #server: Server;
	readonly #acceptor = createServer();
	readonly #clients = new Map<string, Client>();
	/** Streams that this host opened, including those that no link uses: if two hosts connect to each other at once, each may send over the stream of the other. */
	readonly #openedStreams = new Set<ClientDuplexStream<Packed, unknown>>();
	#isClosed = false;

	/** `schema` validates received batches and must accept the hello message. */
	constructor(context: PeerContext, schema: z.ZodType<Message[]>, listener: LinkListener<Message>) {
		this.#context = context;
		this.#schema = schema;
		this.#listener = listener;
		this.#server = new Server({'grpc.max_receive_message_length': context.settings.limits.peerMessageBytes});
		this.#server.addService(service, {
			link: (stream: ServerDuplexStream<unknown, Packed>) => {
				this.#accept(stream);
			},
		});
	}

	/** Starts listening; resolves with the bound address, rejects with `addressInUse`. */
	async listen(): Promise<string> {
		// The gRPC server handles no errors of a listener of its own
		const injector = this.#server.createConnectionInjector(this.#serverCredentials());
		this.#acceptor.on('connection', socket => {
			injector.injectConnection(socket);
		});
		return listenAt(this.#acceptor, this.#context.settings.listen.peer, this.#context);
	}

	/** Sends a message to a host, or asynchronously to this process itself. Delivery is not guaranteed. */
	send(host: string, message: Message): void {
		if (this.#isClosed || this.blocked.has(host)) {
			return;
		}

		const {self} = this.#context;
		if (host === self.host) {
			setImmediate(() => {
				if (!this.#isClosed) {
					this.#listener.onMessage(self, message);
				}
			});
			return;
		}

		const link = this.#links.get(host) ?? this.#dial(host);
		if (link === undefined) {
			return;
		}

		link.pending.push(message);
		if (!link.isFlushing) {
			link.isFlushing = true;
			setImmediate(() => {
				this.#flush(link);
			});
		}
	}

	/** Opens a link to an address whose host is not known yet, such as a seed. */
	contact(address: string): void {
		this.#dropConnectingClient(address);
		const link = this.#open('', address);
		this.#flush(link);
	}

	/** Closes a link on which an answer is overdue, unless it is newer than `minLinkAgeMs`; the next message opens a new connection. */
	resetLink(host: string): void {
		const {clock, counters, log} = this.#context;
		const link = this.#links.get(host);
		if (this.#isClosed || (link !== undefined && clock.now() - link.openedAt < minLinkAgeMs)) {
			return;
		}

		this.#links.delete(host);
		const address = this.#listener.addressOf(host) ?? '';
		this.#clients.get(address)?.close();
		this.#clients.delete(address);
		if (link !== undefined) {
			link.close();
			counters.count('linksRenewed');
			log('linkRenewed', {peer: host, ageMs: Math.round(clock.now() - link.openedAt)});
		}
	}

	/** Closes the server and all links. */
	close(): void {
		this.#isClosed = true;
		// First, so that peers that reconnect because a link ends are refused and know that this host is gone
		this.#acceptor.close();
		this.#server.forceShutdown();
		for (const {close} of this.#links.values()) {
			close();
		}

		// Closing a client leaves its streams open
		for (const stream of this.#openedStreams) {
			stream.cancel();
		}

		for (const client of this.#clients.values()) {
			client.close();
		}
	}

	/** Drops a client that is still connecting: its SYN may be lost, and the kernel retransmits it only after a second. */
	#dropConnectingClient(address: string): void {
		const client = this.#clients.get(address);
		if (client?.getChannel().getConnectivityState(false) === connectivityState.CONNECTING) {
			client.close();
			this.#clients.delete(address);
		}
	}

	#flush(link: Link<Message>): void {
		link.isFlushing = false;
		const batch = link.pending;
		link.pending = [];
		if (this.#isClosed || batch.length === 0) {
			return;
		}

		const packed = pack(batch);
		this.#context.counters.count('peerMessages', undefined, batch.length);
		this.#context.counters.count('peerBytes', undefined, packed.length);
		link.stream.write(packed);
	}

	#dial(host: string): Link<Message> | undefined {
		const address = this.#listener.addressOf(host);
		return address === undefined || address === '' ? undefined : this.#open(host, address);
	}

	#open(host: string, address: string): Link<Message> {
		const client = this.#getClient(address);
		const stream = client.makeBidiStreamRequest(linkPath, service.link.requestSerialize, service.link.responseDeserialize);
		this.#openedStreams.add(stream);
		stream.once('status', () => {
			this.#openedStreams.delete(stream);
		});
		const link: Link<Message> = {
			host, stream, openedAt: this.#context.clock.now(), close() {
				stream.cancel();
			}, pending: [this.#hello()], isFlushing: false,
		};
		if (host !== '') {
			this.#links.set(host, link);
		}

		this.#receive(link, stream);
		return link;
	}

	#accept(stream: ServerDuplexStream<unknown, Packed>): void {
		const link: Link<Message> = {
			host: '', stream, openedAt: this.#context.clock.now(), close() {
				stream.end();
			}, pending: [], isFlushing: false,
		};
		this.#receive(link, stream);
	}

	#hello(): Hello {
		return {kind: 'hello', from: this.#context.self, record: this.#listener.localRecord()};
	}

	/** Receives batches; the first message identifies the sender. */
	#receive(opened: Link<Message>, stream: Duplex): void {
		let from: Owner | undefined;
		let link = opened;
		stream.on('data', (data: unknown) => {
			const messages = this.#parseBatch(data);
			if (messages === undefined || (from === undefined && !messages.some(message => isHello(message)))) {
				this.#context.log('peerRefused', {detail: 'batch does not match the schema'});
				link.close();
				return;
			}

			for (const message of messages) {
				if (isHello(message)) {
					from = message.from;
					link = this.#register(link, from.host);
				}

				if (from !== undefined && !this.blocked.has(from.host) && !this.#isClosed) {
					this.#listener.onMessage(from, message);
				}
			}
		});
		const handleLoss = (isRefused: boolean) => {
			if (this.#links.get(link.host)?.stream === stream) {
				this.#links.delete(link.host);
				if (!this.#isClosed) {
					this.#listener.onLost(link.host, isRefused);
				}
			}
		};

		stream.on('error', (error: Error) => {
			handleLoss(error.message.includes('ECONNREFUSED'));
		});
		stream.on('end', () => {
			stream.end();
			handleLoss(false);
		});
		stream.on('cancelled', () => {
			handleLoss(false);
		});
	}

	/** Returns the valid messages of a batch, or undefined if it is no batch. An invalid message, such as one of a later version, keeps none of the others from being received. */
	#parseBatch(data: unknown): Message[] | undefined {
		const {success, data: messages} = this.#schema.safeParse(data);
		if (success) {
			return messages;
		}

		return Array.isArray(data) ? data.flatMap(message => this.#parseMessage(message)) : undefined;
	}

	/** Returns a message as a list of one, or an empty list if it is invalid. */
	#parseMessage(message: unknown): Message[] {
		const batch = [message];
		const {data, error} = this.#schema.safeParse(batch);
		if (error !== undefined) {
			this.#context.log('peerRefused', {detail: `message does not match the schema: ${describeFaults(error, batch).slice(0, maxLoggedFaults).join('; ')}`});
		}

		return data ?? [];
	}

	/** Names a link after its peer's hello, so that it serves both directions, and replies with a hello. */
	#register(link: Link<Message>, host: string): Link<Message> {
		if (link.host !== '') {
			return link;
		}

		const named: Link<Message> = {...link, host};
		this.#links.set(host, named);
		named.stream.write(pack([this.#hello()]));
		return named;
	}

	#getClient(address: string): Client {
		let client = this.#clients.get(address);
		if (client === undefined) {
			const Generic = makeGenericClientConstructor(service, 'Peer');
			client = new Generic(address, this.#clientCredentials(), {
				'grpc.max_receive_message_length': this.#context.settings.limits.peerMessageBytes,
				'grpc.keepalive_time_ms': keepaliveMs,
				'grpc.keepalive_timeout_ms': keepaliveTimeoutMs,
				// A new client must not reuse the dead connection of an earlier one
				'grpc.use_local_subchannel_pool': 1,
				'grpc.initial_reconnect_backoff_ms': 100,
				'grpc.max_reconnect_backoff_ms': 1000,
				'grpc.enable_retries': 0,
			});
			this.#clients.set(address, client);
		}

		return client;
	}

	#readTls() {
		const {tls} = this.#context.settings.keys;
		if (tls === undefined) {
			return undefined;
		}

		try {
			return {ca: readFileSync(tls.ca), certificate: readFileSync(tls.certificate), key: readFileSync(tls.key)};
		} catch (error) {
			return fail('fileUnreadable', {cause: error, detail: 'keys.tls'});
		}
	}

	#serverCredentials(): ServerCredentials {
		const tls = this.#readTls();
		return tls === undefined ? ServerCredentials.createInsecure() : ServerCredentials.createSsl(tls.ca, [{private_key: tls.key, cert_chain: tls.certificate}], true);
	}

	#clientCredentials() {
		const tls = this.#readTls();
		return tls === undefined ? credentials.createInsecure() : credentials.createSsl(tls.ca, tls.key, tls.certificate);
	}
}
