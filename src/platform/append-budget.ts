/**
Bounds the appends per second of the whole fleet by a token bucket on each entry.

Each entry takes an equal share of the rate. Entries that see fewer entries than there are take too much:
when every entry sees at least a fraction f of the fleet, all of them together append at most rate / f a second,
and burst more at once per entry.
*/

const millisecondsPerSecond = 1000;

export type AppendBudgetOptions = {
	/** Appends per second over the fleet. */
	readonly fleetAppendsPerSecond: number;
	/** Appends that one entry may make at once after a quiet time. */
	readonly burst: number;
};

export type AppendBudget = {
	/** Sets how many entries share the rate. */
	setEntries(count: number, now: number): void;
	/** Takes one append; returns 0 when it may go out now, or the milliseconds to wait before asking again. */
	take(now: number): number;
};

/** Creates the bucket of one entry; it starts full. */
export function createAppendBudget(options: AppendBudgetOptions, entries: number, now: number): AppendBudget {
	let tokens = options.burst;
	let filledAt = now;
	let tokensPerMillisecond = getShare(options, entries);

	const fill = (time: number): void => {
		tokens = Math.min(options.burst, tokens + (Math.max(0, time - filledAt) * tokensPerMillisecond));
		filledAt = Math.max(filledAt, time);
	};

	return {
		setEntries(count, time) {
			fill(time);
			tokensPerMillisecond = getShare(options, count);
		},
		take(time) {
			fill(time);
			if (tokens < 1) {
				return (1 - tokens) / tokensPerMillisecond;
			}

			tokens--;
			return 0;
		},
	};
}

function getShare(options: AppendBudgetOptions, entries: number): number {
	return options.fleetAppendsPerSecond / Math.max(1, entries) / millisecondsPerSecond;
}
