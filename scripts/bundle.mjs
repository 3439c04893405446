/** Bundles the process for the platform into one file under target/, from the sources, so that it starts fast. */
import path from 'node:path';
import {build} from 'esbuild';

/** Some of the bundled packages are written for `require`. */
const banner = [
	'import {createRequire as makeRequire} from "node:module";',
	'import {fileURLToPath as toPath} from "node:url";',
	'import {dirname as dirOf} from "node:path";',
	'const require = makeRequire(import.meta.url);',
	'const __filename = toPath(import.meta.url);',
	'const __dirname = dirOf(__filename);',
].join(' ');

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

await build({
	entryPoints: ['platform/src/main.ts'],
	outfile: 'target/gatehead.mjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	minify: true,
	keepNames: false,
	sourcemap: false,
	legalComments: 'none',
	logLevel: 'warning',
	banner: {js: banner},
	plugins: [workspaceSources],
});
