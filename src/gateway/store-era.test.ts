import * as vitest from 'vitest';
import * as storeEra from './store-era.ts';
import type * as types from './types.ts';

const {expect, test} = vitest;
const state = (value: number): types.Stated<number> => ({kind: 'stated', value});
const absent: types.Stated<number> = {kind: 'absent'};

function createJudge() {
	const warnings: unknown[] = [];
	let known: number | undefined;
	const judge = storeEra.createStoreEraJudge({
		platformState: {
			getEra: () => known,
			recordEra(era) {
				const previous = known;
				known = Math.max(era, previous ?? era);
				return previous !== undefined && era > previous;
			},
		},
		logger: {
			error: () => undefined, info: () => undefined, debug: () => undefined, warn(_event, fields) {
				warnings.push(fields);
			},
		},
	});
	return {...judge, warnings};
}

// Guards against offsets of an earlier era that are taken for those of the present one.
test('an answer to a read from before a rise is discarded, unless it states the new era', () => {
	const {judge, recordUnstatedRise, warnings} = createJudge();
	expect(judge(state(4), undefined)).toEqual({kind: 'current', era: 4});
	expect(judge(state(5), 4)).toEqual({kind: 'risen', era: 5});
	expect(judge(state(4), 4)).toEqual({kind: 'outdated'});
	expect(judge(absent, 4)).toEqual({kind: 'outdated'});
	expect(judge(state(5), 4)).toEqual({kind: 'current', era: 5});
	const era = recordUnstatedRise();
	expect(era).toBeGreaterThan(5);
	expect(judge(state(5), 5)).toEqual({kind: 'outdated'});
	expect(judge(state(5), era)).toEqual({kind: 'current', era});
	expect(judge(state(6), era)).toEqual({kind: 'risen', era: 6});
	expect(warnings).toEqual([{problem: 'absent', text: undefined, era: 5}]);
});

// Guards against a bad header that ends reading, or is logged with each answer.
test('an era that is missing, no number or lower is warned of once, and the answer is used', () => {
	const {judge, warnings} = createJudge();
	judge(state(5), undefined);
	for (const stated of [absent, absent, {kind: 'invalid', text: 'x'} as const, {kind: 'invalid', text: 'y'} as const, state(3), state(2)]) {
		expect(judge(stated, 5)).toEqual({kind: 'current', era: 5});
	}

	expect(warnings).toEqual([
		{problem: 'absent', text: undefined, era: 5}, {problem: 'invalid', text: 'x', era: 5}, {problem: 'went-back', text: '3', era: 5},
	]);
});
