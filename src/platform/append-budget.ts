/**
Limits the append rate of the whole fleet with a token bucket on each entry.

Each entry uses an equal share of the fleet's rate. An entry whose member list is incomplete computes too large a
share: when every entry lists at least a fraction f of the fleet, the fleet appends at most rate / f records per second,
plus one burst per entry.
*/

const millisecondsPerSecond = 1000;

export type AppendBudgetOptions = {
	/** Maximum appends per second of all entries together. */
	readonly fleetAppendsPerSecond: number;
	/** Capacity of the bucket: appends that one entry may make at once after an idle period. */
	readonly burst: number;
};

export type AppendBudget = {
	/** Sets the number of entries that share the rate. */
	setEntryCount(entryCount: number, now: number): void;
	/** Consumes the token of one append and returns 0, or returns the milliseconds until a token is available. */
	tryConsume(now: number): number;
};

/** Creates the token bucket of one entry; it starts full. */
export function createAppendBudget(options: AppendBudgetOptions, entryCount: number, now: number): AppendBudget {
	let tokens = options.burst;
	let refilledAt = now;
	let tokensPerMillisecond = getTokensPerMillisecond(options, entryCount);

	const refill = (time: number): void => {
		tokens = Math.min(options.burst, tokens + (Math.max(0, time - refilledAt) * tokensPerMillisecond));
		refilledAt = Math.max(refilledAt, time);
	};

	return {
		setEntryCount(count, time) {
			refill(time);
			tokensPerMillisecond = getTokensPerMillisecond(options, count);
		},
		tryConsume(time) {
			refill(time);
			if (tokens < 1) {
				return (1 - tokens) / tokensPerMillisecond;
			}

			tokens--;
			return 0;
		},
	};
}

function getTokensPerMillisecond(options: AppendBudgetOptions, entryCount: number): number {
	return options.fleetAppendsPerSecond / Math.max(1, entryCount) / millisecondsPerSecond;
}
