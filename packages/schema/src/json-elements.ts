/**
 * Elements of one list in a JSON object, taken from its text as it arrives, so
 * that a response can be larger than the memory of a process. Safety: an
 * element that is too long or too deep does not keep those behind it from being
 * read, and is never passed on in part but for a string that is empty instead.
 */

/** Characters outside strings that divide a text. */
const structural = new Set(['"', '[', ']', '{', '}', ',']);

type Structural = '"' | '[' | ']' | '{' | '}' | ',';

function isStructural(character: string): character is Structural {
	return structural.has(character);
}

const emptyString = '""';
/** Depth at which the list's elements stand: within the object and the list. */
const listDepth = 2;

/** Bounds of memory, in characters and levels. */
export type ElementLimits = {
	/** Longest string of an element; a longer one is replaced by an empty one. */
	readonly stringLength: number;
	/** Longest element, after such replacements. */
	readonly elementLength: number;
	/** Longest text of an element outside its strings: a list of empty objects takes thirty times the memory of its text. */
	readonly structureLength: number;
	/** Deepest nesting within an element, and within the rest of the object. */
	readonly depth: number;
	/** Longest text of the object without its elements. */
	readonly restLength: number;
};

/** Finds a character in a text from rising positions. Strings are long, so this takes a fraction of the time of a loop. */
class Occurrences {
	readonly #text: string;
	readonly #character: string;
	#found = -1;

	constructor(text: string, character: string) {
		this.#text = text;
		this.#character = character;
	}

	/** The next position at or behind `from`; the length of the text if there is none. */
	next(from: number): number {
		if (this.#found < from) {
			const found = this.#text.indexOf(this.#character, from);
			this.#found = found === -1 ? this.#text.length : found;
		}

		return this.#found;
	}
}

/** The text of an element as far as it has arrived. */
class ElementText {
	text = '';
	isTooLarge = false;
	/** Characters outside strings. */
	structureLength = 0;
	/** Length of `text` at the start of the string that is being read. */
	stringStart = 0;
}

/** Reads one JSON object with a list of elements; its text arrives in pieces. */
export class JsonElements {
	readonly #field: string;
	readonly #limits: ElementLimits;
	/** Called with each element; with undefined for one that exceeds the limits. */
	readonly #onElement: (element: unknown) => void;
	/** The object without the elements of its list. */
	#rest = '';
	/** Undefined outside the list. */
	#element: ElementText | undefined;
	#hasElements = false;
	#depth = 0;
	#isInString = false;
	/** Whether the string that is being read is left out. */
	#isSkippingString = false;
	#isEscaped = false;

	/** `field`: name of the list in the object. */
	constructor(field: string, limits: ElementLimits, onElement: (element: unknown) => void) {
		this.#field = field;
		this.#limits = limits;
		this.#onElement = onElement;
	}

	/** Reads the next piece. Throws if the rest of the object exceeds its limits, or if an element is malformed. */
	write(piece: string): void {
		const quotes = new Occurrences(piece, '"');
		const backslashes = new Occurrences(piece, '\\');
		let start = 0;
		for (let index = 0; index < piece.length; index += 1) {
			if (this.#isEscaped) {
				this.#isEscaped = false;
				continue;
			}

			if (this.#isInString) {
				const end = quotes.next(index);
				const escape = backslashes.next(index);
				index = Math.min(end, escape);
				if (escape < end) {
					this.#isEscaped = true;
				} else if (end < piece.length) {
					this.#append(piece.slice(start, end + 1));
					start = end + 1;
					this.#endString();
				}

				continue;
			}

			const character = piece[index] ?? '';
			if (!isStructural(character) || (character === ',' && !this.#isAtList)) {
				continue;
			}

			this.#append(piece.slice(start, index));
			start = index + this.#enter(character);
		}

		this.#append(piece.slice(start));
	}

	/** Returns the object with an empty list. Throws if it is malformed. */
	end(): unknown {
		return JSON.parse(this.#rest);
	}

	/** Handles a character outside strings that is part of the structure; returns 1 if it is not part of the text behind it, otherwise 0. */
	#enter(character: Structural): 0 | 1 {
		switch (character) {
			case '"': {
				this.#beginString();
				return 0;
			}

			case '[':
			case '{': {
				if (!this.#open(character)) {
					return 0;
				}

				this.#rest += character;
				return 1;
			}

			case ']':
			case '}': {
				if (this.#isAtList) {
					this.#endList();
				}

				this.#depth -= 1;
				return 0;
			}

			case ',': {
				this.#endElement();
				return 1;
			}
		}
	}

	/** Whether what is being read stands directly in the list. */
	get #isAtList(): boolean {
		return this.#element !== undefined && this.#depth === listDepth;
	}

	/** Enters an array or object; returns whether it is the list. */
	#open(character: '[' | '{'): boolean {
		this.#depth += 1;
		if (this.#element === undefined) {
			if (character === '[' && this.#depth === listDepth && this.#isFieldNamed()) {
				this.#element = new ElementText();
				this.#hasElements = false;
				return true;
			}

			if (this.#depth > this.#limits.depth) {
				throw new Error(`nested more than ${this.#limits.depth} deep`);
			}
		} else if (this.#depth - listDepth > this.#limits.depth) {
			this.#element.isTooLarge = true;
			this.#element.text = '';
		}

		return false;
	}

	/** Whether the text read last is the name of the list. */
	#isFieldNamed(): boolean {
		const name = this.#rest.trimEnd();
		return name.endsWith(':') && name.slice(0, -1).trimEnd().endsWith(`"${this.#field}"`);
	}

	#beginString(): void {
		this.#isInString = true;
		if (this.#element !== undefined) {
			this.#element.stringStart = this.#element.text.length;
		}
	}

	#endString(): void {
		this.#isInString = false;
		this.#isSkippingString = false;
	}

	#append(text: string): void {
		const element = this.#element;
		if (element === undefined) {
			this.#rest += text;
			if (this.#rest.length > this.#limits.restLength) {
				throw new Error(`longer than ${this.#limits.restLength} characters without its ${this.#field}`);
			}

			return;
		}

		if (element.isTooLarge || this.#isSkippingString) {
			return;
		}

		element.text += text;
		if (this.#isInString && element.text.length - element.stringStart > this.#limits.stringLength) {
			element.text = element.text.slice(0, element.stringStart) + emptyString;
			this.#isSkippingString = true;
		}

		element.structureLength += this.#isInString ? 0 : text.length;
		if (element.text.length > this.#limits.elementLength || element.structureLength > this.#limits.structureLength) {
			element.isTooLarge = true;
			element.text = '';
		}
	}

	#endElement(): void {
		const {text, isTooLarge} = this.#element ?? new ElementText();
		this.#element = new ElementText();
		this.#hasElements = true;
		this.#onElement(isTooLarge ? undefined : JSON.parse(text));
	}

	#endList(): void {
		const {text = '', isTooLarge = false} = this.#element ?? {};
		if (this.#hasElements || isTooLarge || text.trim() !== '') {
			this.#endElement();
		}

		this.#element = undefined;
	}
}
