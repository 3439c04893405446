/** Runs the measurement with seed 1 and writes its table and plot into docs/. */
import {execFileSync} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';

const mostBytes = 64_000_000;
const output = execFileSync(process.execPath, ['packages/standin/dist/measure/main.js', '--json', '--seed', '1'], {encoding: 'utf8', maxBuffer: mostBytes});
const rows = JSON.parse(output);
const columns = ['deployment', 'load', 'fault', 'policy', 'offered', 'accepted', 'refused', 'goodput', 'goodputOfBound', 'wastedPrefill', 'ttftP95Ms', 'tokenP95Ms', 'fairness'];

function table() {
	const lines = rows.map(row => `| ${columns.map(column => row[column]).join(' | ')} |`);
	return [`| ${columns.join(' | ')} |`, `|${columns.map(() => '---').join('|')}|`, ...lines].join('\n');
}

function priorities() {
	const lines = rows.filter(row => row.policy === 'current').flatMap(({deployment, load, fault, byPriority}) => Object.entries(byPriority).map(([priority, {answered, ttftMs, tokenMs}]) => `| ${deployment} | ${load} | ${fault} | ${priority} | ${answered} | ${ttftMs.join(' / ')} | ${tokenMs.join(' / ')} |`));
	return ['| deployment | load | fault | priority | answered | TTFT p50 / p95 / p99 ms | token p50 / p95 / p99 ms |', '|---|---|---|---|---|---|---|', ...lines].join('\n');
}

const colours = {
	random: '#999', 'least-loaded': '#c73', thin: '#48a', current: '#2a7',
};
const loads = ['0.5', '1.0', '1.5', '2.0', '4.0'];

function panel(deployment, left) {
	const x = load => left + 50 + (loads.indexOf(load) * 95);
	const y = value => 270 - (value * 220);
	const grid = [0, 0.25, 0.5, 0.75, 1].map(value => `<line x1="${left + 50}" y1="${y(value)}" x2="${left + 430}" y2="${y(value)}" stroke="#dde"/><text x="${left + 42}" y="${y(value) + 4}" text-anchor="end">${value}</text>`).join('');
	const marks = loads.map(load => `<text x="${x(load)}" y="290" text-anchor="middle">${load}</text>`).join('');
	const lines = Object.entries(colours).map(([policy, colour]) => {
		const points = loads.map(load => rows.find(row => row.deployment === deployment && row.load === load && row.fault === 'none' && row.policy === policy));
		return `<polyline fill="none" stroke="${colour}" stroke-width="2" points="${points.map(row => `${x(row.load)},${y(row.goodputOfBound).toFixed(1)}`).join(' ')}"/>`;
	}).join('');
	return `${grid}${marks}${lines}<text x="${left + 240}" y="22" text-anchor="middle" font-weight="bold">${deployment}: goodput of the bound over load</text>`;
}

const legend = Object.entries(colours).map(([policy, colour], index) => `<rect x="${60 + (index * 150)}" y="308" width="14" height="4" fill="${colour}"/><text x="${80 + (index * 150)}" y="314">${policy}</text>`).join('');
writeFileSync('docs/results.svg', `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 920 330" font-family="sans-serif" font-size="12"><rect width="920" height="330" fill="#fff"/>${panel('tour', 0)}${panel('buoy', 460)}${legend}</svg>\n`);

const file = 'docs/RESULTS.md';
const text = readFileSync(file, 'utf8');
const start = '<!-- results: written by scripts/write-results.mjs -->';
const end = '<!-- end of results -->';
writeFileSync(file, `${text.slice(0, text.indexOf(start) + start.length)}\n${table()}\n\n${priorities()}\n${text.slice(text.indexOf(end))}`);
