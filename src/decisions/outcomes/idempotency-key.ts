/**
Parses idempotency keys and creates their prefixes.

A bound key has the form `<incarnation>~<bucket>.<random>`: the caller copies the part before the dot from a response
of `/v1/entries` and generates the rest. Any other value is a caller-made key.
*/

/** Length of an issue bucket, the unit of time in which key prefixes are issued, in milliseconds. */
export const bucketMilliseconds = 10_000;

/** Maximum length of a key, in characters. */
export const maximumKeyLength = 256;

export type IdempotencyKey
	/** A key bound to the incarnation that issued its prefix; only that incarnation dispatches calls with it. */
	= | {readonly kind: 'bound'; readonly text: string; readonly incarnation: string; readonly bucket: number}
		| {readonly kind: 'caller-made'; readonly text: string};

const boundKeyPattern = /^(?<incarnation>[\w\-]{1,64})~(?<bucket>[0-9a-z]{1,9})\.(?<random>[\u0021-\u007E]+)$/v;
const printablePattern = /^[\u0020-\u007E]+$/v;

/** Gets the issue bucket of a time in milliseconds since the epoch. */
export function getIssueBucket(epochMilliseconds: number): number {
	return Math.floor(epochMilliseconds / bucketMilliseconds);
}

/** Creates the prefix that callers put before the dot of a bound key; `epochMilliseconds` is the time of issue. */
export function createKeyPrefix(incarnation: string, epochMilliseconds: number): string {
	return `${incarnation}~${getIssueBucket(epochMilliseconds).toString(36)}`;
}

/** Parses the value of an `idempotency-key` header; undefined when it is empty, too long or contains characters other than printable ASCII. */
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
