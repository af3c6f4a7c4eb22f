/**
Keeps the rate limits that upstreams have stated for all entries together.

A limit belongs to one incarnation of an upstream. It is heard in the upstream's own responses or from another entry, and
holds until a later response states another limit or none. After the end of a limit, the share of the selections in which
an entry considers the upstream grows from 0 to 1, so that the entries don't return to it at the same moment.
*/

/** What one incarnation of an upstream stated about its rate limit. */
export type RateLimitStatement = {
	readonly upstreamId: string;
	readonly incarnation: number;
	/** Requests per second that the upstream accepts from all entries together; undefined if it states no limit. */
	readonly requestsPerSecond: number | undefined;
	/** Time at which an entry received the statement from the upstream. */
	readonly heardAt: number;
};

/** Statements that are newer than a revision. */
export type RateLimitUpdate = {
	readonly revision: number;
	readonly statements: readonly RateLimitStatement[];
};

/** Identity of one incarnation of an upstream. */
export type UpstreamIncarnation = {readonly id: string; readonly incarnation: number};

/** The rate limits of all upstreams. */
export type RateLimits = {
	/** Records a statement unless a newer one is known. Returns whether it changes the limit of the upstream. */
	record(statement: RateLimitStatement): boolean;
	/** Gets the limit of an upstream in requests per second; undefined if it has none. */
	getLimit(upstream: UpstreamIncarnation): number | undefined;
	/** Gets the share of the selections that may consider the upstream, from 0 while it has a limit to 1. */
	getSelectionShare(upstream: UpstreamIncarnation, now: number): number;
	/** Gets the statements that changed a limit after a revision of this table; all of them for -1. */
	getUpdate(since: number): RateLimitUpdate;
	/** Forgets the upstreams that are no longer registered. */
	retain(isRegistered: (id: string) => boolean): void;
};

/** Time after the end of a limit until an upstream is considered in all selections, in milliseconds. */
const returnMilliseconds = 2000;

type TrackedStatement = RateLimitStatement & {
	/** Revision of the table at the latest change of the limit. */
	readonly revision: number;
	/** Time at which the latest limit ended; minus infinity if there was none. */
	readonly endedAt: number;
};

/** Creates an empty table. */
export function createRateLimits(): RateLimits {
	const statements = new Map<string, TrackedStatement>();
	let revision = 0;

	function find({id, incarnation}: UpstreamIncarnation): TrackedStatement | undefined {
		const statement = statements.get(id);
		return statement?.incarnation === incarnation ? statement : undefined;
	}

	return {
		record(statement) {
			const {upstreamId, incarnation, requestsPerSecond, heardAt} = statement;
			const current = statements.get(upstreamId);
			if (current && (current.incarnation > incarnation || (current.incarnation === incarnation && current.heardAt > heardAt))) {
				return false;
			}

			const previous = find({id: upstreamId, incarnation});
			if (previous?.requestsPerSecond === requestsPerSecond) {
				if (previous) {
					statements.set(upstreamId, {...previous, heardAt});
				}

				return false;
			}

			const isEnd = previous?.requestsPerSecond !== undefined && requestsPerSecond === undefined;
			statements.set(upstreamId, {...statement, revision: ++revision, endedAt: isEnd ? heardAt : previous?.endedAt ?? Number.NEGATIVE_INFINITY});
			return true;
		},
		getLimit: upstream => find(upstream)?.requestsPerSecond,
		getSelectionShare(upstream, now) {
			const statement = find(upstream);
			if (!statement) {
				return 1;
			}

			return statement.requestsPerSecond === undefined ? Math.min(1, Math.max(0, (now - statement.endedAt) / returnMilliseconds)) : 0;
		},
		getUpdate: since => ({
			revision,
			statements: [...statements.values()]
				.filter(statement => statement.revision > since)
				.map(({upstreamId, incarnation, requestsPerSecond, heardAt}) => ({
					upstreamId, incarnation, requestsPerSecond, heardAt,
				})),
		}),
		retain(isRegistered) {
			for (const id of statements.keys()) {
				if (!isRegistered(id)) {
					statements.delete(id);
				}
			}
		},
	};
}
