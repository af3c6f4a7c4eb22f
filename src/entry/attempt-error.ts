/** Names the reasons of failed attempts for logs. No decision depends on them. */

/** Error of an attempt whose response has an invalid status. */
export class InvalidStatusError extends Error {
	override readonly name = 'InvalidStatusError';

	constructor(statusCode: number) {
		super(`The upstream answered with the invalid status ${statusCode}.`);
	}
}

const parserErrorName = 'HTTPParserError';
/** Only the text of the client's error tells a status that it can't parse from other bytes that are no response. */
const unparsableStatusPattern = /\bstatus\b/v;
const unrequestedUpgradeMessage = 'bad upgrade';

/** Gets the reason of a failed attempt. */
export function getFailureReason(error: Error): string {
	if (error instanceof InvalidStatusError || error.message === unrequestedUpgradeMessage) {
		return 'invalid-status';
	}

	if (error.name === parserErrorName) {
		return unparsableStatusPattern.test(error.message) ? 'invalid-status' : 'malformed-answer';
	}

	return 'code' in error ? String(error.code) : error.message;
}
