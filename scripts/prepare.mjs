/** Installs the packages when the lock file is newer than the last install, then builds. One command on a fresh machine. */
import {execFileSync} from 'node:child_process';
import {existsSync, statSync} from 'node:fs';
import process from 'node:process';

const installed = 'node_modules/.package-lock.json';

function isInstalled() {
	return existsSync(installed) && statSync(installed).mtimeMs >= statSync('package-lock.json').mtimeMs;
}

if (!isInstalled()) {
	execFileSync('npm', ['ci', '--no-progress', '--loglevel=error'], {stdio: ['ignore', 'ignore', 'inherit']});
}

execFileSync(process.execPath, ['node_modules/typescript/bin/tsc', '--build'], {stdio: 'inherit'});
