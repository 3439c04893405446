/** Opens and closes a connection to find out whether an endpoint can be reached. Sends no byte. */
import {connect} from 'node:net';
import {splitAddress} from '@gatehead/schema/address';
import {type Clock} from '@gatehead/policy/utils/clock';

/** Result of a probe. */
export type ProbeResult = 'connected' | 'refused' | 'silent';

export type ConnectionProbe = {
	readonly clock: Clock;
	readonly address: string;
	/** Timeout in milliseconds. */
	readonly connectMs: number;
};

/** Probes an address; never rejects. */
export async function probeConnection({clock, address, connectMs}: ConnectionProbe): Promise<ProbeResult> {
	const {ip, port} = splitAddress(address);
	return new Promise<ProbeResult>(resolve => {
		const socket = connect({host: ip, port});
		const finish = (result: ProbeResult) => {
			timer.stop();
			socket.destroy();
			resolve(result);
		};

		const timer = clock.after(connectMs, () => {
			finish('silent');
		});
		socket.once('connect', () => {
			finish('connected');
		});
		// Never removed: an error may follow the timeout
		socket.on('error', () => {
			finish('refused');
		});
	});
}
