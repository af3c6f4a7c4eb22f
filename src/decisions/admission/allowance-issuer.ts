/**
Issues the admissions of workspaces as one of their coordinators.

Each coordinator has a fixed part of the allowance in a token bucket, so that the sum of all admissions holds without an
agreement among the coordinators, however many requests arrive and whoever doesn't answer. A coordinator that takes over
begins without credit, since its predecessor may have issued the burst just before.

Load pattern: a workspace sends several times its usual rate, spread over dozens of entries, each of which sees too few of
its requests to notice.
*/
import type * as randomness from '../random.ts';

/** Allowance of a workspace over all entries. */
export type Allowance = {readonly requestsPerSecond: number; readonly burst: number};

/** Question for admissions. */
export type AdmissionRequest = {
	readonly workspace: string;
	/** Name of the entry that asks. */
	readonly entry: string;
	/** Requests that wait. */
	readonly needed: number;
	/** Requests that are expected soon; their admissions are issued only if there is plenty. */
	readonly ahead: number;
};

/** Answer of a coordinator. */
export type AdmissionResponse
	= | {readonly kind: 'issued'; readonly count: number; /** Time after which to ask again if it was too few. */ readonly retryAfterMilliseconds: number}
		/** This entry doesn't count the requests of the workspace, or not yet. */
		| {readonly kind: 'not-counted'; readonly retryAfterMilliseconds: number};

/** Issues admissions. */
export type AllowanceIssuer = {
	/** Sets the workspaces that this entry counts, with its part of their allowances. Credit of workspaces that it counted before is kept, up to the new burst. */
	setParts(parts: ReadonlyMap<string, Allowance>, now: number): void;
	request(request: AdmissionRequest, now: number): AdmissionResponse;
};

/** Time for which an admission is valid, in milliseconds. */
export const admissionMilliseconds = 400;
/** Time until a new coordinator issues admissions, in milliseconds, in which its predecessor's end and most entries hear of it. */
const takeoverMilliseconds = 600;
/** Requests beyond its part of the burst that a bucket holds; arrivals at random come in pairs. */
const extraRequests = 3;
/** Share of a bucket that must be left before admissions are issued ahead. */
const plentyShare = 0.5;
/** Time for which an entry that got too few counts as one that competes, in milliseconds. */
const competitorMemoryMilliseconds = 2000;
const minimumRetryMilliseconds = 50;
const maximumRetryMilliseconds = 2000;
const notCountedRetryMilliseconds = 200;
const millisecondsPerSecond = 1000;

type Account = {
	part: Allowance;
	balance: number;
	updatedAt: number;
	readonly startsAt: number;
	/** Times at which entries got too few, by name. */
	readonly refusedAt: Map<string, number>;
};

/** Creates an issuer that counts no workspaces. */
export function createAllowanceIssuer(random: randomness.RandomSource): AllowanceIssuer {
	const accounts = new Map<string, Account>();

	const getCapacity = ({part}: Account) => part.burst + extraRequests;

	function refill(account: Account, now: number): void {
		const refilled = Math.max(0, now - Math.max(account.startsAt, account.updatedAt)) * account.part.requestsPerSecond / millisecondsPerSecond;
		account.balance = Math.min(getCapacity(account), account.balance + refilled);
		account.updatedAt = now;
	}

	/** Computes when an entry should ask again, so that the entries that compete ask about as often as admissions become free. */
	function getRetryMilliseconds({part, refusedAt}: Account, entry: string, now: number): number {
		refusedAt.set(entry, now);
		for (const [name, at] of refusedAt) {
			if (now - at > competitorMemoryMilliseconds) {
				refusedAt.delete(name);
			}
		}

		const interval = millisecondsPerSecond / part.requestsPerSecond;
		return Math.min(maximumRetryMilliseconds, Math.max(minimumRetryMilliseconds, refusedAt.size * interval)) * (1 + random.nextFraction()) / 2;
	}

	return {
		setParts(parts, now) {
			for (const workspace of accounts.keys()) {
				if (!parts.has(workspace)) {
					accounts.delete(workspace);
				}
			}

			for (const [workspace, part] of parts) {
				const account = accounts.get(workspace);
				if (account) {
					refill(account, now);
					account.part = part;
					account.balance = Math.min(account.balance, getCapacity(account));
				} else {
					accounts.set(workspace, {
						part, balance: 0, updatedAt: now, startsAt: now + takeoverMilliseconds, refusedAt: new Map(),
					});
				}
			}
		},
		request({workspace, entry, needed, ahead}, now) {
			const account = accounts.get(workspace);
			if (!account || now < account.startsAt) {
				return {kind: 'not-counted', retryAfterMilliseconds: account ? account.startsAt - now : notCountedRetryMilliseconds};
			}

			refill(account, now);
			const forWaiting = Math.min(needed, Math.floor(account.balance));
			const spare = account.balance - forWaiting - (plentyShare * getCapacity(account));
			const count = forWaiting + Math.max(0, Math.min(ahead, Math.floor(spare)));
			account.balance -= count;
			return {kind: 'issued', count, retryAfterMilliseconds: forWaiting < needed ? getRetryMilliseconds(account, entry, now) : 0};
		},
	};
}
