/** Socket addresses in the form `IP:PORT`. */
import {isIP} from 'node:net';
import {z} from 'zod';

const maxPort = 65_535;

function isAddress(text: string): boolean {
	const colon = text.lastIndexOf(':');
	const port = Number(text.slice(colon + 1));
	const ip = text.slice(0, colon).replace(/^\[(?<inner>.*)\]$/v, '$<inner>');
	return colon > 0 && isIP(ip) !== 0 && Number.isInteger(port) && port >= 0 && port <= maxPort;
}

/** `IP:PORT`, with brackets around an IPv6 address; port 0 selects a free port. */
export const address = z.string().refine(isAddress, 'IP:PORT with an IP number');

export type AddressParts = {
	readonly ip: string;
	readonly port: number;
};

/** Splits an address that the schema has validated. */
export function splitAddress(text: string): AddressParts {
	const colon = text.lastIndexOf(':');
	return {ip: text.slice(0, colon).replaceAll(/[\[\]]/gv, ''), port: Number(text.slice(colon + 1))};
}

export function joinAddress({ip, port}: AddressParts): string {
	return isIP(ip) === 6 ? `[${ip}]:${port}` : `${ip}:${port}`;
}
