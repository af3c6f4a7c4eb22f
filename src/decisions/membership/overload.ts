/** Detects from event loop delay when an entry is overloaded and callers should avoid it. */

/** Event loop delay above which an entry counts as overloaded. */
export const overloadedDelayMilliseconds = 100;

/** Event loop delay below which an overloaded entry counts as recovered. */
export const recoveredDelayMilliseconds = 30;

/** Number of consecutive samples that must contradict the current state before it changes. */
export const samplesToSwitch = 3;

export type OverloadDetector = {
	/** Records the mean delay since the last sample and returns the weight of the entry: 0 when it is overloaded, 1 otherwise. */
	recordSample(delayMilliseconds: number): number;
};

/** Creates a detector whose initial state is not overloaded. */
export function createOverloadDetector(): OverloadDetector {
	let weight = 1;
	let contradictingSamples = 0;

	return {
		recordSample(delayMilliseconds) {
			const isContradicting = weight === 1 ? delayMilliseconds > overloadedDelayMilliseconds : delayMilliseconds < recoveredDelayMilliseconds;
			contradictingSamples = isContradicting ? contradictingSamples + 1 : 0;
			if (contradictingSamples >= samplesToSwitch) {
				weight = 1 - weight;
				contradictingSamples = 0;
			}

			return weight;
		},
	};
}
