/* eslint-disable no-bitwise -- a hash mixes bits */
/** Non-cryptographic hashes that give the same result in every process. */

/** Constants of 32-bit FNV-1a and of the MurmurHash3 finalizer. */
const fnvPrime = 0x01_00_01_93;
const fnvOffsetBasis = 0x81_1C_9D_C5;
const firstMurmurMultiplier = 0x85_EB_CA_6B;
const secondMurmurMultiplier = 0xC2_B2_AE_35;

/** Hashes a text to an integer from 0 to 2^32 - 1: FNV-1a over its characters, then a mix of the bits. */
export function hashText(text: string): number {
	let hash = fnvOffsetBasis;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.codePointAt(index)!, fnvPrime);
	}

	return mixHashes(hash, 0);
}

/** Combines two hashes into one; every bit of the result depends on both. The order of the arguments matters. */
export function mixHashes(left: number, right: number): number {
	let hash = Math.imul(left ^ (right >>> 16) ^ (right << 11), firstMurmurMultiplier);
	hash = Math.imul(hash ^ (hash >>> 13) ^ right, secondMurmurMultiplier);
	return (hash ^ (hash >>> 16)) >>> 0;
}
