/**
Keeps what upstreams have stated about the requests that they accept, and decides how each upstream may be used.

A statement belongs to one incarnation of an upstream. It is heard in the upstream's own responses or from another entry.
Of two statements about the same subject, the one that was heard later holds, except that an incarnation that leaves never
returns. After a rate limit or a pause, the share of the selections that may consider the upstream grows from 0 to 1, so
that the entries don't return to it at the same moment.
*/
import * as exhaustiveness from '../assert-never.ts';

/** Identity of one incarnation of an upstream. */
export type UpstreamIncarnation = {readonly id: string; readonly incarnation: number};

/** What an upstream states to all entries. */
export type SharedContent
	/** The upstream accepts so many requests per second from all entries together. */
	= | {readonly kind: 'rate-limit'; readonly requestsPerSecond: number}
		| {readonly kind: 'no-rate-limit'}
	/** The upstream is about to stop. */
		| {readonly kind: 'leaving'}
	/** The upstream has started recently, and accepts only so many requests per second from all entries together; not any more if no time is left. */
		| {readonly kind: 'cold'; readonly milliseconds: number; readonly requestsPerSecond: number};

/** What an upstream states. */
export type StatementContent
	= | SharedContent
	/** The upstream accepts no requests from this entry for a time. */
		| {readonly kind: 'pause'; readonly milliseconds: number};

/** A statement with its origin and time. */
export type UpstreamStatement<Content = StatementContent> = UpstreamIncarnation & {
	readonly content: Content;
	/** Time at which an entry received the statement from the upstream. */
	readonly heardAt: number;
};

/** Statements that are newer than a revision. */
export type StatementUpdate = {
	readonly revision: number;
	readonly statements: ReadonlyArray<UpstreamStatement<SharedContent>>;
};

/** How an entry may use an upstream. */
export type UpstreamAccess
	/** The given share of the selections may consider the upstream. */
	= | {readonly kind: 'open'; readonly selectionShare: number}
	/** Each request needs a permit, because the upstream has a rate limit, or is cold until `coldUntil`. */
		| {readonly kind: 'by-permit'; readonly requestsPerSecond: number; readonly heardAt: number; readonly coldUntil: number | undefined}
	/** The upstream accepts no requests from this entry until `endsAt`. */
		| {readonly kind: 'paused'; readonly endsAt: number}
	/** The upstream receives no requests any more. */
		| {readonly kind: 'leaving'};

/** The statements of all upstreams. */
export type UpstreamStatements = {
	/** Records a statement unless a newer one is known. Returns whether it changes what is known of the upstream. */
	record(statement: UpstreamStatement): boolean;
	getAccess(upstream: UpstreamIncarnation, now: number): UpstreamAccess;
	/** Whether this incarnation of an upstream has stated a rate limit, or its end. */
	hasStatedRate(upstream: UpstreamIncarnation): boolean;
	/** Whether this incarnation of an upstream is cold. */
	isCold(upstream: UpstreamIncarnation, now: number): boolean;
	/** Gets the statements to all entries that changed after a revision of this table; all of them for -1. */
	getUpdate(since: number): StatementUpdate;
	/** Forgets the upstreams that have not been registered for a while. */
	retain(isRegistered: (id: string) => boolean, now: number): void;
};

/** Time after the end of a limit until all selections consider an upstream, in milliseconds; after a pause, at most this. */
const returnMilliseconds = 2000;
/** Longest pause that is kept, in milliseconds. */
const maximumPauseMilliseconds = 3_600_000;
/** Time for which statements of an upstream without a registration are kept, in milliseconds; a registration that expired while the store was down returns with the same incarnation. */
const retentionMilliseconds = 120_000;
/** Longest time for which an upstream is treated as cold without another statement, in milliseconds. */
const maximumColdMilliseconds = 60_000;
/** Time after the end of the cold state until all selections consider an upstream, in milliseconds. */
const warmReturnMilliseconds = 1000;
/** Difference between two statements of the end of the cold state that isn't passed on, in milliseconds. */
const coldEndToleranceMilliseconds = 250;
const openAccess: UpstreamAccess = {kind: 'open', selectionShare: 1};

type RateStatement = UpstreamStatement<Extract<SharedContent, {readonly kind: 'rate-limit' | 'no-rate-limit'}>> & {
	/** Time of the statement that made the latest change. */
	readonly changedAt: number;
};

type Cold = {readonly heardAt: number; readonly endsAt: number; readonly requestsPerSecond: number; readonly revision: number};
type Pause = {readonly startsAt: number; readonly endsAt: number};

/** What is known of one incarnation of an upstream. */
type TrackedUpstream = {
	readonly incarnation: number;
	readonly rate: (RateStatement & {readonly revision: number}) | undefined;
	readonly leaving: {readonly heardAt: number; readonly revision: number} | undefined;
	readonly pause: Pause | undefined;
	readonly cold: Cold | undefined;
	/** Time at which the upstream was first seen without a registration; undefined while it has one. */
	readonly unregisteredSince: number | undefined;
};

/** Creates an empty table. */
export function createUpstreamStatements(): UpstreamStatements {
	const trackedById = new Map<string, TrackedUpstream>();
	let revision = 0;

	function find({id, incarnation}: UpstreamIncarnation): TrackedUpstream | undefined {
		const tracked = trackedById.get(id);
		return tracked?.incarnation === incarnation ? tracked : undefined;
	}

	function recordRate(current: TrackedUpstream, {id, incarnation, heardAt}: UpstreamStatement, content: RateStatement['content']): boolean {
		const {rate} = current;
		if (rate && heardAt < rate.heardAt) {
			return false;
		}

		if (rate && isSameRate(rate.content, content)) {
			trackedById.set(id, {...current, rate: {...rate, heardAt}});
			return false;
		}

		trackedById.set(id, {
			...current, rate: {
				id, incarnation, content, heardAt, changedAt: heardAt, revision: ++revision,
			},
		});
		return true;
	}

	function recordPause(current: TrackedUpstream, {id, heardAt}: UpstreamStatement, milliseconds: number): boolean {
		const endsAt = heardAt + Math.min(milliseconds, maximumPauseMilliseconds);
		if (current.pause && endsAt <= current.pause.endsAt) {
			return false;
		}

		const isExtension = current.pause !== undefined && heardAt < current.pause.endsAt;
		trackedById.set(id, {...current, pause: {startsAt: isExtension ? current.pause.startsAt : heardAt, endsAt}});
		return true;
	}

	function recordLeaving(current: TrackedUpstream, {id, heardAt}: UpstreamStatement): boolean {
		if (current.leaving) {
			return false;
		}

		trackedById.set(id, {...current, leaving: {heardAt, revision: ++revision}});
		return true;
	}

	function recordCold(current: TrackedUpstream, {id, heardAt}: UpstreamStatement, {milliseconds, requestsPerSecond}: Extract<SharedContent, {readonly kind: 'cold'}>): boolean {
		const {cold} = current;
		const isKnown = cold !== undefined && heardAt < cold.endsAt;
		const isOlder = cold !== undefined && heardAt < cold.heardAt;
		if (isOlder || (milliseconds === 0 && !isKnown)) {
			return false;
		}

		const endsAt = heardAt + Math.min(milliseconds, maximumColdMilliseconds);
		const isSame = isKnown && cold.requestsPerSecond === requestsPerSecond && Math.abs(endsAt - cold.endsAt) < coldEndToleranceMilliseconds;
		trackedById.set(id, {
			...current, cold: isSame
				? {...cold, heardAt}
				: {
					heardAt, endsAt, requestsPerSecond, revision: ++revision,
				},
		});
		return !isSame;
	}

	return {
		record(statement) {
			const {id, incarnation, content} = statement;
			const known = trackedById.get(id);
			if (known && incarnation < known.incarnation) {
				return false;
			}

			const current: TrackedUpstream = known?.incarnation === incarnation
				? known
				: {
					incarnation, rate: undefined, leaving: undefined, pause: undefined, cold: undefined, unregisteredSince: undefined,
				};
			switch (content.kind) {
				case 'rate-limit':
				case 'no-rate-limit': {
					return recordRate(current, statement, content);
				}

				case 'pause': {
					return recordPause(current, statement, content.milliseconds);
				}

				case 'leaving': {
					return recordLeaving(current, statement);
				}

				case 'cold': {
					return recordCold(current, statement, content);
				}

				default: {
					return exhaustiveness.assertNever(content);
				}
			}
		},
		getAccess(upstream, now) {
			const tracked = find(upstream);
			if (!tracked) {
				return openAccess;
			}

			const {leaving, pause, rate, cold} = tracked;
			if (leaving) {
				return {kind: 'leaving'};
			}

			if (pause && now < pause.endsAt) {
				return {kind: 'paused', endsAt: pause.endsAt};
			}

			const limit = rate?.content.kind === 'rate-limit' ? rate.content.requestsPerSecond : undefined;
			if (cold && now < cold.endsAt) {
				return {
					kind: 'by-permit', requestsPerSecond: Math.min(cold.requestsPerSecond, limit ?? Number.POSITIVE_INFINITY), heardAt: cold.heardAt, coldUntil: cold.endsAt,
				};
			}

			if (limit !== undefined) {
				return {
					kind: 'by-permit', requestsPerSecond: limit, heardAt: rate!.heardAt, coldUntil: undefined,
				};
			}

			return {kind: 'open', selectionShare: Math.min(getShareAfterLimit(rate, now), getShareAfterPause(pause, now), getShareAfterCold(cold, now))};
		},
		hasStatedRate: upstream => find(upstream)?.rate !== undefined,
		isCold(upstream, now) {
			const cold = find(upstream)?.cold;
			return cold !== undefined && now < cold.endsAt;
		},
		getUpdate: since => ({
			revision,
			statements: [...trackedById].flatMap(([id, {incarnation, rate, leaving, cold}]) => [
				...(rate && rate.revision > since
					? [{
						id, incarnation, content: rate.content, heardAt: rate.heardAt,
					}]
					: []),
				...(leaving && leaving.revision > since
					? [{
						id, incarnation, content: {kind: 'leaving'} as const, heardAt: leaving.heardAt,
					}]
					: []),
				...(cold && cold.revision > since
					? [{
						id, incarnation, content: {kind: 'cold', milliseconds: cold.endsAt - cold.heardAt, requestsPerSecond: cold.requestsPerSecond} as const, heardAt: cold.heardAt,
					}]
					: []),
			]),
		}),
		retain(isRegistered, now) {
			for (const [id, tracked] of trackedById) {
				if (isRegistered(id)) {
					trackedById.set(id, {...tracked, unregisteredSince: undefined});
				} else if (now - (tracked.unregisteredSince ?? now) >= retentionMilliseconds) {
					trackedById.delete(id);
				} else {
					trackedById.set(id, {...tracked, unregisteredSince: tracked.unregisteredSince ?? now});
				}
			}
		},
	};
}

function isSameRate(left: RateStatement['content'], right: RateStatement['content']): boolean {
	return left.kind === 'rate-limit' && right.kind === 'rate-limit' ? left.requestsPerSecond === right.requestsPerSecond : left.kind === right.kind;
}

function getShareAfterLimit(rate: RateStatement | undefined, now: number): number {
	return rate ? getReturnShare(rate.changedAt, returnMilliseconds, now) : 1;
}

/** An upstream is used again within the time of the pause, or within `returnMilliseconds` if that is shorter. */
function getShareAfterPause(pause: Pause | undefined, now: number): number {
	return pause ? getReturnShare(pause.endsAt, Math.min(returnMilliseconds, pause.endsAt - pause.startsAt), now) : 1;
}

function getShareAfterCold(cold: Cold | undefined, now: number): number {
	return cold ? getReturnShare(cold.endsAt, warmReturnMilliseconds, now) : 1;
}

function getReturnShare(endedAt: number, milliseconds: number, now: number): number {
	return Math.min(1, Math.max(0, (now - endedAt) / milliseconds));
}
