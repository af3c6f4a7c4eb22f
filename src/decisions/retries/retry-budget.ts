/** Budget of retries as a share of first attempts. */

/** Retries that a quiet service may spend before its calls have earned any. */
export const initialRetries = 3;
/** Most retries that can be saved up. */
const largestBalance = 100;

export type RetryBudget = {
	/** Counts a first attempt, which earns its share of a retry. */
	countFirstAttempt(): void;
	/** Charges one retry if the budget allows it. */
	tryCharge(): boolean;
};

/** Creates a budget: over any period, retries stay below `getShare()` of first attempts plus the largest balance. */
export function createRetryBudget(getShare: () => number): RetryBudget {
	let balance = initialRetries;
	return {
		countFirstAttempt() {
			balance = Math.min(largestBalance, balance + getShare());
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
