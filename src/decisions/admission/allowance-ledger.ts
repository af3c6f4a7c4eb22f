/**
Shares the allowance of a workspace among all entries that its requests arrive at.

One entry keeps the ledger of all workspaces. The others report what arrived and what they admitted, several times a
second, and learn which share of the next arrivals to admit. A workspace below its allowance is admitted whole.

Load pattern: a workspace sends several times its usual rate, spread over dozens of entries, each of which sees too few of
its requests to notice. What was admitted before the ledger noticed is taken off afterwards, so that the sum over a few
seconds stays within the allowance.
*/

/** Allowance of a workspace over all entries. */
export type Allowance = {readonly requestsPerSecond: number; readonly burst: number};

/** Requests of a workspace at one entry since its previous report. */
export type Usage = {readonly workspace: string; readonly arrived: number; readonly admitted: number};

/** Share of the next arrivals of a workspace that an entry admits, from 0 to 1. */
export type Grant = {readonly workspace: string; readonly admittedShare: number};

/** Ledger of all workspaces. */
export type AllowanceLedger = {
	/**
	Records what arrived at one entry, and returns the grants for all workspaces that are or were limited lately.
	`visibleShare` is the share of the fleet that this entry sees; the rest may have a ledger of its own.
	*/
	report(usages: readonly Usage[], getAllowance: (workspace: string) => Allowance | undefined, visibleShare: number, now: number): readonly Grant[];
};

/** Interval of the reports, in milliseconds. */
export const reportMilliseconds = 200;
/** Time over which the demand is measured, in milliseconds. */
const demandMilliseconds = 3 * reportMilliseconds;
/** Time in which a new account learns the demand; the grants of an earlier ledger hold meanwhile. */
const learningMilliseconds = demandMilliseconds + reportMilliseconds;
/** Time over which what is left of a burst, or was admitted beyond it, is spread, in seconds. */
const balanceSeconds = 0.5;
/** Smallest share of its rate that a workspace gets after it was admitted too much. */
const minimumRateShare = 0.25;
/** Requests per second beyond the allowance that a workspace isn't limited for; a few requests at once are no demand. */
const toleratedRequestsPerSecond = 2;
/** Time for which entries are told that a workspace is not limited any more, in milliseconds. */
const releaseMilliseconds = 2000;
const millisecondsPerSecond = 1000;

type Account = {
	readonly createdAt: number;
	/** Requests that may still be admitted at once; negative after too many were. */
	balance: number;
	updatedAt: number;
	/** Arrivals in the time over which the demand is measured, oldest first. */
	arrivals: ReadonlyArray<{readonly at: number; readonly count: number}>;
	limitedAt: number;
};

/** Creates an empty ledger. It starts without bursts, since an earlier ledger may have granted them. */
export function createAllowanceLedger(): AllowanceLedger {
	const accounts = new Map<string, Account>();

	function record({workspace, arrived, admitted}: Usage, allowance: Allowance, visibleShare: number, now: number): void {
		const account = accounts.get(workspace) ?? {
			createdAt: now, balance: 0, updatedAt: now, arrivals: [], limitedAt: Number.NEGATIVE_INFINITY,
		};
		accounts.set(workspace, account);
		const refill = allowance.requestsPerSecond * visibleShare * (now - account.updatedAt) / millisecondsPerSecond;
		account.balance = Math.min(allowance.burst * visibleShare, account.balance + refill) - admitted;
		account.updatedAt = now;
		account.arrivals = [...account.arrivals, {at: now, count: arrived}];
	}

	function getDemand(account: Account, now: number): number {
		account.arrivals = account.arrivals.filter(({at}) => now - at < demandMilliseconds);
		return account.arrivals.reduce((sum, {count}) => sum + count, 0) * millisecondsPerSecond / demandMilliseconds;
	}

	function getAdmittedShare(account: Account, allowance: Allowance, visibleShare: number, now: number): number {
		const rate = allowance.requestsPerSecond * visibleShare;
		const demand = getDemand(account, now);
		const allowed = Math.max(minimumRateShare * rate, rate + (account.balance / balanceSeconds)) + toleratedRequestsPerSecond;
		return demand <= allowed ? 1 : allowed / demand;
	}

	return {
		report(usages, getAllowance, visibleShare, now) {
			for (const usage of usages) {
				const allowance = getAllowance(usage.workspace);
				if (allowance) {
					record(usage, allowance, visibleShare, now);
				}
			}

			const grants: Grant[] = [];
			for (const [workspace, account] of accounts) {
				const allowance = getAllowance(workspace);
				if (!allowance) {
					accounts.delete(workspace);
					continue;
				}

				if (now - account.createdAt < learningMilliseconds) {
					continue;
				}

				const admittedShare = getAdmittedShare(account, allowance, visibleShare, now);
				account.limitedAt = admittedShare < 1 ? now : account.limitedAt;
				if (now - account.limitedAt < releaseMilliseconds) {
					grants.push({workspace, admittedShare});
				}
			}

			return grants;
		},
	};
}
