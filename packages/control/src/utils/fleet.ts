/** Asks every host of a fleet the same question; a host that does not answer is named, never left out. Neither safety nor efficiency rests here. */
import {readFileSync} from 'node:fs';
import {request as httpRequest, type IncomingMessage, type RequestOptions} from 'node:http';
import {request as httpsRequest} from 'node:https';
import process from 'node:process';
import {splitAddress} from '@gatehead/schema/address';
import {codes} from '@gatehead/schema/codes';
import {fail} from '@gatehead/schema/failure';
import {readFleet, type FleetFile} from './files.js';

const answerMs = 3000;

/** One host's answer, or why there is none. */
export type Answered<Answer>
	= | {readonly host: string; readonly ok: true; readonly answer: Answer}
		| {readonly host: string; readonly ok: false; readonly code: number; readonly reason: string};

type Check<Answer> = (data: unknown) => Answer;

async function readAll(response: IncomingMessage): Promise<string> {
	response.setEncoding('utf8');
	let text = '';
	for await (const chunk of response) {
		text += String(chunk);
	}

	return text;
}

async function get(fleet: FleetFile, address: string, path: string): Promise<{readonly status: number; readonly text: string}> {
	const {ip, port} = splitAddress(address);
	const {tls} = fleet;
	const token = process.env[fleet.tokenVariable];
	const options: RequestOptions = {
		host: ip, port, path, agent: false, signal: AbortSignal.timeout(answerMs), headers: token === undefined ? {} : {authorization: `Bearer ${token}`},
	};
	const response = await new Promise<IncomingMessage>((resolve, reject) => {
		const call = tls === undefined
			? httpRequest(options)
			: httpsRequest({
				...options, ca: readFileSync(tls.ca), cert: readFileSync(tls.certificate), key: readFileSync(tls.key),
			});
		call.once('response', resolve);
		call.once('error', reject);
		call.end();
	});
	return {status: response.statusCode ?? 0, text: await readAll(response)};
}

/** Whether any of the hosts is a relay. */
export function hasRelay({hosts}: FleetFile): boolean {
	return hosts.some(each => 'metricsAddress' in each);
}

/** Reads a list of own hosts; relays answer `status` alone. */
export function readHosts(path: string): FleetFile {
	const fleet = readFleet(path);
	return hasRelay(fleet) ? fail('argumentInvalid', {detail: `${path}: relays, which know the command status alone; name own hosts by their adminAddress`}) : fleet;
}

function addressOf(asked: FleetFile['hosts'][number]): string {
	return 'adminAddress' in asked ? asked.adminAddress : asked.metricsAddress;
}

/** Asks one host. */
export async function askHost<Answer>(fleet: FleetFile, asked: FleetFile['hosts'][number], path: string, check: Check<Answer>): Promise<Answered<Answer>> {
	const {host} = asked;
	try {
		const {status, text} = await get(fleet, addressOf(asked), path);
		if (status !== 200) {
			return {
				host, ok: false, code: status === 403 ? codes.peerRefused.number : codes.hostUnreachable.number, reason: `status ${status}: ${text.slice(0, 200)}`,
			};
		}

		return {host, ok: true, answer: check(JSON.parse(text))};
	} catch (error) {
		return {
			host, ok: false, code: codes.hostUnreachable.number, reason: error instanceof Error ? error.message : String(error),
		};
	}
}

/** Asks all hosts at once. */
export async function askFleet<Answer>(fleet: FleetFile, path: string, check: Check<Answer>): Promise<Array<Answered<Answer>>> {
	return Promise.all(fleet.hosts.map(async each => askHost(fleet, each, path, check)));
}
