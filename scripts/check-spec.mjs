/** Checks the specification with spin, exhaustively within its bounds, and that every seeded mistake is found. */
import {execFileSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

const models = ['tickets', 'memory', 'bundles', 'attempts', 'endpoints', 'evidence', 'histories', 'rates', 'retries', 'streams', 'restarts', 'parts'];
const depth = '-m200000';

/** Says what to install where a program is missing, in place of a stack trace. */
function requireProgram(name, advice) {
	try {
		execFileSync(name, [name === 'spin' ? '-V' : '--version'], {stdio: 'ignore'});
	} catch (error) {
		if (error.code === 'ENOENT') {
			console.error(`6006 argumentInvalid: ${name} is not installed. ${advice}`);
			process.exit(2); // eslint-disable-line unicorn/no-process-exit -- nothing can be checked without it
		}
	}
}

requireProgram('spin', 'On Debian: apt-get install spin.');
requireProgram('cc', 'On Debian: apt-get install gcc.');

/** Runs the checker; returns states and errors. */
function check(model, mistake) {
	const folder = mkdtempSync(path.join(tmpdir(), 'gatehead-spec-'));
	try {
		const file = path.resolve('specification', `${model}.pml`);
		const defines = mistake === undefined ? [] : [`-D${mistake}`];
		execFileSync('spin', [...defines, '-a', file], {cwd: folder, stdio: ['ignore', 'pipe', 'pipe']});
		execFileSync('cc', ['-O1', '-w', '-DSAFETY', '-o', 'pan', 'pan.c'], {cwd: folder});
		const output = execFileSync('./pan', [depth], {cwd: folder, encoding: 'utf8'});
		const states = Number(/(?<states>[\d.e+]+) states, stored/v.exec(output)?.groups?.states);
		const errors = Number(/errors: (?<errors>\d+)/v.exec(output)?.groups?.errors);
		const isCut = output.includes('max search depth too small');
		return {states, errors: isCut ? Number.NaN : errors};
	} finally {
		rmSync(folder, {recursive: true});
	}
}

function mistakesOf(model) {
	const text = readFileSync(`specification/${model}.pml`, 'utf8');
	return [...new Set([...text.matchAll(/MISTAKE_\w+/gv)].map(match => match[0]))];
}

let isSound = true;
let allStates = 0;
let allErrors = 0;
let found = 0;
let seeded = 0;
for (const model of models) {
	const {states, errors} = check(model);
	allStates += states;
	allErrors += errors;
	isSound &&= errors === 0;
	console.log(`${model}: ${states} states explored, errors ${errors}`);
	for (const mistake of mistakesOf(model)) {
		seeded += 1;
		const isFound = check(model, mistake).errors > 0;
		found += Number(isFound);
		isSound &&= isFound;
		console.log(`${model} with ${mistake}: ${isFound ? 'found' : 'NOT FOUND'}`);
	}
}

console.log(`specification: ${allStates} states explored, errors ${allErrors}, ${found} of ${seeded} seeded mistakes found`);
process.exitCode = isSound ? 0 : 1;
