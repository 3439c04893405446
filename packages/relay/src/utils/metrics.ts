/**
 * Prometheus counters, gauges and histograms by prom-client. Counts and
 * durations are also sent as StatsD datagrams if configured. Label values come
 * from small fixed sets only.
 */
import {ignore} from '@gatehead/policy/utils/ignore';
import {splitAddress} from '@gatehead/schema/address';
import {StatsD} from 'hot-shots';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** Counters by name. */
export const counterRows = {
	requests: {name: 'gatehead_requests_total', help: 'Requests that ended, by kind of route and outcome.', labels: ['kind', 'outcome']},
	sends: {name: 'gatehead_sends_total', help: 'Requests sent to endpoints, by step and outcome.', labels: ['step', 'outcome']},
	arrivals: {name: 'gatehead_arrivals_total', help: 'Sends that may have reached an endpoint, by step and by whether they were the first of their request.', labels: ['step', 'order']},
	runsLost: {name: 'gatehead_runs_lost_total', help: 'Sends whose endpoint broke off or fell silent under them, by step and by whether a part of the answer had come.', labels: ['step', 'answer']},
	endChecks: {name: 'gatehead_end_checks_total', help: 'Looks at endpoints that cut a connection before any answer, by what was found.', labels: ['finding']},
	crashEnds: {name: 'gatehead_crash_ends_total', help: 'Ends of endpoints noted against the contents of requests, by who saw them.', labels: ['source']},
	responses: {name: 'gatehead_responses_total', help: 'Responses of endpoints to sends, by step and by the request that they name: `own`, `other` or `none`.', labels: ['step', 'identity']},
	responseEnds: {name: 'gatehead_response_ends_total', help: 'Responses of endpoints that ended completely, by step and framing; `connection`: neither a length nor chunks.', labels: ['step', 'framing']},
	reservations: {name: 'gatehead_reservations_total', help: 'Reservations of decode memory asked for, by outcome.', labels: ['outcome']},
	callAdmissions: {name: 'gatehead_call_admissions_total', help: 'Calls to plain services whose load is managed, by whether they were sent at once, after a wait, or rejected.', labels: ['outcome']},
	replicasSkipped: {name: 'gatehead_replicas_skipped_total', help: 'Decode replicas that a search passed over because of their forecast, by what would be short.', labels: ['cause']},
	outputForecasts: {name: 'gatehead_output_forecasts_total', help: 'Streams that ended, by whether their memory was below or above their reservation.', labels: ['outcome']},
	outputForecastError: {name: 'gatehead_output_forecast_error_tokens_total', help: 'Sum of the differences between outputs and their median forecast, in tokens, by whether the output was longer or shorter.', labels: ['output']},
	extraSends: {name: 'gatehead_extra_sends_total', help: 'Sends beyond the first of a request, by cause.', labels: ['cause']},
	budgetSpent: {name: 'gatehead_retry_budget_spent_total', help: 'Second sends that the retry budget did not allow, by whether this host may use its share of the allowance yet.', labels: ['share']},
	retryLoans: {name: 'gatehead_retry_loans_total', help: 'Requests to other hosts for parts of their retry allowance, by outcome.', labels: ['outcome']},
	prefillTokens: {name: 'gatehead_prefill_tokens_total', help: 'Prompt tokens read, by whether a decode endpoint used the result.', labels: ['use']},
	takeovers: {name: 'gatehead_takeovers_total', help: 'Attempts to replace a silent run of a stream, by outcome: another run has begun, the silent one proceeded, no other one was available, or what ruled one out.', labels: ['outcome']},
	streamsBroken: {name: 'gatehead_streams_broken_total', help: 'Streams broken off before their end, by whether their deadline or the end of a planned stop was reached or their endpoint was silent or failed, and by what a continuation at another endpoint lacked.', labels: ['cause', 'blockedBy']},
	callerConnectionsClosed: {name: 'gatehead_caller_connections_closed_total', help: 'Connections of callers that this host closed by itself, by cause and by whether a response was pending on them.', labels: ['cause', 'pending']},
	continuations: {name: 'gatehead_stream_continuations_total', help: 'Streams that went on at another endpoint of the same software version, by who resumed them.', labels: ['by']},
	streamRecords: {name: 'gatehead_stream_records_total', help: 'Records of streams that began here, by whether another host held them before the first event was forwarded.', labels: ['outcome']},
	engineSurveys: {name: 'gatehead_engine_surveys_total', help: 'Engines asked after the start of this host what they hold of earlier runs, by outcome.', labels: ['outcome']},
	runTracesDropped: {name: 'gatehead_run_traces_dropped_total', help: 'Traces of runs that were not kept, since there are too many.', labels: []},
	streamRecordsDropped: {name: 'gatehead_stream_records_dropped_total', help: 'Records of streams that were dropped before they expired.', labels: []},
	streamLookups: {name: 'gatehead_stream_lookups_total', help: 'Requests that resume a stream, by where the software version that began it was found, by whether a host that replied has seen all versions for as long as the stream can have lasted, and by what engines had of it.', labels: ['source', 'coverage', 'evidence']},
	repeatedRuns: {name: 'gatehead_repeated_runs_total', help: 'Runs begun for a request no event of which had been forwarded, by whether an earlier one may have run at another software version only.', labels: ['softwareVersion']},
	pauses: {name: 'gatehead_endpoint_pauses_total', help: 'Endpoints set aside because sends to them failed, by who saw it.', labels: ['source']},
	forwarded: {name: 'gatehead_forwarded_requests_total', help: 'Requests that this host forwarded to another one because it had lost its links to the service, by outcome.', labels: ['outcome']},
	forwardConnections: {name: 'gatehead_forward_connections_total', help: 'Connections opened to other hosts to forward requests.', labels: []},
	linkProbes: {name: 'gatehead_link_probes_total', help: 'Connections opened to find out whether an endpoint can be reached, by outcome.', labels: ['outcome']},
	signals: {name: 'gatehead_endpoint_signals_total', help: 'Rate limits, drain notices and backoff periods of endpoints that began, changed or ended, by who received them.', labels: ['signal', 'change', 'source']},
	ratePermits: {name: 'gatehead_rate_permits_total', help: 'Permits asked for at rate-limited endpoints, by outcome.', labels: ['outcome']},
	signalsMalformed: {name: 'gatehead_endpoint_signals_malformed_total', help: 'Headers of endpoints that could not be parsed, by header.', labels: ['header']},
	directoryReads: {name: 'gatehead_directory_reads_total', help: 'Reads of the directory, by kind and outcome.', labels: ['read', 'outcome']},
	directoryUnreadable: {name: 'gatehead_directory_unreadable_total', help: 'Items of the directory that could not be read, by what they were to say.', labels: ['item']},
	routingRejected: {name: 'gatehead_routing_rejected_total', help: 'Published configurations that could not be used and did not come into force.', labels: []},
	directoryRestores: {name: 'gatehead_directory_restores_total', help: 'Times that the directory was found to have come back from a copy, in a history of its own.', labels: []},
	lookups: {name: 'gatehead_lookups_total', help: 'Lookups answered.', labels: []},
	peerMessages: {name: 'gatehead_peer_messages_total', help: 'Messages sent to other hosts.', labels: []},
	peerBytes: {name: 'gatehead_peer_bytes_total', help: 'Bytes sent to other hosts.', labels: []},
	linksRenewed: {name: 'gatehead_links_renewed_total', help: 'Links to other hosts given up for new ones because an answer was overdue.', labels: []},
	lateWakes: {name: 'gatehead_late_wakes_total', help: 'Times that this process found that it had been paused, or its machine had slept.', labels: []},
	connections: {name: 'gatehead_endpoint_connections_total', help: 'Connections opened to endpoints.', labels: []},
	evidenceAsked: {name: 'gatehead_evidence_asked_total', help: 'Peers asked how fresh the configuration is, by outcome.', labels: ['outcome']},
	refusalsUnproven: {name: 'gatehead_refusals_unproven_total', help: 'Requests that the configuration in force does not allow, asked back because nothing proved that it is the newest; by what would have been said.', labels: ['reason']},
	quotaAsked: {name: 'gatehead_quota_asked_total', help: 'Questions to keepers of quotas, by outcome.', labels: ['outcome']},
	unreadClosed: {name: 'gatehead_unread_closed_total', help: 'Responses whose connection was closed because its caller left too many bytes unread, by the bound that decided.', labels: ['bound']},
	unreadPauses: {name: 'gatehead_unread_pauses_total', help: 'Times that a host stopped reading a stream from its endpoint because its caller did not read, by whether the caller read in time.', labels: ['outcome']},
	incomingWaits: {name: 'gatehead_incoming_waits_total', help: 'Times that reading a response or request waited for memory of this host, by where it is received.', labels: ['place']},
	incomingDropped: {name: 'gatehead_incoming_dropped_total', help: 'Responses and requests that were given up while others waited for memory of this host, by where they are received.', labels: ['place']},
	loadRejections: {name: 'gatehead_load_rejections_total', help: 'Waiting requests that load management rejected, by cause; `share`: more than the share of its workspace.', labels: ['cause']},
	logDropped: {name: 'gatehead_log_lines_dropped_total', help: 'Log lines left out, by reason.', labels: ['reason']},
} as const satisfies Record<string, {readonly name: string; readonly help: string; readonly labels: readonly string[]}>;

/** Gauges by name. */
export const gaugeRows = {
	open: {name: 'gatehead_open_requests', help: 'Requests in work.'},
	waiting: {name: 'gatehead_waiting_requests', help: 'Requests that wait for decode memory.'},
	incomingBytes: {name: 'gatehead_incoming_bytes', help: 'Bytes held of what endpoints, other hosts and callers have sent.'},
	incomingPeakBytes: {name: 'gatehead_incoming_bytes_peak', help: 'Most such bytes held at a time since the start.'},
	incomingLimitBytes: {name: 'gatehead_incoming_bytes_limit', help: 'Bound of such bytes, by the memory of the machine.'},
	incomingWaiting: {name: 'gatehead_incoming_waiting', help: 'Responses and requests whose reading waits for memory.'},
	residentBytes: {name: 'gatehead_resident_bytes', help: 'Resident memory of the process.'},
	heapBytes: {name: 'gatehead_heap_bytes', help: 'Heap in use of the process.'},
	bufferBytes: {name: 'gatehead_buffer_bytes', help: 'Memory of buffers, including those that are not collected yet.'},
	eventLoopDelay: {name: 'gatehead_event_loop_delay_ms', help: 'Longest delay of the event loop in the last 30 to 60 seconds.'},
	unreadBytes: {name: 'gatehead_unread_bytes', help: 'Bytes of responses that callers have not read, where load is managed.'},
	hosts: {name: 'gatehead_hosts_alive', help: 'Hosts thought to be alive, this one among them.'},
	endpoints: {name: 'gatehead_endpoints_ready', help: 'Endpoints that take new work.'},
	version: {name: 'gatehead_routing_version', help: 'Version of the configuration in force; 0: none.'},
	directory: {name: 'gatehead_directory_up', help: '1 while the directory answers.'},
	evidenceAge: {name: 'gatehead_evidence_age_ms', help: 'How long ago the configuration was known to be the newest; -1: never.'},
	limitedEndpoints: {name: 'gatehead_endpoints_limited', help: 'Endpoints with a rate limit in force.'},
	drainingEndpoints: {name: 'gatehead_endpoints_draining', help: 'Endpoints listed by the directory that have announced their drain in a response.'},
	backingOffEndpoints: {name: 'gatehead_endpoints_backing_off', help: 'Endpoints that asked this host for backoff and get nothing from it now.'},
	unreachableServices: {name: 'gatehead_services_unreachable', help: 'Services to whose endpoints this host has lost its links.'},
	heldContents: {name: 'gatehead_held_contents', help: 'Contents of requests that are refused because endpoints ended as they ran them.'},
	runTracesHeld: {name: 'gatehead_run_traces', help: 'Runs and cached prompt parts of engines that are known here as evidence of the software version of streams.'},
	streamRecordsHeld: {name: 'gatehead_stream_records', help: 'Records of streams held here, also those of other hosts.'},
	slowestPace: {name: 'gatehead_endpoint_pace_slowest', help: 'Time per event, prompt token or call at the slowest endpoint, relative to its service; 1: average, or load is not managed.'},
	fastestPace: {name: 'gatehead_endpoint_pace_fastest', help: 'Time per event, prompt token or call at the fastest endpoint, relative to its service; 1: average, or load is not managed.'},
	retryLeft: {name: 'gatehead_retry_budget_left', help: 'Second sends left to this host, least of all services.'},
} as const satisfies Record<string, {readonly name: string; readonly help: string}>;

const buckets = [5, 10, 25, 50, 100, 200, 300, 500, 700, 900, 1200, 2000, 4000, 8000, 16_000];

/** Histograms by name, all in milliseconds. */
export const histogramRows = {
	firstByte: {name: 'gatehead_first_byte_ms', help: 'Time from a request\'s arrival to the first byte of its answer, by kind of route.', labels: ['kind']},
	whole: {name: 'gatehead_answer_ms', help: 'Time from a request\'s arrival to the end of its answer, by kind of route.', labels: ['kind']},
	forward: {name: 'gatehead_forward_ms', help: 'Time from the decision to forward a request to the head of the other host\'s response, by outcome.', labels: ['outcome']},
	reserve: {name: 'gatehead_reserve_ms', help: 'Time that a request waited for decode memory.', labels: []},
	prefill: {name: 'gatehead_prefill_ms', help: 'Time that a prefill took, as its host saw it.', labels: []},
	departure: {name: 'gatehead_departure_age_ms', help: 'How long after the directory was read for it this host learnt that an endpoint leaves; 0: it read that itself.', labels: []},
	routingAge: {name: 'gatehead_routing_age_ms', help: 'How long after the directory was read for it this host took a configuration into force; 0: it read that itself.', labels: []},
	streamRecord: {name: 'gatehead_stream_record_ms', help: 'Time from a stream\'s first event until another host held its record.', labels: []},
	streamLookup: {name: 'gatehead_stream_lookup_ms', help: 'Time to find the software version that began a stream.', labels: []},
	gap: {name: 'gatehead_event_gap_ms', help: 'Longest pause between two events of a stream.', labels: []},
} as const satisfies Record<string, {readonly name: string; readonly help: string; readonly labels: readonly string[]}>;

export type CounterName = keyof typeof counterRows;
export type GaugeName = keyof typeof gaugeRows;
export type HistogramName = keyof typeof histogramRows;

function mapRows<Name extends string, Row, Made>(rows: Readonly<Record<Name, Row>>, make: (row: Row) => Made): ReadonlyMap<string, Made> {
	return new Map(Object.entries<Row>(rows).map(([name, row]) => [name, make(row)]));
}

/** Metrics of one process. */
export class Metrics {
	readonly registry = new Registry();
	readonly #counters = mapRows(counterRows, ({name, help, labels}) => new Counter({
		name, help, labelNames: [...labels], registers: [this.registry],
	}));

	readonly #gauges = mapRows(gaugeRows, ({name, help}) => new Gauge({name, help, registers: [this.registry]}));
	readonly #histograms = mapRows(histogramRows, ({name, help, labels}) => new Histogram({
		name, help, labelNames: [...labels], buckets, registers: [this.registry],
	}));

	readonly #statsd: StatsD | undefined;

	constructor(statsd: string | undefined, tags: Readonly<Record<string, string>>) {
		if (statsd === undefined) {
			return;
		}

		const {ip, port} = splitAddress(statsd);
		this.#statsd = new StatsD({
			host: ip, port, prefix: 'gatehead.', globalTags: {...tags}, errorHandler: ignore,
		});
	}

	/** Increments a counter. */
	add(name: CounterName, labels: Readonly<Record<string, string>> = {}, amount = 1): void {
		this.#counters.get(name)?.inc(labels, amount);
		this.#statsd?.increment(name, amount, labels);
	}

	set(name: GaugeName, value: number): void {
		this.#gauges.get(name)?.set(value);
	}

	/** Records a duration in milliseconds. */
	time(name: HistogramName, milliseconds: number, labels: Readonly<Record<string, string>> = {}): void {
		this.#histograms.get(name)?.observe(labels, milliseconds);
		this.#statsd?.timing(name, milliseconds, labels);
	}

	/** All metrics in the Prometheus text format. */
	async toText(): Promise<string> {
		return this.registry.metrics();
	}

	/** Closes the StatsD socket. */
	close(): void {
		this.#statsd?.close(ignore);
	}
}
