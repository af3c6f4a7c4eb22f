/** Remembers for how long requests were at upstreams lately, as a bound for how long another one may be. */

/** What was seen of one kind of work. */
export type SeenWork = {
	/** Number of requests that have ended; 0 while one runs for longer than all of them, since they are then the short ones. */
	readonly requests: number;
	/** Longest time for which one of them was at an upstream, or has been so far, in milliseconds. */
	readonly longestMilliseconds: number;
};

/** A request at an upstream. */
export type StartedWork = {
	/** Records that the request has ended, or was given up. */
	recordEnd(now: number): void;
	/** Forgets the request, since the upstream did not run it. */
	discard(): void;
};

/** Durations of work, by the route and the service of its requests. */
export type WorkBounds = {
	/** Records that a request was sent to an upstream. */
	start(route: string, service: string, now: number): StartedWork;
	getSeen(route: string, service: string, now: number): SeenWork;
};

/** Time for which durations are remembered at least, in milliseconds; at most twice as long. */
export const windowMilliseconds = 600_000;

type Ended = {requests: number; longestMilliseconds: number};

/** Creates the memory without requests. */
export function createWorkBounds(): WorkBounds {
	/** Times at which the running requests were sent, in this order. */
	const running = new Map<string, Set<{readonly sentAt: number}>>();
	let current = new Map<string, Ended>();
	let previous = new Map<string, Ended>();
	let windowEndsAt = Number.NEGATIVE_INFINITY;

	function rotate(now: number): void {
		if (now < windowEndsAt) {
			return;
		}

		previous = now < windowEndsAt + windowMilliseconds ? current : new Map<string, Ended>();
		current = new Map<string, Ended>();
		windowEndsAt = now + windowMilliseconds;
	}

	function remove(key: string, request: {readonly sentAt: number}): void {
		const requests = running.get(key);
		requests?.delete(request);
		if (requests?.size === 0) {
			running.delete(key);
		}
	}

	const getKey = (route: string, service: string) => JSON.stringify([route, service]);

	return {
		start(route, service, now) {
			const key = getKey(route, service);
			const request = {sentAt: now};
			const requests = running.get(key) ?? new Set();
			running.set(key, requests.add(request));
			return {
				recordEnd(endedAt) {
					remove(key, request);
					rotate(endedAt);
					const {requests: count, longestMilliseconds} = current.get(key) ?? {requests: 0, longestMilliseconds: 0};
					current.set(key, {requests: count + 1, longestMilliseconds: Math.max(longestMilliseconds, endedAt - now)});
				},
				discard() {
					remove(key, request);
				},
			};
		},
		getSeen(route, service, now) {
			rotate(now);
			const key = getKey(route, service);
			const ended = [current, previous].flatMap(window => window.get(key) ?? []);
			const [oldest] = running.get(key) ?? [];
			const longestEndedMilliseconds = Math.max(0, ...ended.map(({longestMilliseconds}) => longestMilliseconds));
			const oldestRunningMilliseconds = oldest ? now - oldest.sentAt : 0;
			return {
				requests: oldestRunningMilliseconds > longestEndedMilliseconds ? 0 : ended.reduce((sum, {requests}) => sum + requests, 0),
				longestMilliseconds: Math.max(longestEndedMilliseconds, oldestRunningMilliseconds),
			};
		},
	};
}
