/**
 * Bundles the process for the platform, from the sources, and compiles it once, so that it starts fast:
 * node scripts/bundle.mjs [FOLDER], by default target/.
 */
import {execFileSync} from 'node:child_process';
import {readFileSync, rmSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const folder = process.argv[2] ?? 'target';
const sourceRoots = {platform: 'platform/src'};

/** The workspace's own packages come from their sources: no build before the bundle. */
const workspaceSources = {
	name: 'workspace-sources',
	setup(builder) {
		// The bundler's own expressions know no flags
		const filter = /^@gatehead/; // eslint-disable-line require-unicode-regexp
		builder.onResolve({filter}, ({path: wanted}) => {
			const [, name, ...rest] = wanted.split('/');
			const root = sourceRoots[name] ?? `packages/${name}/src`;
			return {path: path.resolve(root, `${rest.join('/')}.ts`)};
		});
	},
};

/** Texts of errors in some forty languages, of which the product uses one: a fifth of the bundle. */
const noTranslations = {
	name: 'no-translations',
	setup(builder) {
		builder.onResolve({filter: /locales\/index\.js$/}, () => ({path: 'none', namespace: 'none'})); // eslint-disable-line require-unicode-regexp
		builder.onLoad({filter: /^none$/, namespace: 'none'}, () => ({contents: 'export {}'})); // eslint-disable-line require-unicode-regexp
	},
};

const options = {
	bundle: true,
	platform: 'node',
	target: 'node20',
	// Compiled code can be kept of scripts alone, not of modules
	format: 'cjs',
	minify: true,
	// Node prints the line of an uncaught error: a line must stay short enough for a log
	lineLimit: 400,
	keepNames: false,
	sourcemap: false,
	legalComments: 'none',
	logLevel: 'warning',
	plugins: [workspaceSources, noTranslations],
};

/** Node's options on the platform: compiled code is taken only under those with which it was made. */
function readNodeOptions() {
	const deploy = readFileSync('deploy/system.toml', 'utf8');
	const [, nodeOptions = ''] = /^run = "node (.*) target\//mv.exec(deploy) ?? [];
	return nodeOptions.split(' ').filter(each => each !== '');
}

await build({...options, entryPoints: ['platform/src/process.ts'], outfile: path.join(folder, 'gatehead.cjs')});
await build({...options, entryPoints: ['platform/src/launch.ts'], outfile: path.join(folder, 'launch.cjs')});
rmSync(path.join(folder, 'gatehead.cache'), {force: true});
execFileSync(process.execPath, [...readNodeOptions(), path.join(folder, 'launch.cjs'), '--write-code-cache'], {stdio: 'inherit'});
