/**
 * Runs every compiled test file with Node's own test runner. The files that
 * KNOWN-RED.txt names are run apart, printed, and do not count; a listed file
 * that passes does, so that the list never keeps what is mended.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import process from 'node:process';

const listPath = 'KNOWN-RED.txt';
/** Time after which a test file that stands still is ended and fails, in milliseconds: all of them together take half a minute on an idle machine. */
const longestMs = 300_000;
/** Listed files that run at a time; most of them wait for timers. */
const filesApart = 3;

/** Lines of the list: the test's file, then what an on-caller needs to know, separated by bars. */
function readKnownRed() {
	const lines = existsSync(listPath) ? readFileSync(listPath, 'utf8').split('\n') : [];
	return lines.filter(line => line.trim() !== '' && !line.startsWith('#')).map(line => ({line, file: line.split('|', 1)[0].trim()}));
}

function toCompiled(file) {
	return file.replace('/src/', '/dist/').replace(/\.ts$/v, '.js');
}

async function run(files, stdio) {
	const tests = spawn(process.execPath, ['--test', '--test-reporter=spec', '--test-concurrency=4', `--test-timeout=${longestMs}`, ...files], {stdio});
	const [status] = await once(tests, 'exit');
	return status ?? 1;
}

/** Runs the listed files, some at a time, and adds whether each is red. */
async function runApart(knownRed) {
	const results = [];
	const waiting = [...knownRed.entries()];
	const runNext = async () => {
		const next = waiting.shift();
		if (next === undefined) {
			return;
		}

		const [index, listed] = next;
		const compiled = toCompiled(listed.file);
		const isThere = existsSync(compiled);
		results[index] = {...listed, isThere, isRed: isThere && await run([compiled], 'ignore') !== 0};
		await runNext();
	};

	await Promise.all(Array.from({length: filesApart}, runNext));
	return results;
}

/** Whether the list holds what is red, and nothing else. */
function isListTrue(results) {
	let isTrue = true;
	for (const {line, isThere, isRed} of results) {
		console.log(isRed ? `known red, passed over: ${line}` : `${listPath} names a test that passes or is not there (take it off, unless it is called unsteady): ${line}`);
		// One that fails now and then, beside other load, may pass
		isTrue &&= isRed || (line.includes('| unsteady |') && isThere);
	}

	return isTrue;
}

const knownRed = readKnownRed();
const listIsTrue = isListTrue(await runApart(knownRed));
const apart = new Set(knownRed.map(({file}) => toCompiled(file)));
const files = ['packages', 'platform']
	.flatMap(root => readdirSync(root, {recursive: true}).map(file => `${root}/${file}`.replaceAll('\\', '/')))
	.filter(file => /^(?:packages\/[a-z]+|platform)\/dist\/.*\.test\.js$/v.test(file) && !apart.has(file))
	.toSorted();
const status = await run(files, 'inherit');
process.exitCode = status === 0 && listIsTrue ? 0 : 1;
