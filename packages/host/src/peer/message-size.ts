/**
 * Bounds what a batch in MessagePack encoding takes once it is decoded: a byte
 * can stand for an object, and five bytes can announce a list of any length.
 */

/** Bounds of a batch: several times the values of the largest configuration with all endpoints. */
const maxValues = 524_288;
/** Lists and objects among them, which take far more memory than other values. */
const maxContainers = 65_536;

/** First bytes of the encoding's ranges. */
const fixMap = 0x80;
const fixArray = 0x90;
const fixText = 0xA0;
const firstSized = 0xC0;
const negativeNumber = 0xE0;

/** What follows a first byte: a length of so many bytes, other bytes, or `items` values for each unit of the length. */
type Sized = {readonly lengthBytes: number; readonly otherBytes: number; readonly items: number};

const plain = (otherBytes: number): Sized => ({lengthBytes: 0, otherBytes, items: 0});
const sized = (lengthBytes: number, otherBytes = 0): Sized => ({lengthBytes, otherBytes, items: 0});
const container = (lengthBytes: number, items: number): Sized => ({lengthBytes, otherBytes: 0, items});

/** By first byte, from `firstSized` on. */
const sizes: readonly Sized[] = [
	// Nothing, unused, false, true
	plain(0),
	plain(0),
	plain(0),
	plain(0),
	// Bytes and extensions
	sized(1),
	sized(2),
	sized(4),
	sized(1, 1),
	sized(2, 1),
	sized(4, 1),
	// Numbers
	plain(4),
	plain(8),
	plain(1),
	plain(2),
	plain(4),
	plain(8),
	plain(1),
	plain(2),
	plain(4),
	plain(8),
	// Extensions of fixed length, with their type
	plain(2),
	plain(3),
	plain(5),
	plain(9),
	plain(17),
	// Texts
	sized(1),
	sized(2),
	sized(4),
	// Lists and objects
	container(2, 1),
	container(4, 1),
	container(2, 2),
	container(4, 2),
];

function readLength(bytes: Uint8Array, offset: number, lengthBytes: number): number {
	let length = 0;
	for (const byte of bytes.subarray(offset, offset + lengthBytes)) {
		length = (length * 256) + byte;
	}

	return length;
}

/** Whether bytes are one whole value within the bounds. */
export function isWithinBounds(bytes: Uint8Array): boolean {
	let offset = 0;
	let values = 1;
	let containers = 0;
	for (let read = 0; read < values; read += 1) {
		const first = bytes[offset];
		if (first === undefined) {
			return false;
		}

		offset += 1;
		if (first < fixMap || first >= negativeNumber) {
			continue;
		}

		if (first < fixText) {
			values += first < fixArray ? 2 * (first - fixMap) : first - fixArray;
			containers += 1;
		} else if (first < firstSized) {
			offset += first - fixText;
		} else {
			const {lengthBytes, otherBytes, items} = sizes[first - firstSized] ?? plain(0);
			const length = readLength(bytes, offset, lengthBytes);
			offset += lengthBytes + otherBytes + (items === 0 ? length : 0);
			values += items * length;
			containers += items === 0 ? 0 : 1;
		}

		if (values > maxValues || containers > maxContainers) {
			return false;
		}
	}

	return offset === bytes.length;
}
