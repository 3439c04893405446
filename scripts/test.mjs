/** Runs every compiled test file with Node's own test runner. */
import {spawnSync} from 'node:child_process';
import {readdirSync} from 'node:fs';
import process from 'node:process';

const files = readdirSync('packages', {recursive: true})
	.map(String)
	.filter(file => /^[a-z]+\/dist\/.*\.test\.js$/v.test(file.replaceAll('\\', '/')))
	.toSorted()
	.map(file => `packages/${file}`);
const result = spawnSync(process.execPath, ['--test', '--test-reporter=spec', '--test-concurrency=4', ...files], {stdio: 'inherit'});
process.exitCode = result.status ?? 1;
