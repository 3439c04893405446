/** The `gateheadctl explain` command. */
import {codeNames, codes, findCode} from '@gatehead/schema/codes';
import {fail} from '@gatehead/schema/failure';
import {exitCodes, print, printJson} from '../utils/output.js';

/** Prints the description of a result code. Throws `argumentInvalid` for an unknown code. */
export function explainCode(codeOrName: string, isJson: boolean): number {
	const name = codeNames.find(each => each === codeOrName) ?? findCode(Number(codeOrName)) ?? fail('argumentInvalid', {detail: `unknown result code ${codeOrName}, see docs/CODES.md`});
	const {number, status, ran, advice} = codes[name];
	if (isJson) {
		printJson({
			number, name, status, ran, advice,
		});
		return exitCodes.ok;
	}

	print(`${number} ${name}`);
	print(advice);
	print(status === 0 ? 'Not sent to callers.' : `HTTP status ${status}, ran: ${ran} unless the response states otherwise.`);
	return exitCodes.ok;
}
