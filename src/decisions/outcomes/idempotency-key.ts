/**
The two forms of an idempotency key.

A bound key is `<incarnation>~<bucket>.<random>`: the caller takes the part before the dot from `/v1/entries` and
makes up the rest. Every other text is a key of the caller's own making.
*/

/** Width of an issue bucket in milliseconds. */
export const bucketMilliseconds = 10_000;

/** Longest key that is accepted, in characters. */
export const maximumKeyLength = 256;

export type IdempotencyKey
	/** Bound to the incarnation that issued its prefix; only that incarnation dispatches it. */
	= | {readonly kind: 'bound'; readonly text: string; readonly incarnation: string; readonly bucket: number}
		| {readonly kind: 'caller-made'; readonly text: string};

const boundKeyPattern = /^(?<incarnation>[\w\-]{1,64})~(?<bucket>[0-9a-z]{1,9})\.(?<random>[\u0021-\u007E]+)$/v;
const printablePattern = /^[\u0020-\u007E]+$/v;

/** Gets the issue bucket of a time in milliseconds since the epoch. */
export function getIssueBucket(wallNow: number): number {
	return Math.floor(wallNow / bucketMilliseconds);
}

/** Creates the text that callers put before the dot of a bound key. */
export function createKeyPrefix(incarnation: string, wallNow: number): string {
	return `${incarnation}~${getIssueBucket(wallNow).toString(36)}`;
}

/** Reads the value of an `idempotency-key` header; undefined when it is empty, too long or not printable. */
export function tryParseIdempotencyKey(header: string): IdempotencyKey | undefined {
	const text = header.trim().replace(/^"(?<quoted>.*)"$/v, '$<quoted>');
	if (text.length === 0 || text.length > maximumKeyLength || !printablePattern.test(text)) {
		return undefined;
	}

	const groups = boundKeyPattern.exec(text)?.groups;
	if (!groups) {
		return {kind: 'caller-made', text};
	}

	return {
		kind: 'bound', text, incarnation: groups.incarnation!, bucket: Number.parseInt(groups.bucket!, 36),
	};
}
