/** Runs every compiled test file with Node's own test runner. */
import {spawnSync} from 'node:child_process';
import {readdirSync} from 'node:fs';
import process from 'node:process';

const files = ['packages', 'platform']
	.flatMap(root => readdirSync(root, {recursive: true}).map(file => `${root}/${file}`))
	.filter(file => /^(?:packages\/[a-z]+|platform)\/dist\/.*\.test\.js$/v.test(file.replaceAll('\\', '/')))
	.toSorted();
const result = spawnSync(process.execPath, ['--test', '--test-reporter=spec', '--test-concurrency=4', ...files], {stdio: 'inherit'});
process.exitCode = result.status ?? 1;
