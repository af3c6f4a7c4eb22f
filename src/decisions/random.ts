/** Seeded pseudo-random numbers for the decision modules. */
import {unsafeUniformIntDistribution} from 'pure-rand/distribution/UnsafeUniformIntDistribution';
import {xoroshiro128plus} from 'pure-rand/generator/XoroShiro';

/** Source of pseudo-random numbers; the same seed gives the same sequence. */
export type RandomSource = {
	/** Returns an integer from 0 (inclusive) to the bound (exclusive). */
	nextInteger(bound: number): number;
	/** Returns a number from 0 (inclusive) to 1 (exclusive). */
	nextFraction(): number;
};

/** Number of distinct values that `nextFraction` returns. */
const fractionResolution = 2 ** 31;

/** Creates a random source from a seed (xoroshiro128+). */
export function createRandomSource(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	return {
		nextInteger: bound => unsafeUniformIntDistribution(0, bound - 1, generator),
		nextFraction: () => unsafeUniformIntDistribution(0, fractionResolution - 1, generator) / fractionResolution,
	};
}
