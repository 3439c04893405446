/** The thread of a `PausedEndpoint`. While it is blocked, its process looks stopped: its open connections are silent, and the kernel accepts as many new ones as its backlog holds. */
import {parentPort, workerData} from 'node:worker_threads';
import {startScriptedEndpoint, writeResponse, type ScriptedCall} from './scripted-endpoint.js';
import {bodyOf, streamOf} from './scripted-world.js';
import {type PausedEndpointData} from './paused-endpoint.js';

/** Connections that the kernel accepts for a blocked thread; Linux adds one. */
const backlog = 1;

const {stage, response, gate} = workerData as PausedEndpointData; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- written by the parent thread
let hasPaused = false;

function answer({target, id, headers, socket}: ScriptedCall): void {
	if (target.startsWith('/api/')) {
		socket.write(writeResponse(200, {'Keep-Alive': 'timeout=5'}, JSON.stringify({hold: 'hold'})));
		return;
	}

	parentPort?.postMessage({kind: 'run', id});
	if (hasPaused) {
		const body = stage === 'decode' ? streamOf(id, Number(headers.get('last-event-id') ?? 0)) : bodyOf(id);
		socket.write(writeResponse(200, {'Request-Id': id, 'Server-Seal': 'seal', ...(stage === 'decode' ? {'Content-Type': 'text/event-stream'} : {})}, body));
		return;
	}

	hasPaused = true;
	if (response !== '') {
		socket.write(response.replaceAll('ID', id));
	}

	parentPort?.postMessage({kind: 'pausing'});
	Atomics.wait(gate, 0, 0);
	// Closes the connection at once, without a turn of the event loop that would accept others
	socket.destroy();
	parentPort?.postMessage({kind: 'closed'});
	Atomics.wait(gate, 0, 1);
}

const {address} = await startScriptedEndpoint(answer, backlog);
parentPort?.postMessage({kind: 'listening', address});
