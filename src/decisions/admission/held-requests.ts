/**
Orders the requests of one service that wait for a free slot.

Requests that can still meet their latency objective go first. Within each group, requests are ordered by priority and
then by the time at which their objective ends.
*/

/** Request that waits for a free slot. */
export type HeldRequest = {
	/** Priority of the route; 0 is the highest. */
	readonly priority: number;
	/** Time at which the latency objective of the request ends. */
	readonly objectiveEndsAt: number;
	/** Time at which the request is refused if no slot has become free. */
	readonly expiresAt: number;
	/** Expected time from sending the request to its answer, in milliseconds. */
	readonly expectedMilliseconds: number;
};

/** Returns the request to send next; undefined when none waits. */
export function findNextRequest<Item extends HeldRequest>(requests: Iterable<Item>, now: number): Item | undefined {
	let next: Item | undefined;
	for (const request of requests) {
		if (next === undefined || hasPrecedence(request, next, now)) {
			next = request;
		}
	}

	return next;
}

function hasPrecedence(left: HeldRequest, right: HeldRequest, now: number): boolean {
	const canLeftMeetObjective = now + left.expectedMilliseconds <= left.objectiveEndsAt;
	const canRightMeetObjective = now + right.expectedMilliseconds <= right.objectiveEndsAt;
	if (canLeftMeetObjective !== canRightMeetObjective) {
		return canLeftMeetObjective;
	}

	return left.priority === right.priority ? left.objectiveEndsAt < right.objectiveEndsAt : left.priority < right.priority;
}
