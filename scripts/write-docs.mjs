/** Writes the tables of docs/ that come from the code; `--check` only says whether they are up to date. */
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {z} from 'zod';
import {codeNames, codes} from '../packages/schema/dist/codes.js';
import {bundle} from '../packages/schema/dist/bundle.js';
import {settings} from '../packages/schema/dist/settings.js';
import {relaySettings} from '../packages/schema/dist/relay-settings.js';
import {metricNames} from '../packages/host/dist/utils/counters.js';
import {counterRows, gaugeRows, histogramRows} from '../packages/relay/dist/utils/metrics.js';

const meanings = JSON.parse(readFileSync('docs/meanings.json', 'utf8'));

function codesTable() {
	const rows = codeNames.map(name => {
		const {number, status, ran, advice} = codes[name];
		return `| ${number} | ${name} | ${status === 0 ? '–' : status} | ${status === 0 ? '–' : ran} | ${advice} |`;
	});
	return ['| number | name | HTTP | ran | meaning and what to do |', '|---|---|---|---|---|', ...rows].join('\n');
}

function metricsTable() {
	const rows = Object.values(metricNames).map(name => `| gatehead.${name} | ${name.startsWith('timing') ? 'timing, ms' : 'counter'} | ${meaningOf(`metric ${name}`)} |`);
	return ['| metric | kind | meaning |', '|---|---|---|', ...rows].join('\n');
}

function relayMetricsTable() {
	const kinds = [['counter', counterRows], ['gauge', gaugeRows], ['histogram, ms', histogramRows]];
	const rows = kinds.flatMap(([kind, table]) => Object.values(table).map(({name, help, labels = []}) => `| ${name} | ${kind} | ${labels.join(', ') || '–'} | ${help} |`));
	return ['| metric | kind | labels | meaning |', '|---|---|---|---|', ...rows].join('\n');
}

function meaningOf(path) {
	const meaning = meanings[path];
	if (meaning === undefined) {
		throw new Error(`docs/meanings.json lacks ${path}`);
	}

	return meaning;
}

function boundsOf({minimum, exclusiveMinimum, maximum, minItems, maxItems, enum: values}) {
	const largest = maximum === Number.MAX_SAFE_INTEGER ? undefined : maximum;
	const parts = [values && values.join(', '), minimum !== undefined && `from ${minimum}`, exclusiveMinimum !== undefined && `above ${exclusiveMinimum}`, largest !== undefined && `to ${largest}`, minItems && `at least ${minItems}`, maxItems && `at most ${maxItems}`];
	return parts.filter(Boolean).join(' ');
}

function * fieldsOf(schema, path) {
	for (const [name, field] of Object.entries(schema.properties ?? {})) {
		const own = path === '' ? name : `${path}.${name}`;
		const isRequired = (schema.required ?? []).includes(name) && field.default === undefined;
		yield {path: own, field, isRequired};
		yield * fieldsOf(field, own);
		if (field.items) {
			yield * fieldsOf(field.items, `${own}[]`);
		}
	}
}

function fieldsTable(schema, prefix) {
	const rows = [];
	for (const {path, field, isRequired} of fieldsOf(z.toJSONSchema(schema, {io: 'input'}), '')) {
		const value = field.default === undefined || typeof field.default === 'object' ? (isRequired ? 'required' : '–') : String(field.default);
		rows.push(`| ${path} | ${field.type ?? 'string'} | ${value} | ${boundsOf(field) || '–'} | ${meaningOf(`${prefix} ${path}`)} |`);
	}

	return ['| field | type | default | bounds | meaning |', '|---|---|---|---|---|', ...rows].join('\n');
}

const tables = [
	['docs/CODES.md', 'codes', codesTable()],
	['docs/METRICS.md', 'metrics', metricsTable()],
	['docs/METRICS.md', 'relay metrics', relayMetricsTable()],
	['docs/CONFIGURATION.md', 'relay settings', fieldsTable(relaySettings, 'relay')],
	['docs/CONFIGURATION.md', 'settings', fieldsTable(settings, 'settings')],
	['docs/CONFIGURATION.md', 'bundle', fieldsTable(bundle, 'bundle')],
];

const isCheck = process.argv.includes('--check');
for (const [file, name, table] of tables) {
	const text = readFileSync(file, 'utf8');
	const start = `<!-- ${name}: written by scripts/write-docs.mjs -->`;
	const end = `<!-- end of ${name} -->`;
	const before = text.slice(0, text.indexOf(start) + start.length);
	const after = text.slice(text.indexOf(end));
	const fresh = `${before}\n${table}\n${after}`;
	if (fresh === text) {
		continue;
	}

	if (isCheck) {
		console.error(`${file}: the table of ${name} is out of date; run node scripts/write-docs.mjs`);
		process.exitCode = 1;
	} else {
		writeFileSync(file, fresh);
	}
}
