/** `gateheadctl explain CODE`: one row of the table of result codes, by number or name. Neither safety nor efficiency rests here. */
import {codeNames, codes, findCode} from '@gatehead/schema/codes';
import {fail} from '@gatehead/schema/failure';
import {exitCodes, print, printJson} from '../utils/output.js';

/** Prints a code's row. */
export function explainCode(wanted: string, isJson: boolean): number {
	const name = codeNames.find(each => each === wanted) ?? findCode(Number(wanted)) ?? fail('argumentInvalid', {detail: `no result code ${wanted}, docs/CODES.md lists them`});
	const {number, status, ran, advice} = codes[name];
	if (isJson) {
		printJson({
			number, name, status, ran, advice,
		});
		return exitCodes.ok;
	}

	print(`${number} ${name}`);
	print(advice);
	print(status === 0 ? 'Not sent to callers.' : `HTTP status ${status}, ran: ${ran} unless the answer says otherwise.`);
	return exitCodes.ok;
}
