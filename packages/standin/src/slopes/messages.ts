/** What one message between hosts costs, both sides together: two real links in this process, at a steady pace. */
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {makeContext, type Context} from '@gatehead/host/core/context';
import {PeerLinks} from '@gatehead/host/peer/peer-links';
import {ignore} from '@gatehead/policy/utils/ignore';
import {seedRandom} from '@gatehead/policy/utils/random';
import {systemClock} from '@gatehead/policy/utils/clock';
import {peerBatch, type MemberRecord} from '@gatehead/schema/peer-message';
import {settings} from '@gatehead/schema/settings';

const windowMs = 4000;
const warmMs = 3000;
const microsecondsPerMillisecond = 1000;

function makeHost(host: string): Context {
	const anyPort = '127.0.0.1:0';
	return makeContext({
		settings: settings.parse({
			host, hall: 'hall', deployment: 'slopes', listen: {caller: anyPort, peer: anyPort, admin: anyPort}, platform: {configuration: '127.0.0.1:9', hosts: '127.0.0.1:9'}, keys: {tickets: ['ab'.repeat(32)], operators: [{name: 'o', publicKey: ''}], adminTokenDigest: 'cd'.repeat(32)},
		}), clock: systemClock, random: seedRandom(1), wall: () => Date.now(), log: ignore,
	});
}

function recordOf({self}: Context, peerAddress: string): MemberRecord {
	return {
		...self, hall: 'hall', region: 'region', counter: 0, state: 'alive', callerAddress: '', peerAddress, adminAddress: '', load: 0,
	};
}

/** Sends at a rate for a while; returns processor milliseconds a second. */
async function spend(send: () => void, rate: number, durationMs: number): Promise<number> {
	const before = process.cpuUsage();
	const start = performance.now();
	const timer = rate === 0 ? undefined : setInterval(send, 1000 / rate);
	await pause(durationMs);
	clearInterval(timer);
	const {user, system} = process.cpuUsage(before);
	return (user + system) / microsecondsPerMillisecond / ((performance.now() - start) / 1000);
}

/** Prints the cost of a message at a few rates. */
export async function measureMessages(): Promise<void> {
	const [left, right] = [makeHost('left'), makeHost('right')];
	let address = '';
	const listener = (context: Context) => ({
		onMessage: ignore, onLost: ignore, localRecord: () => recordOf(context, ''), addressOf: () => address,
	});
	const links = new PeerLinks(left, peerBatch, listener(left));
	const other = new PeerLinks(right, peerBatch, listener(right));
	address = await other.listen();
	const send = () => {
		links.send('right', {
			kind: 'ask', cell: 'model/0', ask: {
				request: 'host.12345678.1a', attempt: 1, caller: 'workspace', priority: 0, promptTokens: 1000, maxTokens: 200, blocks: ['a1b2c3', 'd4e5f6'], slackMs: 500, accepted: false,
			},
		});
	};

	await spend(send, 100, warmMs);
	const idle = await spend(send, 0, windowMs);
	process.stdout.write(`no messages: ${idle.toFixed(2)} ms/s for both sides\n`);
	for (const rate of [20, 50, 100]) {
		const used = await spend(send, rate, windowMs);
		process.stdout.write(`${rate} messages/s: ${used.toFixed(2)} ms/s, ${((used - idle) / rate).toFixed(3)} ms a message for both sides\n`);
	}

	links.close();
	other.close();
}
