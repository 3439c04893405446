/** The `gateheadctl timeline` command: events of all hosts in causal order, as text, JSON lines or an HTML page. */
import {setTimeout as pause} from 'node:timers/promises';
import process from 'node:process';
import {timelineAnswer, type TimelineResponse} from '@gatehead/schema/admin-protocol';
import {type Event} from '@gatehead/schema/event';
import {type FleetFile} from '../utils/files.js';
import {queryFleet, type HostResult} from '../utils/fleet.js';
import {exitCodes, print} from '../utils/output.js';
import {drawTimeline} from './timeline-page.js';

const followIntervalMs = 1000;
/** Digits of the wall-clock time, in milliseconds since the epoch, at the start of an event's timestamp. */
const wallTimeDigits = 14;

/** Filters and output options. */
export type TimelineOptions = {
	readonly request?: string | undefined;
	readonly caller?: string | undefined;
	readonly endpoint?: string | undefined;
	readonly kind?: string | undefined;
	readonly since?: string | undefined;
	readonly form: 'text' | 'json' | 'html';
	readonly follow: boolean;
};

/** Converts an ISO time to an event timestamp; other text is returned unchanged. */
function toTimestamp(since: string | undefined): string {
	const wallTimeMs = Date.parse(since ?? '');
	return Number.isNaN(wallTimeMs) ? since ?? '' : String(wallTimeMs).padStart(wallTimeDigits, '0');
}

function matchesFilter({request, caller, endpoint, kind}: TimelineOptions, event: Event): boolean {
	return (request === undefined || (event.request?.includes(request) ?? false))
		&& (caller === undefined || event.caller === caller)
		&& (endpoint === undefined || event.endpoint === endpoint)
		&& (kind === undefined || event.kind === kind);
}

/** Merges the matching events of all hosts, ordered by hybrid logical clock, which places a cause before its effects. */
export function mergeEvents(results: ReadonlyArray<HostResult<TimelineResponse>>, options: TimelineOptions): Event[] {
	const events = results.flatMap(each => (each.ok ? each.answer.events : []));
	return events.filter(each => matchesFilter(options, each)).toSorted((left, right) => (left.clock < right.clock ? -1 : 1));
}

/** Formats an event as a line of text. */
export function formatEvent({clock, host, kind, request, attempt, caller, endpoint, peer, bundleVersion, detail}: Event): string {
	const time = new Date(Number(clock.slice(0, wallTimeDigits))).toISOString();
	const fields = Object.entries({
		request, attempt, caller, endpoint, peer, bundle: bundleVersion, detail,
	}).filter(([, value]) => value !== undefined).map(([name, value]) => `${name}=${value}`);
	return `${time} ${host.padEnd(20)} ${kind.padEnd(16)} ${fields.join(' ')}`.trimEnd();
}

/** Collects and prints events. Unreachable hosts are listed on standard error; the exit code is then 1. */
export async function collectTimeline(fleet: FleetFile, options: TimelineOptions): Promise<number> {
	let since = toTimestamp(options.since);
	for (;;) {
		const results = await queryFleet(fleet, `/v1/timeline?after=${encodeURIComponent(since)}`, data => timelineAnswer.parse(data));
		const unreachable = results.filter(each => !each.ok).map(each => each.host);
		const events = mergeEvents(results, options);
		printEvents(events, unreachable, options.form);
		since = events.at(-1)?.clock ?? since;
		if (!options.follow || options.form === 'html') {
			return unreachable.length === 0 ? exitCodes.ok : exitCodes.negative;
		}

		await pause(followIntervalMs);
	}
}

function printEvents(events: readonly Event[], unreachable: readonly string[], form: TimelineOptions['form']): void {
	const printers: Record<TimelineOptions['form'], () => void> = {
		text() {
			for (const event of events) {
				print(formatEvent(event));
			}
		},
		json() {
			for (const event of events) {
				print(JSON.stringify(event));
			}
		},
		html() {
			print(drawTimeline(events, unreachable));
		},
	};
	printers[form]();
	for (const host of unreachable) {
		process.stderr.write(`no response from ${host}: its events are missing\n`);
	}
}
