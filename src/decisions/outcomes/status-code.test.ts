import * as vitest from 'vitest';
import * as statusCode from './status-code.ts';

const {expect, test} = vitest;

test.each([
	['invalid', [0, 1, 50, 99, 101, 600, 999, 1000, -1, 200.5, Number.NaN]],
	['interim', [100, 102, 103, 199]],
	['final', [200, 204, 304, 404, 421, 503, 599]],
] as const)('%s: %j', (kind, codes) => {
	expect(new Set(codes.map(code => statusCode.classifyStatus(code)))).toEqual(new Set([kind]));
});
