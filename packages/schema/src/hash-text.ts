/** A fast, non-cryptographic hash for distribution and hints. */

const offset = 2_166_136_261;
const prime = 16_777_619;

/** 32-bit FNV-1a with a finalizer, so that similar names are distributed evenly. */
export function hashText(text: string): number {
	let hash = offset;
	for (let index = 0; index < text.length; index += 1) {
		hash = Math.imul(hash ^ text.charCodeAt(index), prime); // eslint-disable-line unicorn/prefer-code-point -- the hot path hashes code units
	}

	hash = Math.imul(hash ^ (hash >>> 16), 2_246_822_507);
	hash = Math.imul(hash ^ (hash >>> 13), 3_266_489_909);
	return (hash ^ (hash >>> 16)) >>> 0;
}
