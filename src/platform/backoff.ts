/** Exponential backoff with jitter between attempts at a platform service. */

export type BackoffOptions = {
	readonly initialDelayMilliseconds: number;
	readonly maximumDelayMilliseconds: number;
};

/**
Computes the delay after a number of consecutive failures, in milliseconds: from half of the exponential delay up to
the whole of it. `random` is in [0, 1).
*/
export function getBackoffDelay(options: BackoffOptions, failures: number, random: number): number {
	const maximumDelay = Math.min(options.maximumDelayMilliseconds, options.initialDelayMilliseconds * (2 ** (failures - 1)));
	return maximumDelay * (0.5 + (random / 2));
}
