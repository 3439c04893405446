/**
 * Prompt length in tokens and the chain of digests by which engines name the
 * leading blocks that they cache. Efficiency: an estimate prices work, no promise rests on it.
 */
import {hashText} from './hash-text.js';

const charactersPerToken = 4;
/** Tokens of one block of the prefix cache. */
export const blockTokens = 128;
const blockCharacters = blockTokens * charactersPerToken;
const base36 = 36;
const mostBlocks = 64;

/** Estimated tokens of a text. */
export function countTokens(text: string): number {
	return Math.ceil(text.length / charactersPerToken);
}

/** Digests of a prompt's leading whole blocks; each covers all before it. At most 64. */
export function digestBlocks(prompt: string): string[] {
	const blocks: string[] = [];
	let chain = '';
	for (let start = 0; start + blockCharacters <= prompt.length && blocks.length < mostBlocks; start += blockCharacters) {
		chain = hashText(chain + prompt.slice(start, start + blockCharacters)).toString(base36);
		blocks.push(chain);
	}

	return blocks;
}
