/** Seeded random numbers for decisions. */
import {unsafeUniformIntDistribution} from 'pure-rand/distribution/UnsafeUniformIntDistribution';
import {xoroshiro128plus} from 'pure-rand/generator/XoroShiro';

/** Source of random numbers; the same seed gives the same sequence. */
export type RandomSource = {
	/** Gets an integer from 0 up to, and without, the bound. */
	nextInteger(bound: number): number;
	/** Gets a number from 0 up to, and without, 1. */
	nextFraction(): number;
};

const fractionSteps = 2 ** 31;

/** Creates a source of random numbers from a seed. */
export function createRandomSource(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	return {
		nextInteger: bound => unsafeUniformIntDistribution(0, bound - 1, generator),
		nextFraction: () => unsafeUniformIntDistribution(0, fractionSteps - 1, generator) / fractionSteps,
	};
}
