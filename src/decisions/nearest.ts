/** Finds the closest match for a mistyped word. */

/** Finds the candidate with the smallest edit distance (Levenshtein, 1966) to the word; undefined without candidates. */
export function findNearest(word: string, candidates: readonly string[]): string | undefined {
	let nearest: string | undefined;
	let nearestDistance = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const distance = getEditDistance(word, candidate);
		if (distance < nearestDistance) {
			nearest = candidate;
			nearestDistance = distance;
		}
	}

	return nearest;
}

function getEditDistance(left: string, right: string): number {
	let previous = Array.from({length: right.length + 1}, (_value, index) => index);
	for (let row = 1; row <= left.length; row++) {
		const current = [row];
		for (let column = 1; column <= right.length; column++) {
			const substitution = previous[column - 1]! + (left[row - 1] === right[column - 1] ? 0 : 1);
			current.push(Math.min(substitution, previous[column]! + 1, current[column - 1]! + 1));
		}

		previous = current;
	}

	return previous[right.length]!;
}
