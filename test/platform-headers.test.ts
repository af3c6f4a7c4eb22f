/** Tests of what the platform adapter reads from the headers of upstreams. */
import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import * as headerHost from '../platform/headers.ts';

const {expect, test} = vitest;
const {readResponse} = headerHost.createHeaderHost();

test.each([
	['server-limit', '2.2', 'requestsPerSecond', {kind: 'stated', value: 2.2}],
	['server-limit', '0', 'requestsPerSecond', {kind: 'invalid', text: '0'}],
	['server-limit', '2, 3', 'requestsPerSecond', {kind: 'invalid', text: '2, 3'}],
	['server-leaving', '1', 'leaving', {kind: 'stated', value: true}],
	['server-leaving', '0', 'leaving', {kind: 'invalid', text: '0'}],
	['server-leaving', '1, 1', 'leaving', {kind: 'invalid', text: '1, 1'}],
	['retry-after', '1.5', 'retryAfterMilliseconds', {kind: 'stated', value: 1500}],
	['retry-after', '0', 'retryAfterMilliseconds', {kind: 'absent'}],
	['retry-after', '-1', 'retryAfterMilliseconds', {kind: 'invalid', text: '-1'}],
	['retry-after', 'Fri, 04 Dec 2026 21:00:00 GMT', 'retryAfterMilliseconds', {kind: 'invalid', text: 'Fri, 04 Dec 2026 21:00:00 GMT'}],
	['cold-ms', '2600', 'coldMilliseconds', {kind: 'stated', value: 2600}],
	['cold-ms', 'soon', 'coldMilliseconds', {kind: 'invalid', text: 'soon'}],
] as const)('%s: %s states %s %o', (name, value, field, expected) => {
	const {acceptance} = readResponse({[name]: value});
	expect(acceptance[field]).toEqual(expected);
	expect(Object.values(acceptance).filter(({kind}) => kind === 'absent').length).toBe(expected.kind === 'absent' ? 4 : 3);
});

test('no value of a header makes the reading of a response fail or states an unusable number', () => {
	const value = fastCheck.oneof(fastCheck.string(), fastCheck.double().map(String), fastCheck.array(fastCheck.string()));
	fastCheck.assert(fastCheck.property(fastCheck.constantFrom('server-limit', 'server-leaving', 'retry-after', 'cold-ms'), value, (name, text) => {
		const {requestsPerSecond, retryAfterMilliseconds, coldMilliseconds} = readResponse({[name]: text}).acceptance;
		expect(coldMilliseconds.kind !== 'stated' || coldMilliseconds.value >= 0).toBe(true);
		for (const stated of [requestsPerSecond, retryAfterMilliseconds]) {
			expect(stated.kind !== 'stated' || stated.value > 0).toBe(true);
		}
	}), {seed: 29, numRuns: 1000});
});
