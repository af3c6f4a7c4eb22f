/**
Judges whether the bytes that an upstream sends lead to a response in time.

Bytes without end in a head, in interim responses, in chunk extensions or in trailers never become one, and a body may
arrive so slowly that it can't be complete before the deadline. Silence is no sign of either, since an upstream may work
for a long time before and between the parts of its response.
*/

/** What was received of a response so far. */
export type ReceivedParts = {
	/** Number of bytes received on the connection. */
	readonly bytes: number;
	/** Number of interim responses. */
	readonly interimResponses: number;
	/** Number of parts of the final response: its head, and each piece of its body. */
	readonly finalParts: number;
	/** Number of bytes of the body. */
	readonly bodyBytes: number;
	/** Length of the body, if the head states it. */
	readonly bodyLength: number | undefined;
};

/** What is known of a response before it begins. */
export type ExpectedResponse = {
	/** Number of bytes that were received on the connection before. */
	readonly bytes: number;
	/** Time after which the upstream's pace promised the response, in milliseconds. */
	readonly expectedMilliseconds: number;
	readonly startedAt: number;
	readonly deadlineAt: number;
};

/** Follows the progress of one response. */
export type ResponseProgress = {
	/** Records what was received until now; returns whether the response has no end, or comes too late. */
	observe(received: ReceivedParts, now: number): boolean;
};

/** Bounds of the time for which bytes may arrive without completing any part, in milliseconds; between them, the promised time. */
const minimumUnproductiveMilliseconds = 150;
const maximumUnproductiveMilliseconds = 1000;
/** Number of observations with new bytes from which on a part that is not complete is not merely late; one less suffices after twice the time. */
const minimumGrowths = 3;
/** An upstream that works for long may repeat an interim response, such as 102. */
const maximumInterimResponses = 16;
/** Otherwise it sends one or two, such as 100 and 103: more than this many are endless if they follow one another within this time on average, in milliseconds. */
const usualInterimResponses = 2;
const quickInterimMilliseconds = 500;
/** Number of parts from which on a body has a pace; with fewer, it must be too slow by a factor. */
const minimumPacedParts = 8;
const minimumHopelessParts = 3;
const hopelessFactor = 10;
/** Time for which a body of unknown length may arrive below the minimum pace: a multiple of the promised time, at least so many milliseconds. */
const slowBodyTimes = 2;
const minimumSlowBodyMilliseconds = 300;
/** Pace below which a body of unknown length is slow, in bytes for each second. */
const minimumBytesPerSecond = 2000;
const millisecondsPerSecond = 1000;

/** Creates the progress of a response of which nothing has been received. */
export function createResponseProgress({bytes, expectedMilliseconds, startedAt, deadlineAt}: ExpectedResponse): ResponseProgress {
	const unproductiveMilliseconds = Math.min(maximumUnproductiveMilliseconds, Math.max(minimumUnproductiveMilliseconds, expectedMilliseconds));
	const slowBodyMilliseconds = Math.max(minimumSlowBodyMilliseconds, slowBodyTimes * expectedMilliseconds);
	let lastBytes = bytes;
	let lastCount = 0;
	/** Number of observations with new bytes since the last part. */
	let growths = 0;
	let unproductiveSince: number | undefined;
	let interimSince: number | undefined;
	let bodySince: number | undefined;

	function hasEndlessInterim({interimResponses}: ReceivedParts, now: number): boolean {
		if (interimResponses === 0) {
			return false;
		}

		interimSince ??= now;
		const milliseconds = now - interimSince;
		const isQuick = interimResponses > usualInterimResponses && milliseconds >= unproductiveMilliseconds && milliseconds < interimResponses * quickInterimMilliseconds;
		return isQuick || interimResponses > maximumInterimResponses;
	}

	/** Whether a body comes at a pace at which it isn't complete in time. */
	function isTooSlow({finalParts, bodyBytes, bodyLength}: ReceivedParts, now: number): boolean {
		if (finalParts === 0) {
			return false;
		}

		bodySince ??= now;
		const milliseconds = now - bodySince;
		const isPaced = finalParts >= minimumPacedParts;
		if (finalParts < minimumHopelessParts || milliseconds < (isPaced && bodyLength !== undefined ? unproductiveMilliseconds : slowBodyMilliseconds)) {
			return false;
		}

		const factor = isPaced ? 1 : hopelessFactor;
		const bytesPerMillisecond = bodyBytes / milliseconds;
		return bodyLength === undefined
			? bytesPerMillisecond * millisecondsPerSecond * factor < minimumBytesPerSecond
			: (bodyLength - bodyBytes) / bytesPerMillisecond > (isPaced ? deadlineAt - now : hopelessFactor * (deadlineAt - startedAt));
	}

	return {
		observe(received, now) {
			const count = received.interimResponses + received.finalParts;
			if (hasEndlessInterim(received, now) || isTooSlow(received, now)) {
				return true;
			}

			if (count !== lastCount) {
				lastCount = count;
				lastBytes = received.bytes;
				growths = 0;
				unproductiveSince = undefined;
				return false;
			}

			if (received.bytes === lastBytes) {
				return false;
			}

			lastBytes = received.bytes;
			growths++;
			unproductiveSince ??= now;
			const milliseconds = now - unproductiveSince;
			return (growths >= minimumGrowths && milliseconds >= unproductiveMilliseconds) || (growths === minimumGrowths - 1 && milliseconds >= 2 * unproductiveMilliseconds);
		},
	};
}
