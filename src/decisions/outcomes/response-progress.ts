/**
Judges whether the bytes that an upstream sends lead to a response.

Bytes without end in a head, in interim responses, in chunk extensions or in trailers never become one. Silence is no
sign of that, since an upstream may work for a long time before and between the parts of its response.
*/

/** What was received of a response so far. */
export type ReceivedParts = {
	/** Number of bytes received on the connection. */
	readonly bytes: number;
	/** Number of interim responses. */
	readonly interimResponses: number;
	/** Number of parts of the final response: its head, and each piece of its body. */
	readonly finalParts: number;
};

/** Follows the progress of one response. */
export type ResponseProgress = {
	/** Records what was received until now; returns whether the response has no end. */
	observe(received: ReceivedParts, now: number): boolean;
};

/** Time for which bytes may arrive without completing any part, in milliseconds. */
const maximumUnproductiveMilliseconds = 1000;
/** An upstream sends one or two interim responses, such as 100 and 103. */
const maximumInterimResponses = 16;

/** Creates the progress of a response of which nothing has been received; `bytes` is the number that was received on the connection before. */
export function createResponseProgress(bytes: number): ResponseProgress {
	let lastPart = {bytes, count: 0};
	let unproductiveSince: number | undefined;
	return {
		observe(received, now) {
			const count = received.interimResponses + received.finalParts;
			if (received.interimResponses > maximumInterimResponses) {
				return true;
			}

			if (count !== lastPart.count) {
				lastPart = {bytes: received.bytes, count};
				unproductiveSince = undefined;
				return false;
			}

			if (received.bytes === lastPart.bytes) {
				return false;
			}

			unproductiveSince ??= now;
			return now - unproductiveSince >= maximumUnproductiveMilliseconds;
		},
	};
}
