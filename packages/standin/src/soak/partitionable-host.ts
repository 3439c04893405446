/** Program of a host process that drops all messages to and from the peers that a test names. */
import process from 'node:process';
import {ownSignals} from '@gatehead/host/utils/own-signals';
import {PeerLinks} from '@gatehead/host/peer/peer-links';
import {settingsPathVariable} from '@gatehead/platform/boot-settings';
import {runProcess} from '@gatehead/platform/process';
import {partitionSignal, readPartition} from './partition.js';

const {send} = PeerLinks.prototype;
let blocked: readonly string[] = [];

PeerLinks.prototype.send = function (host, message) {
	this.blocked.clear();
	for (const peer of blocked) {
		this.blocked.add(peer);
	}

	send.call(this, host, message);
};

process.on(partitionSignal, () => {
	blocked = readPartition(process.env[settingsPathVariable] ?? '');
});
await runProcess(ownSignals);
