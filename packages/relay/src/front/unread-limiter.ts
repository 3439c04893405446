/**
 * Applies the bounds of unread bytes to the responses of this host. Safety:
 * only the connection that the bounds name is closed; its truncated response
 * never looks complete. Watches nothing where load is not managed.
 */
import {incomingLimit} from '@gatehead/policy/relay/incoming-limit';
import {UnreadBudget, type UnreadBound, type UnreadConnection} from '@gatehead/policy/relay/unread-budget';
import {type BaseContext, type RelayContext} from '../core/context.js';
import {type Job} from '../work/job.js';
import {type Reply} from './reply.js';

type UnreadContext = Pick<BaseContext, 'clock' | 'log'> & {
	readonly metrics: Pick<BaseContext['metrics'], 'add'>;
	readonly settings: {readonly limits: Pick<RelayContext['settings']['limits'], 'memoryBytes' | 'unreadTotalBytes'>};
};

/** Job whose response is watched. */
export type WatchedJob = Pick<Job, 'id' | 'reply'> & {
	readonly service: Pick<Job['service'], 'name'>;
	readonly workspace: Pick<NonNullable<Job['workspace']>, 'name'> | undefined;
};

/** A response that is being delivered. */
type Delivery = UnreadConnection & {
	readonly request: string;
	readonly service: string;
	readonly reply: Reply;
};

export type UnreadLimiterOptions = {
	readonly context: UnreadContext;
	readonly isLoadManaged: () => boolean;
};

/** Bounds of unread bytes on one host. */
export class UnreadLimiter {
	readonly #context: UnreadContext;
	readonly #isLoadManaged: () => boolean;
	readonly #budget: UnreadBudget<Delivery>;

	constructor({context, isLoadManaged}: UnreadLimiterOptions) {
		this.#context = context;
		this.#isLoadManaged = isLoadManaged;
		const {memoryBytes, unreadTotalBytes} = context.settings.limits;
		this.#budget = new UnreadBudget(Math.min(unreadTotalBytes, incomingLimit(memoryBytes)));
	}

	/** Unread bytes by service, as of now. */
	get bytesByService(): ReadonlyMap<string, number> {
		return this.#budget.sumBy(({service}) => service, this.#context.clock.now());
	}

	/** Unread bytes of all responses, as of now. */
	get totalBytes(): number {
		let total = 0;
		for (const bytes of this.bytesByService.values()) {
			total += bytes;
		}

		return total;
	}

	/** Watches the response of a job until it is closed. */
	watch({id, reply, service, workspace}: WatchedJob): void {
		if (!this.#isLoadManaged() || !reply.isOpen) {
			return;
		}

		const {clock, metrics} = this.#context;
		const delivery: Delivery = {
			request: id, service: service.name, workspace: workspace?.name, reply, sample: () => reply.sampleUnread(),
		};
		this.#budget.track(delivery, clock.now());
		reply.watch({
			onWritten: () => {
				this.#check(delivery);
			},
			onPaused(isRead) {
				metrics.add('unreadPauses', {outcome: isRead ? 'read' : 'unread'});
			},
			onTooLong: () => {
				const {unreadBytes} = reply.sampleUnread();
				this.#budget.forget(delivery);
				this.#close(delivery, 'connection', unreadBytes);
			},
			onClosed: () => {
				this.#budget.forget(delivery);
			},
		});
	}

	#check(written: Delivery): void {
		const now = this.#context.clock.now();
		this.#budget.note(written, now);
		for (const {connection, bound, unreadBytes} of this.#budget.takeOffenders(now)) {
			this.#close(connection, bound, unreadBytes);
		}
	}

	#close({request, service, workspace, reply}: Delivery, bound: UnreadBound | 'connection', unreadBytes: number): void {
		const {log, metrics} = this.#context;
		metrics.add('unreadClosed', {bound});
		log('callerUnread', {
			request, service, workspace, bound, unreadBytes, totalBytes: this.totalBytes,
		});
		reply.destroy();
	}
}
