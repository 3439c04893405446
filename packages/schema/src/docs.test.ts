/** Guards against generated tables in docs/ that are out of date. */
import {spawnSync} from 'node:child_process';
import process from 'node:process';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {expect} from 'earl';

const root = fileURLToPath(new URL('../../../', import.meta.url));

describe('docs', () => {
	it('tables of codes, metrics, settings and bundle are up to date', () => {
		const {status, stderr} = spawnSync(process.execPath, ['scripts/write-docs.mjs', '--check'], {cwd: root, encoding: 'utf8'});
		expect(stderr).toEqual('');
		expect(status).toEqual(0);
	});
});
