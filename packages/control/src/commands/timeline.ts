/** `gateheadctl timeline`: events of all hosts in one causal order, as text, JSON lines or a page. Neither safety nor efficiency rests here. */
import {setTimeout as pause} from 'node:timers/promises';
import process from 'node:process';
import {timelineAnswer, type TimelineResponse} from '@gatehead/schema/admin-protocol';
import {type Event} from '@gatehead/schema/event';
import {type FleetFile} from '../utils/files.js';
import {askFleet, type Answered} from '../utils/fleet.js';
import {exitCodes, print} from '../utils/output.js';
import {drawTimeline} from './timeline-page.js';

const followMs = 1000;
const wallDigits = 14;

/** Which events, and how to print them. */
export type TimelineWish = {
	readonly request?: string | undefined;
	readonly caller?: string | undefined;
	readonly endpoint?: string | undefined;
	readonly kind?: string | undefined;
	readonly since?: string | undefined;
	readonly form: 'text' | 'json' | 'html';
	readonly follow: boolean;
};

/** A stamp, from a stamp or an ISO time. */
function stampOf(since: string | undefined): string {
	const wall = Date.parse(since ?? '');
	return Number.isNaN(wall) ? since ?? '' : String(wall).padStart(wallDigits, '0');
}

function isWanted({request, caller, endpoint, kind}: TimelineWish, event: Event): boolean {
	return (request === undefined || (event.request?.includes(request) ?? false))
		&& (caller === undefined || event.caller === caller)
		&& (endpoint === undefined || event.endpoint === endpoint)
		&& (kind === undefined || event.kind === kind);
}

/** Events of all answers in causal order: stamps of a hybrid clock order a cause before its effect. */
export function mergeEvents(answers: ReadonlyArray<Answered<TimelineResponse>>, wish: TimelineWish): Event[] {
	const events = answers.flatMap(each => (each.ok ? each.answer.events : []));
	return events.filter(each => isWanted(wish, each)).toSorted((left, right) => (left.clock < right.clock ? -1 : 1));
}

/** One event as a line of text. */
export function formatEvent({clock, host, kind, request, attempt, caller, endpoint, peer, bundleVersion, detail}: Event): string {
	const wall = new Date(Number(clock.slice(0, wallDigits))).toISOString();
	const facts = Object.entries({
		request, attempt, caller, endpoint, peer, bundle: bundleVersion, detail,
	}).filter(([, value]) => value !== undefined).map(([name, value]) => `${name}=${value}`);
	return `${wall} ${host.padEnd(20)} ${kind.padEnd(16)} ${facts.join(' ')}`.trimEnd();
}

/** Collects and prints; unreachable hosts are named on standard error, and the exit code is 1 then. */
export async function collectTimeline(fleet: FleetFile, wish: TimelineWish): Promise<number> {
	let since = stampOf(wish.since);
	for (;;) {
		const answers = await askFleet(fleet, `/v1/timeline?after=${encodeURIComponent(since)}`, data => timelineAnswer.parse(data));
		const silent = answers.filter(each => !each.ok).map(each => each.host);
		const events = mergeEvents(answers, wish);
		printEvents(events, silent, wish.form);
		since = events.at(-1)?.clock ?? since;
		if (!wish.follow || wish.form === 'html') {
			return silent.length === 0 ? exitCodes.ok : exitCodes.negative;
		}

		await pause(followMs);
	}
}

function printEvents(events: readonly Event[], silent: readonly string[], form: TimelineWish['form']): void {
	const printers: Record<TimelineWish['form'], () => void> = {
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
			print(drawTimeline(events, silent));
		},
	};
	printers[form]();
	for (const host of silent) {
		process.stderr.write(`no answer from ${host}: its events are missing\n`);
	}
}
