/** Estimates of prompt length, and chained digests by which engines identify cached prefix blocks. */
import {hashText} from './hash-text.js';

const charactersPerToken = 4;
/** Size of a block of the prefix cache, in tokens. */
export const blockTokens = 128;
const blockCharacters = blockTokens * charactersPerToken;
const base36 = 36;
const maxBlocks = 64;

/** Estimates the number of tokens of a text. */
export function countTokens(text: string): number {
	return Math.ceil(text.length / charactersPerToken);
}

/** Digests of a prompt's leading complete blocks, at most 64; each digest also covers all earlier blocks. */
export function digestBlocks(prompt: string): string[] {
	const blocks: string[] = [];
	let chain = '';
	for (let start = 0; start + blockCharacters <= prompt.length && blocks.length < maxBlocks; start += blockCharacters) {
		chain = hashText(chain + prompt.slice(start, start + blockCharacters)).toString(base36);
		blocks.push(chain);
	}

	return blocks;
}
