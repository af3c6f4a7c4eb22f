import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import * as upstreamStatements from './upstream-statements.ts';

const {expect, test} = vitest;
const upstream = {id: 'i-1', incarnation: 1000};
const createLimit = (requestsPerSecond: number, heardAt: number, incarnation = upstream.incarnation): upstreamStatements.UpstreamStatement => ({
	id: upstream.id, incarnation, heardAt, content: {kind: 'rate-limit', requestsPerSecond},
});
const createEnd = (heardAt: number): upstreamStatements.UpstreamStatement => ({...upstream, heardAt, content: {kind: 'no-rate-limit'}});

test('an upstream with a rate limit needs permits until it states no limit, and returns gradually', () => {
	const statements = upstreamStatements.createUpstreamStatements();
	expect(statements.getAccess(upstream, 0)).toEqual({kind: 'open', selectionShare: 1});
	expect(statements.record(createLimit(2.2, 100))).toBe(true);
	expect(statements.getAccess(upstream, 60_000)).toEqual({kind: 'by-permit', requestsPerSecond: 2.2, heardAt: 100});
	expect(statements.record(createLimit(2.2, 200))).toBe(false);
	expect(statements.record(createEnd(300))).toBe(true);
	const shares = [300, 1300, 5000].map(now => statements.getAccess(upstream, now));
	expect(shares).toEqual([0, 0.5, 1].map(selectionShare => ({kind: 'open', selectionShare})));
});

test('an older statement, and one of an earlier incarnation, changes nothing', () => {
	const statements = upstreamStatements.createUpstreamStatements();
	statements.record(createLimit(2, 100));
	statements.record(createLimit(2, 500));
	expect(statements.record(createEnd(400))).toBe(false);
	expect(statements.record(createLimit(9, 600, 999))).toBe(false);
	expect(statements.getAccess(upstream, 700)).toMatchObject({kind: 'by-permit', requestsPerSecond: 2});
});

test('a restart of the upstream under its id clears what it had stated', () => {
	const statements = upstreamStatements.createUpstreamStatements();
	statements.record(createLimit(2, 100));
	expect(statements.getAccess({...upstream, incarnation: 1001}, 200)).toEqual({kind: 'open', selectionShare: 1});
});

test('the end of a limit that was not known holds against an older statement of the limit', () => {
	const statements = upstreamStatements.createUpstreamStatements();
	statements.record(createEnd(100));
	expect(statements.record(createLimit(2, 50))).toBe(false);
	expect(statements.getAccess(upstream, 5000)).toEqual({kind: 'open', selectionShare: 1});
});

test('an incarnation that leaves never returns, whatever is heard of it, and a new incarnation does', () => {
	const statements = upstreamStatements.createUpstreamStatements();
	statements.record(createLimit(2, 100));
	expect(statements.record({...upstream, heardAt: 200, content: {kind: 'leaving'}})).toBe(true);
	statements.record(createEnd(300));
	expect(statements.getAccess(upstream, 60_000)).toEqual({kind: 'leaving'});
	expect(statements.record({...upstream, heardAt: 50, content: {kind: 'leaving'}})).toBe(false);
	expect(statements.getAccess({...upstream, incarnation: 1001}, 60_000)).toEqual({kind: 'open', selectionShare: 1});
});

test('a cold upstream needs permits for its time, and returns gradually', () => {
	const statements = upstreamStatements.createUpstreamStatements();
	const createCold = (heardAt: number, milliseconds: number): upstreamStatements.UpstreamStatement => ({...upstream, heardAt, content: {kind: 'cold', milliseconds, requestsPerSecond: 6}});
	expect(statements.record(createCold(1000, 0))).toBe(false);
	expect(statements.record(createCold(1000, 3000))).toBe(true);
	expect(statements.record(createCold(1500, 2450))).toBe(false);
	expect(statements.record(createCold(900, 60_000))).toBe(false);
	expect(statements.getAccess(upstream, 3999)).toEqual({
		kind: 'by-permit', requestsPerSecond: 6, heardAt: 1500, coldUntil: 4000,
	});
	expect([4000, 4500, 5000].map(now => statements.getAccess(upstream, now))).toEqual([0, 0.5, 1].map(selectionShare => ({kind: 'open', selectionShare})));
	expect(statements.getUpdate(-1).statements).toEqual([{
		...upstream, content: {kind: 'cold', milliseconds: 2500, requestsPerSecond: 6}, heardAt: 1500,
	}]);
});

test('an upstream that states that it is warm needs no permits, and becomes cold again at any time', () => {
	const statements = upstreamStatements.createUpstreamStatements();
	const record = (heardAt: number, milliseconds: number) => statements.record({...upstream, heardAt, content: {kind: 'cold', milliseconds, requestsPerSecond: 6}});
	record(1000, 3000);
	expect(record(1200, 0)).toBe(true);
	expect(statements.isCold(upstream, 1300)).toBe(false);
	expect(record(9000, 3000)).toBe(true);
	expect(statements.isCold(upstream, 9100)).toBe(true);
	expect(statements.isCold({...upstream, incarnation: 2000}, 9100)).toBe(false);
});

test('a cold upstream with a rate limit keeps the lower of both', () => {
	const statements = upstreamStatements.createUpstreamStatements();
	statements.record(createLimit(2, 100));
	statements.record({...upstream, heardAt: 100, content: {kind: 'cold', milliseconds: 3000, requestsPerSecond: 6}});
	expect(statements.getAccess(upstream, 200)).toMatchObject({requestsPerSecond: 2, coldUntil: 3100});
	expect(statements.getAccess(upstream, 3200)).toMatchObject({requestsPerSecond: 2, coldUntil: undefined});
});

test('a pause lasts until the latest of its ends, is told to no other entry, and the upstream returns gradually', () => {
	const statements = upstreamStatements.createUpstreamStatements();
	const createPause = (heardAt: number, milliseconds: number): upstreamStatements.UpstreamStatement => ({...upstream, heardAt, content: {kind: 'pause', milliseconds}});
	expect(statements.record(createPause(1000, 4000))).toBe(true);
	expect(statements.record(createPause(1100, 500))).toBe(false);
	expect(statements.record(createPause(2000, 4000))).toBe(true);
	expect(statements.getAccess(upstream, 5999)).toEqual({kind: 'paused', endsAt: 6000});
	expect([6000, 7000, 8000].map(now => statements.getAccess(upstream, now))).toEqual([0, 0.5, 1].map(selectionShare => ({kind: 'open', selectionShare})));
	expect(statements.getUpdate(-1).statements).toEqual([]);
});

test('a pause without a plausible end is bounded', () => {
	const statements = upstreamStatements.createUpstreamStatements();
	statements.record({...upstream, heardAt: 0, content: {kind: 'pause', milliseconds: 1e15}});
	expect(statements.getAccess(upstream, 3_599_999)).toMatchObject({kind: 'paused'});
	expect(statements.getAccess(upstream, 3_610_000)).toEqual({kind: 'open', selectionShare: 1});
});

test('the statements of an upstream whose registration expires and returns still hold', () => {
	const statements = upstreamStatements.createUpstreamStatements();
	statements.record({...upstream, heardAt: 0, content: {kind: 'leaving'}});
	statements.retain(() => false, 1000);
	statements.retain(() => true, 31_000);
	statements.retain(() => false, 121_500);
	expect(statements.getAccess(upstream, 122_000)).toEqual({kind: 'leaving'});
	statements.retain(() => false, 300_000);
	expect(statements.getAccess(upstream, 300_000)).toEqual({kind: 'open', selectionShare: 1});
});

test('tables that exchange their updates in any order agree', () => {
	const statementArbitrary = fastCheck.record({
		id: fastCheck.constantFrom('i-1', 'i-2'),
		incarnation: fastCheck.integer({min: 1, max: 2}),
		// Two upstreams' responses are heard at different times.
		heardAt: fastCheck.integer({min: 0, max: 1_000_000}),
		content: fastCheck.oneof(fastCheck.constant({kind: 'no-rate-limit'} as const), fastCheck.constant({kind: 'leaving'} as const), fastCheck.record({kind: fastCheck.constant('rate-limit' as const), requestsPerSecond: fastCheck.constantFrom(1, 2)})),
	});
	fastCheck.assert(fastCheck.property(fastCheck.uniqueArray(statementArbitrary, {selector: ({heardAt}) => heardAt}), fastCheck.integer(), (all, split) => {
		const tables = [upstreamStatements.createUpstreamStatements(), upstreamStatements.createUpstreamStatements()] as const;
		for (const [index, statement] of all.entries()) {
			tables[(index + split) % 2 === 0 ? 0 : 1].record(statement);
		}

		for (const [from, to] of [[0, 1], [1, 0], [0, 1]] as const) {
			for (const statement of tables[from].getUpdate(-1).statements) {
				tables[to].record(statement);
			}
		}

		for (const id of ['i-1', 'i-2']) {
			const [left, right] = tables.map(table => [1, 2].map(incarnation => table.getAccess({id, incarnation}, 3_000_000)));
			const describe = (access: upstreamStatements.UpstreamAccess) => access.kind === 'by-permit' ? access.requestsPerSecond : access.kind;
			expect(left!.map(access => describe(access))).toEqual(right!.map(access => describe(access)));
		}
	}), {seed: 28, numRuns: 500});
});
