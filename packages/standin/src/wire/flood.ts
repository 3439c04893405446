/** Bytes that an endpoint sends without end, until its connection is closed. */
import {type Socket} from 'node:net';

/** Size of one write of a flood, in bytes. */
const writeBytes = 65_536;
/** Interval between the bytes of a drip, in milliseconds. */
const dripIntervalMs = 5;

/** How a response begins, and what follows it without end. */
export type Flood = {
	readonly head: string;
	readonly repeated: string;
};

/** Sends a flood as fast as the other side reads, or one byte at a time. */
export function sendFlood(socket: Socket, {head, repeated}: Flood, isDrip: boolean): void {
	socket.write(head);
	if (isDrip) {
		let next = 0;
		const timer = setInterval(() => {
			socket.write(repeated[next % repeated.length] ?? '');
			next += 1;
		}, dripIntervalMs);
		socket.once('close', () => {
			clearInterval(timer);
		});
		return;
	}

	const part = repeated.repeat(Math.ceil(writeBytes / repeated.length));
	const writeMore = () => {
		while (!socket.destroyed && socket.write(part)) {
			// Until the connection takes no more
		}
	};

	socket.on('drain', writeMore);
	writeMore();
}

/** Interval between the parts of a paced flood, in milliseconds. */
const pacedIntervalMs = 20;
const millisecondsPerSecond = 1000;
const hexadecimal = 16;

/** Sends chunks without end, a number of bytes a second at most: many such bodies are open side by side before one reaches its own bound. */
export function sendPacedFlood(socket: Socket, head: string, bytesPerS: number): void {
	const size = Math.round(bytesPerS * pacedIntervalMs / millisecondsPerSecond);
	const part = `${size.toString(hexadecimal)}\r\n${'x'.repeat(size)}\r\n`;
	socket.write(head);
	const timer = setInterval(() => {
		if (!socket.writableNeedDrain) {
			socket.write(part);
		}
	}, pacedIntervalMs);
	socket.once('close', () => {
		clearInterval(timer);
	});
}
