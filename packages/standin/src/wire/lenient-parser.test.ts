/** Guards against clients whose parser accepts malformed responses because of an option of their process. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {expect} from 'earl';

/** Time after which a process that stands still is ended, in milliseconds. */
const longestMs = 240_000;

type Case = {
	readonly name: string;
	/** Module with the tests. */
	readonly module: string;
	/** Tests to run; absent: all of the module. */
	readonly pattern?: string;
};

const cases: readonly Case[] = [
	{name: 'endpoints, the directory and other hosts', module: '@gatehead/standin/wire/malformed-heads.test', pattern: 'direct|other clients'},
	{name: 'the owner of a request', module: '@gatehead/host/front/forward.test'},
	{name: 'hosts that an operator asks', module: '@gatehead/control/utils/fleet.test'},
];

/** Runs tests in a process whose HTTP parser is lenient by default; returns the counts that they end with. */
async function runLenient({module, pattern}: Case): Promise<{readonly hasPassed: boolean; readonly failed: readonly string[]}> {
	const {NODE_TEST_CONTEXT: _, ...env} = process.env;
	const child = spawn(process.execPath, [
		'--insecure-http-parser', '--test-reporter=tap', ...(pattern === undefined ? [] : [`--test-name-pattern=${pattern}`]), fileURLToPath(import.meta.resolve(module)),
	], {env, stdio: ['ignore', 'pipe', 'ignore'], timeout: longestMs});
	const [output] = await Promise.all([text(child.stdout), once(child, 'exit')]);
	return {hasPassed: /^# pass [1-9]/mv.test(output), failed: [...output.matchAll(/^ *not ok .*$/gmv)].map(([line]) => line.trim())};
}

describe('malformed responses in a process with a lenient parser', () => {
	for (const each of cases) {
		it(`${each.name}: no answer`, async () => {
			expect(await runLenient(each)).toEqual({hasPassed: true, failed: []});
		});
	}
});
