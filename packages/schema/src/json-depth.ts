/** Nesting depth of JSON text, checked before it is parsed: each level costs the parser about thirty times the memory of its text. */

const quote = '"'.codePointAt(0);
const backslash = '\\'.codePointAt(0);
const opening: ReadonlySet<number | undefined> = new Set(['[', '{'].map(each => each.codePointAt(0)));
const closing: ReadonlySet<number | undefined> = new Set([']', '}'].map(each => each.codePointAt(0)));

/** Whether arrays and objects are nested more than `maxDepth` deep. Of text that is no JSON, the result is arbitrary. */
export function isNestedDeeper(text: string, maxDepth: number): boolean {
	let depth = 0;
	let isInString = false;
	for (let index = 0; index < text.length; index += 1) {
		const unit = text.charCodeAt(index); // eslint-disable-line unicorn/prefer-code-point -- each code unit once
		if (isInString) {
			index += unit === backslash ? 1 : 0;
			isInString = unit !== quote;
		} else if (unit === quote) {
			isInString = true;
		} else if (opening.has(unit)) {
			depth += 1;
			if (depth > maxDepth) {
				return true;
			}
		} else if (closing.has(unit)) {
			depth -= 1;
		}
	}

	return false;
}
