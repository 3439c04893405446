/** Plays the project's own days on a site with the users' bench, a few at a time, and prints a line a day: node scripts/play-days.mjs BENCH SITE [JOBS]. Needs the kit; no part of CI. */
import {execFile} from 'node:child_process';
import {readdirSync} from 'node:fs';
import process from 'node:process';
import {promisify} from 'node:util';

const folder = 'deploy/days';
const mostOutputBytes = 50_000_000;
const [bench, site, jobs = '3'] = process.argv.slice(2);
const run = promisify(execFile);
const days = [];
let broken = 0;

/** Plays the next day and then those behind it, until none is left. */
async function play() {
	const day = days.shift();
	if (day === undefined) {
		return;
	}

	const name = day.replace('.toml', '');
	const {stdout} = await run(bench, ['run', site, `${folder}/${day}`, '--why', `own day ${name}`], {maxBuffer: mostOutputBytes}).catch(error => error);
	const line = stdout.split('\n').find(each => each.startsWith(name) && each.includes('prices')) ?? `${name}: not played: ${stdout.slice(-200)}`;
	broken += Number(!line.includes('prices') || line.includes('BROKEN'));
	console.log(line);
	for (const wrong of stdout.split('\n').filter(each => each.includes('that is wrong'))) {
		console.log(`  ${wrong}`);
	}

	await play();
}

if (site === undefined) {
	console.error('Say where the bench and the site file are: node scripts/play-days.mjs BENCH SITE [JOBS]');
	process.exitCode = 2;
} else {
	days.push(...readdirSync(folder).filter(file => file.endsWith('.toml')).toSorted());
	await Promise.all(Array.from({length: Number(jobs)}, async () => play()));
	console.log(`${broken} days with a rule broken or not played`);
	process.exitCode = broken === 0 ? 0 : 1;
}
