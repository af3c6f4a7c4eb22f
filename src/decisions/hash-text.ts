/** Hashes of texts that are the same in every process. */

const hashOffset = 0x81_1C_9D_C5;
const hashPrime = 0x01_00_01_93;

/** FNV-1a, 32 bits. */
export function hashText(text: string): number {
	let hash = hashOffset;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.codePointAt(index)!, hashPrime); // eslint-disable-line no-bitwise
	}

	return mixBits(hash);
}

/** Spreads the differences of similar texts over all bits (finalizer of MurmurHash3). */
function mixBits(value: number): number {
	/* eslint-disable no-bitwise */
	let mixed = Math.imul(value ^ (value >>> 16), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
	/* eslint-enable no-bitwise */
}
