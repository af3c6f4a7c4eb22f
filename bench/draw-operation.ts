/** Random choice of operations, weighted by their shares of the load. */
import {type RandomSource} from '../src/decisions/random.ts';

/** Draws one operation with a probability equal to its share. The shares add up to 1. */
export function drawOperation<Operation extends {readonly share: number}>(operations: readonly Operation[], random: RandomSource): Operation {
	let remainder = random.nextFraction();
	for (const operation of operations) {
		remainder -= operation.share;
		if (remainder < 0) {
			return operation;
		}
	}

	return operations[0]!;
}
