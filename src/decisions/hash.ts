/* eslint-disable no-bitwise -- a hash mixes bits */
/** Hashes that are the same in every process. */

const hashPrime = 0x01_00_01_93;
const hashStart = 0x81_1C_9D_C5;
const firstMultiplier = 0x85_EB_CA_6B;
const secondMultiplier = 0xC2_B2_AE_35;

/** Hashes a text to an integer below 2^32. */
export function hashText(text: string): number {
	let hash = hashStart;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.codePointAt(index)!, hashPrime);
	}

	return mixHashes(hash, 0);
}

/** Mixes two hashes into one whose bits all depend on both. */
export function mixHashes(left: number, right: number): number {
	let hash = Math.imul(left ^ (right >>> 16) ^ (right << 11), firstMultiplier);
	hash = Math.imul(hash ^ (hash >>> 13) ^ right, secondMultiplier);
	return (hash ^ (hash >>> 16)) >>> 0;
}
