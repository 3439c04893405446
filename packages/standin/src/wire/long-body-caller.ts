/** A caller in a thread of its own that sends long bodies slowly, and reads only between two writes. */
import {Buffer} from 'node:buffer';
import {request as httpRequest} from 'node:http';
import {parentPort, workerData} from 'node:worker_threads';

const partBytes = 65_536;
const pauseMs = 5;

/** What the thread is started with. */
export type LongBodyTask = {
	readonly host: string;
	readonly port: number;
	readonly parts: number;
	readonly requests: number;
};

/** Sends one request; returns the status, or 0 if the connection failed. */
async function send({host, port, parts}: LongBodyTask, index: number): Promise<number> {
	return new Promise(resolve => {
		const call = httpRequest({
			host, port, method: 'POST', path: '/once/1', agent: false, headers: {Host: 'calls.example', 'Request-Id': `long-${index}`, 'Content-Length': parts * partBytes},
		});
		call.once('response', response => {
			response.once('end', () => {
				resolve(response.statusCode ?? 0);
			});
			response.resume();
		});
		call.once('error', () => {
			resolve(0);
		});
		let written = 0;
		const writeNext = () => {
			if (call.destroyed || written === parts) {
				return;
			}

			written += 1;
			call.write(Buffer.alloc(partBytes));
			Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, pauseMs);
			setImmediate(writeNext);
		};

		call.once('socket', socket => {
			socket.once('connect', writeNext);
		});
	});
}

const task = workerData as LongBodyTask; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the starter's own type
const statuses: number[] = [];
for (let index = 0; index < task.requests; index += 1) {
	statuses.push(await send(task, index));
}

parentPort?.postMessage(statuses);
