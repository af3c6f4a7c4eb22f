/** Draws operations in the shares that a load states. */
import {type RandomSource} from '../src/decisions/random.ts';

/** Draws one of the operations; their shares add up to 1. */
export function drawOperation<Operation extends {readonly share: number}>(operations: readonly Operation[], random: RandomSource): Operation {
	let rest = random.nextFraction();
	for (const operation of operations) {
		rest -= operation.share;
		if (rest < 0) {
			return operation;
		}
	}

	return operations[0]!;
}
