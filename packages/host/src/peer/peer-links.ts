/**
 * Links between hosts: one long-lived gRPC stream a pair, opened by whoever
 * has something to say first. All that is said in one turn goes as one
 * message. Efficiency: a link may break and lose messages at any time.
 */
import {Buffer} from 'node:buffer';
import {readFileSync} from 'node:fs';
import {
	type Client, connectivityState, credentials, makeGenericClientConstructor, Server, ServerCredentials, type ClientDuplexStream, type ServerDuplexStream, type ServiceDefinition,
} from '@grpc/grpc-js';
import {pack, unpack} from 'msgpackr';
import {splitAddress, joinAddress} from '@gatehead/schema/address';
import {type Owner} from '@gatehead/schema/engine-protocol';
import {fail, Failure} from '@gatehead/schema/failure';
import {type PeerMessageOf} from '@gatehead/schema/peer-message';
import {type z} from 'zod';
import {type PeerContext} from './peer-context.js';

const keepaliveMs = 10_000;
/** Time that a keep-alive gets, in milliseconds: fifty times the way between halls. A link on which nothing is said is given up after both. */
const keepaliveAnswerMs = 1000;
/** Least age of a link that is given up for a new one, in milliseconds: a new one must have had the time to show that it works. */
const leastLinkMs = 1000;
const linkPath = '/gatehead.Peer/Link';

/** A packed list of messages; packed once, so that its size can be counted. */
type Packed = Uint8Array;
type Duplex = ClientDuplexStream<Packed, unknown> | ServerDuplexStream<unknown, Packed>;

const service = {
	link: {
		path: linkPath,
		requestStream: true,
		responseStream: true,
		requestSerialize: (packed: Packed) => Buffer.from(packed),
		requestDeserialize: (bytes: Uint8Array): unknown => unpack(bytes),
		responseSerialize: (packed: Packed) => Buffer.from(packed),
		responseDeserialize: (bytes: Uint8Array): unknown => unpack(bytes),
	},
} satisfies ServiceDefinition;

/** The first words on every link: who speaks. */
type Hello = PeerMessageOf<'hello'>;

/** What a host says besides. */
type Spoken = {readonly kind: string};

function isHello(message: Spoken): message is Hello {
	return message.kind === 'hello';
}

/** Who hears of what happens on the links. */
export type LinkListener<Message extends Spoken> = {
	onMessage(from: Owner, message: Message): void;
	/** A link broke; `isRefused` where the peer's process is not there any more. */
	onLost(host: string, isRefused: boolean): void;
	/** This host's own record, said first on every link. */
	ownRecord(): Hello['record'];
	/** Where a host listens for peers. */
	addressOf(host: string): string | undefined;
};

type Link<Message> = {
	readonly host: string;
	readonly stream: Duplex;
	/** When it was opened, on this host's clock. */
	readonly openedAt: number;
	readonly close: () => void;
	pending: Array<Hello | Message>;
	isFlushing: boolean;
};

/** All links of one process. */
export class PeerLinks<Message extends Spoken> {
	/** Hosts to which nothing gets through, for tests of splits. */
	readonly blocked = new Set<string>();
	readonly #context: PeerContext;
	readonly #schema: z.ZodType<Message[]>;
	readonly #listener: LinkListener<Message>;
	readonly #links = new Map<string, Link<Message>>();
	readonly #server: Server;
	readonly #clients = new Map<string, Client>();
	#isClosed = false;

	/** `schema` checks what arrives: a list of messages, the hello among them. */
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

	/** Starts to listen; resolves with the bound address. */
	async listen(): Promise<string> {
		const {listen: {peer}} = this.#context.settings;
		const port = await new Promise<number>((resolve, reject) => {
			this.#server.bindAsync(peer, this.#serverCredentials(), (error, bound) => {
				if (error === null) {
					resolve(bound);
				} else {
					reject(new Failure('addressInUse', {cause: error, detail: peer}));
				}
			});
		});
		return joinAddress({ip: splitAddress(peer).ip, port});
	}

	/** Says something to a host, or to this process itself. Whether it arrives is not known. */
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

	/** Speaks to an address before the host's name is known, as to the seeds of the settings. */
	greet(address: string): void {
		this.#forgetHanging(address);
		const link = this.#open('', address);
		this.#flush(link);
	}

	/** Gives up a link on which an answer is overdue, unless it is new: it may have died in silence while its host lives, and what is said next goes over a new connection. */
	renew(host: string): void {
		const {clock, counters, log} = this.#context;
		const link = this.#links.get(host);
		if (this.#isClosed || (link !== undefined && clock.now() - link.openedAt < leastLinkMs)) {
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

	/** Closes everything. */
	close(): void {
		this.#isClosed = true;
		for (const {close} of this.#links.values()) {
			close();
		}

		for (const client of this.#clients.values()) {
			client.close();
		}

		this.#server.forceShutdown();
	}

	/** A host without power says nothing to a first packet, which is sent again only after a second: whoever is greeted again gets a new connection. */
	#forgetHanging(address: string): void {
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
		const client = this.#clientOf(address);
		const stream = client.makeBidiStreamRequest(linkPath, service.link.requestSerialize, service.link.responseDeserialize);
		const link: Link<Message> = {
			host, stream, openedAt: this.#context.clock.now(), close() {
				stream.cancel();
			}, pending: [this.#hello()], isFlushing: false,
		};
		if (host !== '') {
			this.#links.set(host, link);
		}

		this.#hear(link, stream);
		return link;
	}

	#accept(stream: ServerDuplexStream<unknown, Packed>): void {
		const link: Link<Message> = {
			host: '', stream, openedAt: this.#context.clock.now(), close() {
				stream.end();
			}, pending: [], isFlushing: false,
		};
		this.#hear(link, stream);
	}

	#hello(): Hello {
		return {kind: 'hello', from: this.#context.self, record: this.#listener.ownRecord()};
	}

	/** Reads batches; the first message says who speaks. */
	#hear(dialed: Link<Message>, stream: Duplex): void {
		let from: Owner | undefined;
		let link = dialed;
		stream.on('data', (data: unknown) => {
			const parsed = this.#schema.safeParse(data);
			if (!parsed.success) {
				this.#context.log('peerRefused', {detail: 'a message that does not fit the schema'});
				link.close();
				return;
			}

			for (const message of parsed.data) {
				if (isHello(message)) {
					from = message.from;
					link = this.#register(link, from.host);
				}

				if (from !== undefined && !this.blocked.has(from.host) && !this.#isClosed) {
					this.#listener.onMessage(from, message);
				}
			}
		});
		const lose = (isRefused: boolean) => {
			if (this.#links.get(link.host)?.stream === stream) {
				this.#links.delete(link.host);
				if (!this.#isClosed) {
					this.#listener.onLost(link.host, isRefused);
				}
			}
		};

		stream.on('error', (error: Error) => {
			lose(error.message.includes('ECONNREFUSED'));
		});
		stream.on('end', () => {
			stream.end();
			lose(false);
		});
		stream.on('cancelled', () => {
			lose(false);
		});
	}

	/** A link that a peer opened serves for answers too; the dialing side hears a hello back. */
	#register(link: Link<Message>, host: string): Link<Message> {
		if (link.host !== '') {
			return link;
		}

		const named: Link<Message> = {...link, host};
		this.#links.set(host, named);
		named.stream.write(pack([this.#hello()]));
		return named;
	}

	#clientOf(address: string): Client {
		let client = this.#clients.get(address);
		if (client === undefined) {
			const Generic = makeGenericClientConstructor(service, 'Peer');
			client = new Generic(address, this.#clientCredentials(), {
				'grpc.max_receive_message_length': this.#context.settings.limits.peerMessageBytes,
				'grpc.keepalive_time_ms': keepaliveMs,
				'grpc.keepalive_timeout_ms': keepaliveAnswerMs,
				// A new client must not find the dead connection of an earlier one
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
