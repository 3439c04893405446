/**
 * Switches off one mechanism after the other and plays the same days of a site with the users' bench:
 * node scripts/ablate.mjs BENCH SITE --folder DIR [--days a,b] [--seeds 0,1] [--off x,y] [--jobs N].
 * Each mechanism is played from a copy of the repository in DIR (not below /tmp), whose journal entries come back here.
 * Prints a line a mechanism: mean worth, its difference to all on with the standard error of the pairs, and the parts. Needs the kit; no part of CI.
 */
import {execFile} from 'node:child_process';
import {
	cpSync, existsSync, mkdirSync, readFileSync, readdirSync, statSync, symlinkSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {parseArgs, promisify} from 'node:util';

const mostOutputBytes = 50_000_000;
const leftOut = new Set(['.git', 'node_modules', 'target', 'journal', 'dist']);
const parts = ['whole day', 'worst windows', 'worst class'];
const everything = [
	'reservations', 'readingApart', 'earlyRefusal', 'secondTries', 'resumedTurns', 'comeBackTimes', 'peerUse', 'peerReadings', 'peerWaiting', 'pauses', 'pauseNews', 'errorRetries', 'slowCopies', 'continuing', 'stageOrders', 'nearHalls',
];
const run = promisify(execFile);
const {positionals: [bench, site], values} = parseArgs({
	allowPositionals: true,
	options: {
		folder: {type: 'string'}, days: {type: 'string', default: 'trouble-1,scale-1,trouble-2,scale-2,trouble-3'}, seeds: {type: 'string', default: '0'}, off: {type: 'string', default: everything.join(',')}, jobs: {type: 'string', default: '4'},
	},
});

/** Copies the repository and switches a mechanism off in the copy's deploy file. */
function makeCopy(mechanism) {
	const copy = path.join(values.folder, mechanism);
	if (!existsSync(copy)) {
		mkdirSync(copy, {recursive: true});
		cpSync('.', copy, {recursive: true, preserveTimestamps: true, filter: source => !leftOut.has(path.basename(source))});
		symlinkSync(path.resolve('node_modules'), path.join(copy, 'node_modules'));
		if (mechanism !== 'none') {
			const deploy = path.join(copy, 'deploy/system.toml');
			writeFileSync(deploy, `${readFileSync(deploy, 'utf8').trimEnd()}\nenv = { GATEHEAD_OFF = "${mechanism}" }\n`);
		}
	}

	return copy;
}

/** Plays one day; undefined where it was not played. */
async function play(copy, mechanism, day, seed) {
	const report = path.join(copy, `${path.basename(site)}-${day}-${seed}.json`);
	const seeded = seed === '0' ? [] : ['--seed', seed];
	await run(bench, ['run', path.resolve(site), day, ...seeded, '--no-cpu', '--report', report, '--why', `ablation: ${mechanism} off, ${day}, seed ${seed}`], {cwd: copy, maxBuffer: mostOutputBytes}).catch(error => error);
	if (!existsSync(report)) {
		return undefined;
	}

	const {G: worth, parts: rows, breaks} = JSON.parse(readFileSync(report, 'utf8'));
	const broken = Object.keys(breaks ?? {});
	return {worth, broken, parts: parts.map(name => rows.find(([each]) => each === name)?.[2] ?? 0)};
}

function mean(numbers) {
	return numbers.reduce((sum, each) => sum + each, 0) / Math.max(1, numbers.length);
}

function standardError(numbers) {
	const middle = mean(numbers);
	return numbers.length < 2 ? 0 : Math.sqrt(mean(numbers.map(each => (each - middle) ** 2)) / (numbers.length - 1));
}

function bringJournal(copy) {
	const folder = path.join(copy, 'journal');
	for (const name of existsSync(folder) ? readdirSync(folder) : []) {
		cpSync(path.join(folder, name), path.join('journal', name), {recursive: true, force: false});
	}
}

/** Copies share the installed packages, so their build must find nothing to install. */
function isInstalled() {
	const installed = 'node_modules/.package-lock.json';
	return existsSync(installed) && statSync(installed).mtimeMs > statSync('package-lock.json').mtimeMs;
}

if (site === undefined || values.folder === undefined) {
	console.error('Say where the bench, the site file and a folder for copies are: node scripts/ablate.mjs BENCH SITE --folder DIR');
	process.exitCode = 2;
} else if (isInstalled()) {
	const mechanisms = ['none', ...values.off.split(',').filter(name => name !== '')];
	const plays = mechanisms.flatMap(mechanism => values.seeds.split(',').flatMap(seed => values.days.split(',').map(day => ({mechanism, seed, day}))));
	const results = new Map(mechanisms.map(mechanism => [mechanism, new Map()]));
	const copies = new Map(mechanisms.map(mechanism => [mechanism, makeCopy(mechanism)]));
	const playOn = async () => {
		const next = plays.shift();
		if (next === undefined) {
			return;
		}

		const {mechanism, seed, day} = next;
		const result = await play(copies.get(mechanism), mechanism, day, seed);
		results.get(mechanism).set(`${day} ${seed}`, result);
		await playOn();
	};

	await Promise.all(Array.from({length: Number(values.jobs)}, async () => playOn()));
	console.log('| off | plays | worth | difference | error | whole day | worst windows | worst kind | rules broken |\n|---|---|---|---|---|---|---|---|---|');
	for (const [mechanism, played] of results) {
		const base = results.get('none');
		const both = [...played].filter(([key, result]) => result !== undefined && base.get(key) !== undefined);
		const differences = both.map(([key, {worth}]) => worth - base.get(key).worth);
		const rows = both.map(([, result]) => result);
		const broken = rows.flatMap(row => row.broken).join(' ') || '–';
		const figures = [mean(rows.map(row => row.worth)), mean(differences), standardError(differences), ...parts.map((_, index) => mean(rows.map(row => row.parts[index])))];
		console.log(`| ${mechanism} | ${rows.length} | ${figures.map(figure => figure.toFixed(3)).join(' | ')} | ${broken} |`);
		bringJournal(copies.get(mechanism));
	}
} else {
	console.error('Install the packages first: npm run prepare:workspace');
	process.exitCode = 2;
}
