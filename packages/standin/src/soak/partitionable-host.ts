/** Program of a host process that drops all messages to and from its peers while a test says so. */
import process from 'node:process';
import {PeerLinks} from '@gatehead/host/peer/peer-links';
import {runProcess} from '@gatehead/platform/process';
import {partitionSignal} from './partition-signal.js';

/** Peers to which messages have been sent. */
const peers = new Set<string>();
const {send} = PeerLinks.prototype;
let isPartitioned = false;

PeerLinks.prototype.send = function (host, message) {
	peers.add(host);
	if (!isPartitioned) {
		this.blocked.clear();
	}

	for (const peer of isPartitioned ? peers : []) {
		this.blocked.add(peer);
	}

	send.call(this, host, message);
};

process.on(partitionSignal, () => {
	isPartitioned = !isPartitioned;
});
await runProcess();
