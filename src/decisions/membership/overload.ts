/** Decides when an entry asks callers to stay away, from the delay of its event loop. */

/** Delay above which an entry counts as overloaded. */
export const overloadedDelayMilliseconds = 100;

/** Delay below which it counts as recovered. */
export const recoveredDelayMilliseconds = 30;

/** Samples in a row that must agree before the verdict changes. */
export const samplesToChange = 3;

export type OverloadDetector = {
	/** Takes the mean delay since the last sample and returns the weight that the entry wants: 0 or 1. */
	take(delayMilliseconds: number): number;
};

/** Creates the detector of an entry that isn't overloaded. */
export function createOverloadDetector(): OverloadDetector {
	let weight = 1;
	let contrary = 0;

	return {
		take(delayMilliseconds) {
			const isContrary = weight === 1 ? delayMilliseconds > overloadedDelayMilliseconds : delayMilliseconds < recoveredDelayMilliseconds;
			contrary = isContrary ? contrary + 1 : 0;
			if (contrary >= samplesToChange) {
				weight = 1 - weight;
				contrary = 0;
			}

			return weight;
		},
	};
}
