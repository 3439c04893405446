/** Metrics of one process: counters for the administration interface; counters and timings are sent to StatsD. */
import {ignore} from '@gatehead/policy/utils/ignore';
import {StatsD} from 'hot-shots';
import {splitAddress} from '@gatehead/schema/address';

/** Names of the metrics on the wire; docs/METRICS.md is checked against them by a test. */
export const metricNames = {
	accepted: 'requests.accepted',
	refused: 'requests.refused',
	cancelled: 'requests.cancelled',
	goodputMet: 'goodput.met',
	goodputMissed: 'goodput.missed',
	prefillStarted: 'prefill.started',
	prefillUsed: 'prefill.used',
	prefillWasted: 'prefill.wasted',
	unknown: 'outcomes.unknown',
	attempts: 'attempts.started',
	resumed: 'streams.resumed',
	orphans: 'streams.orphans_cancelled',
	cancelsSent: 'cancels.sent',
	cancelsConfirmed: 'cancels.confirmed',
	leasesGranted: 'leases.granted',
	leasesRefused: 'leases.refused',
	lookups: 'lookups.answered',
	forwarded: 'requests.forwarded',
	attached: 'requests.attached',
	calls: 'services.calls',
	peerMessages: 'peers.messages_sent',
	peerBytes: 'peers.bytes_sent',
	platformReads: 'platform.reads',
	bundles: 'bundles.adopted',
	ordersSent: 'orders.sent',
	lateWakes: 'process.late_wakes',
	linksRenewed: 'peers.links_renewed',
	ttft: 'timing.ttft_ms',
	token: 'timing.token_ms',
} as const;

export type Metric = keyof typeof metricNames;

/** Counters and timings of one process; without a StatsD address, nothing is sent. */
export class Counters {
	readonly #client: StatsD | undefined;
	readonly #counts = new Map<string, number>();

	constructor(address: string | undefined, tags: Readonly<Record<string, string>>) {
		if (address === undefined) {
			return;
		}

		const {ip, port} = splitAddress(address);
		this.#client = new StatsD({
			host: ip, port, prefix: 'gatehead.', globalTags: {...tags}, errorHandler: ignore,
		});
	}

	/** Adds to a counter; `tag` is the code, caller or cause to count it under. */
	count(metric: Metric, tag?: string, amount = 1): void {
		const name = metricNames[metric];
		const key = tag === undefined ? name : `${name}{${tag}}`;
		this.#counts.set(key, (this.#counts.get(key) ?? 0) + amount);
		this.#client?.increment(name, amount, tag === undefined ? [] : [`by:${tag}`]);
	}

	/** Records a duration in milliseconds. */
	time(metric: Metric, milliseconds: number): void {
		this.#client?.timing(metricNames[metric], milliseconds);
	}

	/** All counters by metric name, or by `name{tag}` if tagged. */
	list(): Record<string, number> {
		return Object.fromEntries([...this.#counts].toSorted(([left], [right]) => (left < right ? -1 : 1)));
	}

	/** Closes the StatsD socket. */
	close(): void {
		this.#client?.close(ignore);
	}
}
