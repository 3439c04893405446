/** Queries all hosts of a fleet over HTTP; an unreachable host yields an error result. */
import {readFileSync} from 'node:fs';
import {request as httpRequest, type RequestOptions} from 'node:http';
import {request as httpsRequest} from 'node:https';
import process from 'node:process';
import {readText} from '@gatehead/host/core/http-call';
import {receiveHead} from '@gatehead/host/utils/response-head';
import {parserOptions} from '@gatehead/host/utils/response-syntax';
import {splitAddress} from '@gatehead/schema/address';
import {codes} from '@gatehead/schema/codes';
import {fail} from '@gatehead/schema/failure';
import {readFleet, type FleetFile} from './files.js';

const requestTimeoutMs = 3000;
/** Maximum length of a response, in UTF-16 code units. */
const maxResponseLength = 16_777_216;

/** A host's response, or the error code and reason of a failed query. */
export type HostResult<Answer>
	= | {readonly host: string; readonly ok: true; readonly answer: Answer}
		| {readonly host: string; readonly ok: false; readonly code: number; readonly reason: string};

type ResponseParser<Answer> = (data: unknown) => Answer;

async function get(fleet: FleetFile, address: string, path: string): Promise<{readonly status: number; readonly text: string}> {
	const {ip, port} = splitAddress(address);
	const {tls} = fleet;
	const token = process.env[fleet.tokenVariable];
	const options: RequestOptions = {
		host: ip, port, path, agent: false, signal: AbortSignal.timeout(requestTimeoutMs), headers: token === undefined ? {} : {authorization: `Bearer ${token}`}, ...parserOptions,
	};
	const call = tls === undefined
		? httpRequest(options)
		: httpsRequest({
			...options, ca: readFileSync(tls.ca), cert: readFileSync(tls.certificate), key: readFileSync(tls.key),
		});
	call.end();
	const response = await receiveHead(call);
	return {status: response.statusCode ?? 0, text: await readText(response, maxResponseLength)};
}

/** Whether the fleet contains a relay. */
export function hasRelay({hosts}: FleetFile): boolean {
	return hosts.some(each => 'metricsAddress' in each);
}

/** Reads a fleet file for a command that relays do not support. Throws `argumentInvalid` if it contains a relay. */
export function readHosts(path: string): FleetFile {
	const fleet = readFleet(path);
	return hasRelay(fleet) ? fail('argumentInvalid', {detail: `${path}: relays support only the status command; list other hosts with their adminAddress`}) : fleet;
}

function addressOf(target: FleetFile['hosts'][number]): string {
	return 'adminAddress' in target ? target.adminAddress : target.metricsAddress;
}

/** Queries one host; never throws. */
export async function queryHost<Answer>(fleet: FleetFile, target: FleetFile['hosts'][number], path: string, parse: ResponseParser<Answer>): Promise<HostResult<Answer>> {
	const {host} = target;
	try {
		const {status, text} = await get(fleet, addressOf(target), path);
		if (status !== 200) {
			return {
				host, ok: false, code: status === 403 ? codes.peerRefused.number : codes.hostUnreachable.number, reason: `status ${status}: ${text.slice(0, 200)}`,
			};
		}

		return {host, ok: true, answer: parse(JSON.parse(text))};
	} catch (error) {
		return {
			host, ok: false, code: codes.hostUnreachable.number, reason: error instanceof Error ? error.message : String(error),
		};
	}
}

/** Queries all hosts concurrently. */
export async function queryFleet<Answer>(fleet: FleetFile, path: string, parse: ResponseParser<Answer>): Promise<Array<HostResult<Answer>>> {
	return Promise.all(fleet.hosts.map(async each => queryHost(fleet, each, path, parse)));
}
