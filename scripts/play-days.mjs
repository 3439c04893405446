/** Plays the project's own days on a site with the users' bench, a few at a time, and prints a line a day: node scripts/play-days.mjs BENCH SITE [JOBS]. Needs the kit; no part of CI. */
import {execFile} from 'node:child_process';
import {readdirSync} from 'node:fs';
import process from 'node:process';
import {promisify} from 'node:util';

const folder = 'deploy/days';
const mostOutputBytes = 50_000_000;
const [bench, site, jobs = '3'] = process.argv.slice(2);
if (site === undefined) {
	console.error('Say where the bench and the site file are: node scripts/play-days.mjs BENCH SITE [JOBS]');
	process.exit(2);
}

const run = promisify(execFile);
const days = readdirSync(folder).filter(file => file.endsWith('.toml')).toSorted();
let broken = 0;

async function play() {
	for (let day = days.shift(); day !== undefined; day = days.shift()) {
		const name = day.replace('.toml', '');
		const {stdout} = await run(bench, ['run', site, `${folder}/${day}`, '--why', `own day ${name}`], {maxBuffer: mostOutputBytes}).catch(error => error);
		const line = stdout.split('\n').find(each => each.startsWith(name) && each.includes('prices')) ?? `${name}: not played: ${stdout.slice(-200)}`;
		broken += Number(!line.includes('prices') || line.includes('BROKEN'));
		console.log(line);
		for (const wrong of stdout.split('\n').filter(each => each.includes('that is wrong'))) {
			console.log(`  ${wrong}`);
		}
	}
}

await Promise.all(Array.from({length: Number(jobs)}, async () => play()));
console.log(`${broken} days with a rule broken or not played`);
process.exitCode = broken === 0 ? 0 : 1;
