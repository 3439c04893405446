/** Certificates for HTTP connections between hosts: the same as for their gRPC links. */
import {readFileSync} from 'node:fs';
import {fail} from '@gatehead/schema/failure';
import {type RelaySettings} from '@gatehead/schema/relay-settings';

/** Certificate authority, certificate and key, in PEM. */
export type PeerTls = {
	readonly ca: string;
	readonly cert: string;
	readonly key: string;
};

/** Reads the files that the settings name; undefined if hosts have no certificates. Throws `fileUnreadable`. */
export function readPeerTls(tls: RelaySettings['keys']['tls']): PeerTls | undefined {
	if (tls === undefined) {
		return undefined;
	}

	try {
		return {ca: readFileSync(tls.ca, 'utf8'), cert: readFileSync(tls.certificate, 'utf8'), key: readFileSync(tls.key, 'utf8')};
	} catch (error) {
		return fail('fileUnreadable', {cause: error, detail: 'keys.tls'});
	}
}
