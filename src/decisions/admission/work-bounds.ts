/** Remembers for how long requests were at upstreams lately, as a bound for how long another one may be. */

/** What was seen of one kind of work. */
export type SeenWork = {
	/** Number of requests whose work is known to have ended; 0 while one runs for longer than all that have ended, since they are then the short ones. */
	readonly finished: number;
	/** Number of requests that were given up, so that their work may have lasted longer. */
	readonly unfinished: number;
	/** Longest time for which one of them was at an upstream, or has been so far, in milliseconds. */
	readonly longestMilliseconds: number;
};

/** A request at an upstream. */
export type StartedWork = {
	recordEnd(end: WorkEnd, now: number): void;
	/** Forgets the request, since the upstream did not run it. */
	discard(): void;
};

/** How the work of a request ended; `failed` work may be shorter than others of its kind. */
export type WorkEnd = 'finished' | 'failed' | 'unfinished';

/** Durations of work, by the route and the service of its requests. */
export type WorkBounds = {
	/** Records that a request was sent to an upstream. */
	start(route: string, service: string, now: number): StartedWork;
	getSeen(route: string, service: string, now: number): SeenWork;
};

/** Time for which durations are remembered at least, in milliseconds; at most twice as long. */
export const windowMilliseconds = 3_600_000;

type Ended = Readonly<SeenWork>;

const none: Ended = {finished: 0, unfinished: 0, longestMilliseconds: 0};

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
				recordEnd(end, endedAt) {
					remove(key, request);
					rotate(endedAt);
					const {finished, unfinished, longestMilliseconds} = current.get(key) ?? none;
					current.set(key, {
						finished: finished + (end === 'finished' ? 1 : 0),
						unfinished: unfinished + (end === 'unfinished' ? 1 : 0),
						longestMilliseconds: Math.max(longestMilliseconds, endedAt - now),
					});
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
				finished: oldestRunningMilliseconds > longestEndedMilliseconds ? 0 : ended.reduce((sum, {finished}) => sum + finished, 0),
				unfinished: ended.reduce((sum, {unfinished}) => sum + unfinished, 0),
				longestMilliseconds: Math.max(longestEndedMilliseconds, oldestRunningMilliseconds),
			};
		},
	};
}
