/**
Keeps what upstreams have stated about the requests that they accept, and decides how each upstream may be used.

A statement belongs to one incarnation of an upstream. It is heard in the upstream's own responses or from another entry.
Of two statements about the same matter, the one that was heard later holds. After the end of a rate limit, the share of
the selections that may consider the upstream grows from 0 to 1, so that the entries don't return to it at the same moment.
*/
import {assertNever} from '../assert-never.ts';

/** Identity of one incarnation of an upstream. */
export type UpstreamIncarnation = {readonly id: string; readonly incarnation: number};

/** What an upstream stated. */
export type StatementContent
	/** The upstream accepts so many requests per second from all entries together. */
	= | {readonly kind: 'rate-limit'; readonly requestsPerSecond: number}
		| {readonly kind: 'no-rate-limit'};

/** A statement with its origin and time. */
export type UpstreamStatement = UpstreamIncarnation & {
	readonly content: StatementContent;
	/** Time at which an entry received the statement from the upstream. */
	readonly heardAt: number;
};

/** Statements that are newer than a revision. */
export type StatementUpdate = {
	readonly revision: number;
	readonly statements: readonly UpstreamStatement[];
};

/** How an entry may use an upstream. */
export type UpstreamAccess
	/** The given share of the selections may consider the upstream. */
	= | {readonly kind: 'open'; readonly selectionShare: number}
	/** Each request needs a permit, because the upstream has a rate limit. */
		| {readonly kind: 'by-permit'; readonly requestsPerSecond: number; readonly heardAt: number};

/** The statements of all upstreams. */
export type UpstreamStatements = {
	/** Records a statement unless a newer one is known. Returns whether it changes what is known of the upstream. */
	record(statement: UpstreamStatement): boolean;
	getAccess(upstream: UpstreamIncarnation, now: number): UpstreamAccess;
	/** Whether a statement of this incarnation of an upstream is known. */
	has(upstream: UpstreamIncarnation): boolean;
	/** Gets the statements that changed after a revision of this table; all of them for -1. */
	getUpdate(since: number): StatementUpdate;
	/** Forgets the upstreams that are no longer registered. */
	retain(isRegistered: (id: string) => boolean): void;
};

/** Time after the end of a limit until all selections consider an upstream, in milliseconds. */
const returnMilliseconds = 2000;
const openAccess: UpstreamAccess = {kind: 'open', selectionShare: 1};

type TrackedStatement = UpstreamStatement & {
	/** Revision of the table at the latest change. */
	readonly revision: number;
	/** Time of the statement that made the latest change. */
	readonly changedAt: number;
};

/** Creates an empty table. */
export function createUpstreamStatements(): UpstreamStatements {
	const statementsById = new Map<string, TrackedStatement>();
	let revision = 0;

	return {
		record(statement) {
			const current = statementsById.get(statement.id);
			if (current && isOlder(statement, current)) {
				return false;
			}

			const isChange = current?.incarnation !== statement.incarnation || !isSameContent(current.content, statement.content);
			if (isChange) {
				statementsById.set(statement.id, {...statement, revision: ++revision, changedAt: statement.heardAt});
			} else {
				statementsById.set(statement.id, {...current, heardAt: statement.heardAt});
			}

			return isChange;
		},
		getAccess({id, incarnation}, now) {
			const statement = statementsById.get(id);
			if (statement?.incarnation !== incarnation) {
				return openAccess;
			}

			const {content, changedAt, heardAt} = statement;
			switch (content.kind) {
				case 'rate-limit': {
					return {kind: 'by-permit', requestsPerSecond: content.requestsPerSecond, heardAt};
				}

				case 'no-rate-limit': {
					return {kind: 'open', selectionShare: Math.min(1, Math.max(0, (now - changedAt) / returnMilliseconds))};
				}

				default: {
					return assertNever(content);
				}
			}
		},
		has: ({id, incarnation}) => statementsById.get(id)?.incarnation === incarnation,
		getUpdate: since => ({
			revision,
			statements: [...statementsById.values()]
				.filter(statement => statement.revision > since)
				.map(({id, incarnation, content, heardAt}) => ({
					id, incarnation, content, heardAt,
				})),
		}),
		retain(isRegistered) {
			for (const id of statementsById.keys()) {
				if (!isRegistered(id)) {
					statementsById.delete(id);
				}
			}
		},
	};
}

function isOlder(statement: UpstreamStatement, current: UpstreamStatement): boolean {
	return statement.incarnation < current.incarnation || (statement.incarnation === current.incarnation && statement.heardAt < current.heardAt);
}

function isSameContent(left: StatementContent, right: StatementContent): boolean {
	return left.kind === 'rate-limit' && right.kind === 'rate-limit' ? left.requestsPerSecond === right.requestsPerSecond : left.kind === right.kind;
}
