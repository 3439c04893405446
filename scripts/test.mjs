/**
 * Runs every compiled test file with Node's own test runner. The files that
 * KNOWN-RED.txt names are run apart, printed, and do not count; a listed file
 * that passes does, so that the list never keeps what is mended.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import process from 'node:process';

const listPath = 'KNOWN-RED.txt';
/** Time after which a test file that stands still is ended and fails, in milliseconds: all of them together take half a minute on an idle machine. */
const longestMs = 300_000;

/** Lines of the list: the test's file, then what an on-caller needs to know, separated by bars. */
function readKnownRed() {
	const lines = existsSync(listPath) ? readFileSync(listPath, 'utf8').split('\n') : [];
	return lines.filter(line => line.trim() !== '' && !line.startsWith('#')).map(line => ({line, file: line.split('|', 1)[0].trim()}));
}

function toCompiled(file) {
	return file.replace('/src/', '/dist/').replace(/\.ts$/v, '.js');
}

function run(files, stdio) {
	const {status} = spawnSync(process.execPath, ['--test', '--test-reporter=spec', '--test-concurrency=4', `--test-timeout=${longestMs}`, ...files], {stdio});
	return status ?? 1;
}

/** Whether the list holds what is red, and nothing else. */
function isListTrue(knownRed) {
	let isTrue = true;
	for (const {line, file} of knownRed) {
		const isRed = existsSync(toCompiled(file)) && run([toCompiled(file)], 'ignore') !== 0;
		console.log(isRed ? `known red, passed over: ${line}` : `${listPath} names a test that passes or is not there (take it off, unless it is called unsteady): ${line}`);
		// One that fails now and then, beside other load, may pass
		isTrue &&= isRed || (line.includes('| unsteady |') && existsSync(toCompiled(file)));
	}

	return isTrue;
}

const knownRed = readKnownRed();
const listIsTrue = isListTrue(knownRed);
const apart = new Set(knownRed.map(({file}) => toCompiled(file)));
const files = ['packages', 'platform']
	.flatMap(root => readdirSync(root, {recursive: true}).map(file => `${root}/${file}`.replaceAll('\\', '/')))
	.filter(file => /^(?:packages\/[a-z]+|platform)\/dist\/.*\.test\.js$/v.test(file) && !apart.has(file))
	.toSorted();
const status = run(files, 'inherit');
process.exitCode = status === 0 && listIsTrue ? 0 : 1;
