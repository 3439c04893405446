/** Renders events as a self-contained HTML page with a lane per host and endpoint, and arrows from a host to the endpoint that it acts on. */
import {type Event, type EventKind} from '@gatehead/schema/event';

const laneHeight = 46;
const leftMargin = 170;
const topMargin = 30;
const pageWidth = 1400;
/** Digits of the wall-clock time, in milliseconds since the epoch, at the start of an event's timestamp. */
const wallTimeDigits = 14;
const maxEvents = 4000;

const colours: Partial<Record<EventKind, string>> = {
	requestRefused: '#c33', attemptFailed: '#c33', prefillWasted: '#c33', callerGone: '#a50', cancelSent: '#a50', orphanCancelled: '#a50', requestEnded: '#2a7', firstToken: '#2a7', decodeEnded: '#2a7', bundleAdopted: '#06c', orderSent: '#06c', orderObeyed: '#06c', memberChanged: '#777', keeperChanged: '#777',
};
const defaultColour = '#446';

const escapes: Readonly<Record<string, string>> = {
	'&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;',
};

function escape(text: string): string {
	return text.replaceAll(/[&<>"]/gv, character => escapes[character] ?? character);
}

function wallTimeMs({clock}: Event): number {
	return Number(clock.slice(0, wallTimeDigits));
}

/** Lane names: hosts, then endpoints, each sorted. */
function listLanes(events: readonly Event[]): string[] {
	const hosts = [...new Set(events.map(each => each.host))].toSorted();
	const endpoints = [...new Set(events.flatMap(({endpoint}) => (endpoint === undefined ? [] : [endpoint])))].toSorted();
	return [...hosts, ...endpoints];
}

function describe(event: Event): string {
	const fields = Object.entries(event).filter(([name]) => name !== 'clock' && name !== 'host');
	return `${new Date(wallTimeMs(event)).toISOString()} ${event.host}\n${fields.map(([name, value]) => `${name}: ${value}`).join('\n')}`;
}

function drawEvent(event: Event, x: number, hostY: number, endpointY: number | undefined): string {
	const colour = colours[event.kind] ?? defaultColour;
	const title = `<title>${escape(describe(event))}</title>`;
	const arrow = endpointY === undefined ? '' : `<line class="arrow" x1="${x}" y1="${hostY}" x2="${x}" y2="${endpointY}" stroke="${colour}" marker-end="url(#head)"/>`;
	return `<g data-request="${escape(event.request ?? '')}" data-kind="${event.kind}">${arrow}<circle cx="${x}" cy="${hostY}" r="4" fill="${colour}">${title}</circle></g>`;
}

function drawLane(name: string, y: number): string {
	return `<line class="lane" x1="${leftMargin}" y1="${y}" x2="${pageWidth}" y2="${y}"/><text x="8" y="${y + 4}">${escape(name)}</text>`;
}

function drawAxis(first: number, span: number, height: number): string {
	return Array.from({length: 11}, (_, index) => {
		const x = leftMargin + ((pageWidth - leftMargin - 20) * index / 10);
		const anchor = index === 10 ? 'end' : 'start';
		return `<line class="tick" x1="${x}" y1="18" x2="${x}" y2="${height}"/><text class="time" text-anchor="${anchor}" x="${x}" y="14">${index === 0 ? new Date(first).toISOString().slice(11, 23) : `+${Math.round(span * index / 10)} ms`}</text>`;
	}).join('');
}

const script = `
const svg = document.querySelector('svg'); let zoom = 1;
const resize = () => { svg.style.width = (zoom * 100) + '%'; };
document.querySelector('#in').onclick = () => { zoom = Math.min(40, zoom * 1.5); resize(); };
document.querySelector('#out').onclick = () => { zoom = Math.max(1, zoom / 1.5); resize(); };
document.querySelector('#find').oninput = event => {
	const text = event.target.value;
	for (const group of document.querySelectorAll('g[data-kind]')) {
		group.style.opacity = text === '' || group.dataset.request.includes(text) || group.dataset.kind.includes(text) ? 1 : 0.06;
	}
};`;

const style = `
body { font: 13px/1.4 system-ui, sans-serif; margin: 16px; color: #223; }
.scroll { overflow-x: auto; border: 1px solid #ccd; }
svg { width: 100%; min-width: 900px; background: #fff; }
text { font-size: 11px; fill: #334; } .time { fill: #778; }
.lane { stroke: #dde; } .tick { stroke: #eef; } .arrow { stroke-width: 0.7; opacity: 0.5; }
.silent { color: #c33; } button, input { font: inherit; margin-right: 6px; }`;

/** Renders the page. Only the newest `maxEvents` events are drawn; the page states the total if there are more. */
export function drawTimeline(all: readonly Event[], unreachable: readonly string[]): string {
	const events = all.slice(-maxEvents);
	const lanes = listLanes(events);
	const yOf = new Map(lanes.map((name, index) => [name, topMargin + 20 + (index * laneHeight)]));
	const first = events.length === 0 ? 0 : wallTimeMs(events[0] ?? {clock: '0', host: '', kind: 'started'});
	const last = events.at(-1);
	const span = Math.max(1, (last === undefined ? 0 : wallTimeMs(last)) - first);
	const height = topMargin + 20 + (lanes.length * laneHeight);
	const marks = events.map(event => drawEvent(event, leftMargin + ((pageWidth - leftMargin - 20) * (wallTimeMs(event) - first) / span), yOf.get(event.host) ?? 0, event.endpoint === undefined ? undefined : yOf.get(event.endpoint)));
	const missing = unreachable.length === 0 ? '' : `<p class="silent">No response from ${escape(unreachable.join(', '))}: their events are missing.</p>`;
	const truncated = all.length > events.length ? `<p>The newest ${events.length} of ${all.length} events are drawn; filter by request, caller or time to see the others.</p>` : '';
	return `<!doctype html><html lang="en"><meta charset="utf-8"><title>gatehead timeline</title><style>${style}</style>
<h1>gatehead timeline</h1><p>${events.length} events of ${new Set(events.map(each => each.host)).size} hosts over ${span} ms. Hover over a dot for details; an arrow leads from a host to the endpoint it acts on.</p>${missing}${truncated}
<p><button id="in">Zoom in</button><button id="out">Zoom out</button><input id="find" placeholder="request or kind" aria-label="Highlight a request or a kind of event"> red: failed or refused, orange: cancelled, green: tokens and ends, blue: bundles and orders</p>
<div class="scroll"><svg viewBox="0 0 ${pageWidth} ${height}" role="img" aria-label="events by lane over time"><defs><marker id="head" viewBox="0 0 6 6" refX="5" refY="3" markerWidth="5" markerHeight="5" orient="auto"><path d="M0 0L6 3L0 6z" fill="#889"/></marker></defs>${drawAxis(first, span, height)}${lanes.map(name => drawLane(name, yOf.get(name) ?? 0)).join('')}${marks.join('')}</svg></div><script>${script}</script></html>`;
}
