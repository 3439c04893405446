/** `npm run demo -- --platform`: real host processes on the platform's stand-ins, every answer checked. */
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {endBed, makeBed, waitUntilServing} from '../soak/bed.js';
import {countRuns, judge, sendUntil} from '../soak/traffic.js';

const hostCount = 3;
const sendMs = 4000;

/** Plays a calm few seconds; returns whether every promise was kept. */
export async function showPlatform(seed: number): Promise<boolean> {
	const bed = await makeBed(seed, hostCount);
	try {
		await waitUntilServing(bed);
		let isOver = false;
		const sending = sendUntil(bed, () => isOver);
		await pause(sendMs);
		isOver = true;
		const sent = await sending;
		const runs = countRuns(bed);
		const broken = sent.map(each => judge(each, runs.get(each.id) ?? 0)).filter(text => text !== undefined);
		const whole = sent.filter(({answer}) => answer.status === 200 && answer.isWhole).length;
		for (const text of broken) {
			process.stdout.write(`${text}\n`);
		}

		process.stdout.write(`logs in ${bed.folder}\nplatform demo: ${whole} of ${sent.length} answers whole, ${broken.length} promises broken, ${bed.log.results.size} prefill results left behind\n`);
		return whole === sent.length && broken.length === 0;
	} finally {
		await endBed(bed);
	}
}
