/** Limits retries to a share of first attempts. */

/** Initial balance: retries that a service may spend before its first attempts have earned any. */
export const initialRetries = 3;
/** Maximum number of unused retries that accumulate. */
const maximumBalance = 100;

/** Retry budget in the form of a token bucket that first attempts fill. */
export type RetryBudget = {
	/** Counts a first attempt, which earns its share of a retry. */
	countFirstAttempt(): void;
	/** Charges one retry and returns true if the budget allows it. */
	tryCharge(): boolean;
};

/** Creates a budget. Over any period, retries don't exceed `getShare()` of the first attempts plus the maximum balance. */
export function createRetryBudget(getShare: () => number): RetryBudget {
	let balance = initialRetries;
	return {
		countFirstAttempt() {
			balance = Math.min(maximumBalance, balance + getShare());
		},
		tryCharge() {
			if (balance < 1) {
				return false;
			}

			balance -= 1;
			return true;
		},
	};
}
