/** Addresses by IP number, as every process learns them from settings, host list or bundle. Neither safety nor efficiency rests here. */
import {isIP} from 'node:net';
import {z} from 'zod';

const largestPort = 65_535;

function isAddress(text: string): boolean {
	const colon = text.lastIndexOf(':');
	const port = Number(text.slice(colon + 1));
	const ip = text.slice(0, colon).replace(/^\[(?<inner>.*)\]$/v, '$<inner>');
	return colon > 0 && isIP(ip) !== 0 && Number.isInteger(port) && port >= 0 && port <= largestPort;
}

/** `IP:PORT`, with brackets around an IPv6 number; port 0 lets the system choose. */
export const address = z.string().refine(isAddress, 'IP:PORT with an IP number');

/** An address split into its parts. */
export type AddressParts = {
	readonly ip: string;
	readonly port: number;
};

/** Splits a checked address. */
export function splitAddress(text: string): AddressParts {
	const colon = text.lastIndexOf(':');
	return {ip: text.slice(0, colon).replaceAll(/[\[\]]/gv, ''), port: Number(text.slice(colon + 1))};
}

/** Joins an IP number and a port. */
export function joinAddress({ip, port}: AddressParts): string {
	return isIP(ip) === 6 ? `[${ip}]:${port}` : `${ip}:${port}`;
}
