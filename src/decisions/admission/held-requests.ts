/**
Orders the requests of one service that wait for room.

Those that can still be answered within their objective go first, by rank and then by the end of their objective; the
others take what is left, by rank and then by their arrival.
*/

/** A request that waits. */
export type HeldRequest = {
	/** Rank of the route; 0 goes first. */
	readonly priority: number;
	/** Time until which an answer is worth its full value. */
	readonly objectiveAt: number;
	/** Time at which the request is given up. */
	readonly giveUpAt: number;
	/** Expected time from sending to the answer, in milliseconds. */
	readonly expectedMilliseconds: number;
};

/** Gets the request to send next; undefined where none waits. */
export function chooseNext<Held extends HeldRequest>(held: Iterable<Held>, now: number): Held | undefined {
	let best: Held | undefined;
	for (const request of held) {
		if (best === undefined || goesBefore(request, best, now)) {
			best = request;
		}
	}

	return best;
}

function goesBefore(left: HeldRequest, right: HeldRequest, now: number): boolean {
	const isLeftInTime = now + left.expectedMilliseconds <= left.objectiveAt;
	const isRightInTime = now + right.expectedMilliseconds <= right.objectiveAt;
	if (isLeftInTime !== isRightInTime) {
		return isLeftInTime;
	}

	return left.priority === right.priority ? left.objectiveAt < right.objectiveAt : left.priority < right.priority;
}
