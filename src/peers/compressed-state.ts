/**
Compresses parts of the state that many followers receive.

A source may have to send the same configuration or list to hundreds of followers at once. Each part is encoded and
compressed once, and kept as long as the value that it was made from.
*/
import * as zlib from 'node:zlib';

/** Encodes values and keeps the result of each. */
export type StateCompressor<Value extends WeakKey> = {
	/** Returns the compressed form of a value; the same bytes for the same value. */
	compress(value: Value): Uint8Array;
};

/** Maximum size of a decompressed part, in bytes. */
const maximumBytes = 16 * 1024 * 1024;

/** Creates a compressor that converts values to bytes by `encode`. */
export function createStateCompressor<Value extends WeakKey>(encode: (value: Value) => Uint8Array | string): StateCompressor<Value> {
	const compressed = new WeakMap<Value, Uint8Array>();
	return {
		compress(value) {
			const known = compressed.get(value);
			if (known) {
				return known;
			}

			const bytes = zlib.gzipSync(encode(value));
			compressed.set(value, bytes);
			return bytes;
		},
	};
}

/** Decompresses a part; throws if it isn't compressed or too large. */
export function decompress(bytes: Uint8Array): Uint8Array {
	return zlib.gunzipSync(bytes, {maxOutputLength: maximumBytes});
}
