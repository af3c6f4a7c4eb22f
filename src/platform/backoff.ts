/** Time to wait between attempts at a platform service: it doubles up to a bound and is jittered. */

export type BackoffOptions = {
	readonly firstMilliseconds: number;
	readonly maximumMilliseconds: number;
};

/** Creates the time to wait after a number of failures; `random` is from 0 up to 1. */
export function createBackoff(options: BackoffOptions, failures: number, random: number): number {
	const longest = Math.min(options.maximumMilliseconds, options.firstMilliseconds * (2 ** (failures - 1)));
	return longest * (0.5 + (random / 2));
}
