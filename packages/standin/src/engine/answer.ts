/** The stand-in's answers: told by prompt and token number alone, so that a test can say which answer belongs to which request. */
import {digestOf} from '@gatehead/schema/canonical-json';

const shortestShare = 0.3;
const digestCharacters = 8;
const twoTo32 = 4_294_967_296;

/** How many tokens the engine generates for a prompt. */
export function answerLength(prompt: string, maxTokens: number): number {
	const share = Number.parseInt(digestOf(prompt).slice(-digestCharacters), 16) / twoTo32;
	return Math.max(1, Math.ceil(maxTokens * (shortestShare + ((1 - shortestShare) * share))));
}

/** Token number `n` of the answer to a prompt, given the prompt's digest. */
export function answerToken(promptDigest: string, n: number): string {
	return ` ${promptDigest.slice(0, digestCharacters)}.${n}`;
}

/** The whole answer to a prompt. */
export function wholeAnswer(prompt: string, maxTokens: number): string {
	const digest = digestOf(prompt);
	return Array.from({length: answerLength(prompt, maxTokens)}, (_, n) => answerToken(digest, n)).join('');
}
