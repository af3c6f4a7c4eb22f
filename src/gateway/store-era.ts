/** Decides to which era of the store an answer belongs. */
import * as exhaustiveness from '../decisions/assert-never.ts';
import * as positions from '../decisions/registry/positions.ts';
import {type Logger} from '../observability/logger.ts';
import type * as platformStates from './platform-state.ts';
import type * as types from './types.ts';

export type StoreEraJudgeHost = {
	readonly platformState: Pick<platformStates.PlatformState, 'getEra' | 'recordEra'>;
	readonly logger: Logger;
};

/** `risen` means that the answer is the first of its era; `outdated` that the era rose after the request of the answer. */
export type Judgement
	= | {readonly kind: 'current' | 'risen'; readonly era: number}
		| {readonly kind: 'outdated'};

export type StoreEraJudge = {
	/** Judges the answer to a request that was sent when a given era was known. */
	judge(stated: types.Stated<number>, requestedIn: number | undefined): Judgement;
	/** Records that a log has gone back without a rise of the stated era; returns the era after it. */
	recordUnstatedRise(): number;
};

type Problem = 'absent' | 'invalid' | 'went-back';

const storeOrigin = 'store';
/** Era while the store has stated none. */
const initialEra = positions.initialPosition.era;

export function createStoreEraJudge({platformState, logger}: StoreEraJudgeHost): StoreEraJudge {
	const reported = new Set<Problem>();

	function report(problem: Problem, text: string | undefined): void {
		if (!reported.has(problem)) {
			reported.add(problem);
			logger.warn('store-era-invalid', {problem, text, era: platformState.getEra()});
		}
	}

	/** Gets the era that an answer states; undefined if it states none that can be used. */
	function readStatedEra(stated: types.Stated<number>): number | undefined {
		switch (stated.kind) {
			case 'absent': {
				report('absent', undefined);
				return undefined;
			}

			case 'invalid': {
				report('invalid', stated.text);
				return undefined;
			}

			case 'stated': {
				return stated.value;
			}

			default: {
				return exhaustiveness.assertNever(stated);
			}
		}
	}

	return {
		judge(stated, requestedIn) {
			const statedEra = readStatedEra(stated);
			const knownEra = platformState.getEra();
			const latestEra = Math.max(knownEra ?? initialEra, statedEra ?? initialEra);
			if (platformState.recordEra(latestEra, storeOrigin)) {
				return {kind: 'risen', era: latestEra};
			}

			const isStatedLatest = statedEra !== undefined && statedEra >= latestEra;
			if (requestedIn !== undefined && requestedIn < latestEra && !isStatedLatest) {
				return {kind: 'outdated'};
			}

			if (statedEra !== undefined && statedEra < Math.floor(latestEra)) {
				report('went-back', String(statedEra));
			}

			return {kind: 'current', era: latestEra};
		},
		recordUnstatedRise() {
			const era = positions.getNextUnstatedEra(platformState.getEra() ?? initialEra);
			platformState.recordEra(era, storeOrigin);
			return era;
		},
	};
}
