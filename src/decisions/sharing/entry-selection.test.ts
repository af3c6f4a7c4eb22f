import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import * as demandMeter from './demand-meter.ts';
import * as entrySelection from './entry-selection.ts';
import type * as types from './types.ts';

const {expect, test} = vitest;
const seed = 20_271;

function createMember(index: number, changes: Partial<types.Member> = {}): types.Member {
	const name = `entry-${index}`;
	return {
		name, incarnation: name, startedAt: 0, failureDomain: 'a', region: 'east', callerAddress: `${name}:1`, peerAddress: `${name}:2`, isReady: true, canRead: true, isCutOff: false, linkMegabits: 14, cores: 0.27, requestsPerSecond: 0, ...changes,
	};
}

function createMembers(count: number, changes: Partial<types.Member> = {}): readonly types.Member[] {
	return Array.from({length: count}, (_, index) => createMember(index, changes));
}

const membersArbitrary = fastCheck.array(fastCheck.record({
	cores: fastCheck.constantFrom(0.27, 0.54, 1.35),
	requestsPerSecond: fastCheck.option(fastCheck.integer({min: 0, max: 300}), {nil: undefined}),
	isReady: fastCheck.boolean(),
	isCutOff: fastCheck.boolean(),
}), {minLength: 1, maxLength: 40}).map(list => list.map((changes, index) => createMember(index, changes)));

test('a quiet day of 312 entries uses two entries of a failure domain, and a crest as many as it needs', () => {
	const domain = createMembers(62);
	expect(entrySelection.selectEntriesInUse(domain)).toHaveLength(2);
	const busy = createMembers(62, {requestsPerSecond: 5});
	expect(entrySelection.selectEntriesInUse(busy).length).toBeGreaterThanOrEqual(Math.ceil(62 * 5 / (0.27 * 25)));
	expect(entrySelection.selectEntriesInUse(createMembers(62, {requestsPerSecond: 40}))).toHaveLength(62);
});

test('entries with more processor cores are used first', () => {
	const members = [...createMembers(10), createMember(10, {cores: 1.35, requestsPerSecond: 40}), createMember(11, {cores: 0.54})];
	expect(entrySelection.selectEntriesInUse(members).map(({name}) => name)).toEqual(['entry-10', 'entry-11']);
});

test('all entries are used while most of them have just started', () => {
	const members = [...createMembers(4, {requestsPerSecond: 30}), ...createMembers(5, {requestsPerSecond: undefined})];
	expect(entrySelection.selectEntriesInUse(members)).toHaveLength(9);
});

test('the entries in use carry the demand, or are all entries, and the loss of one replaces it by one other', () => {
	fastCheck.assert(fastCheck.property(membersArbitrary, fastCheck.nat(), (members, lostIndex) => {
		const inUse = entrySelection.selectEntriesInUse(members);
		expect(new Set(inUse).size).toBe(inUse.length);
		expect(inUse.length).toBeGreaterThanOrEqual(Math.min(2, members.length));
		const demand = members.reduce((sum, {requestsPerSecond}) => sum + (requestsPerSecond ?? 0), 0);
		const capacity = inUse.reduce((sum, {cores}) => sum + (cores * 25), 0);
		expect(inUse.length === members.length || capacity >= demand).toBe(true);

		const lost = inUse[lostIndex % inUse.length]!;
		const afterLoss = entrySelection.selectEntriesInUse(members.map(member => member === lost ? {...member, cores: 0.001, requestsPerSecond: lost.requestsPerSecond} : member));
		const kept = inUse.filter(member => member !== lost);
		expect(kept.every(member => afterLoss.includes(member))).toBe(true);
	}), {seed});
});

test('callers of one failure domain get ready entries only, the same from every entry', () => {
	fastCheck.assert(fastCheck.property(membersArbitrary, members => {
		const location = {failureDomain: 'a', region: 'east'};
		const addresses = entrySelection.chooseCallerAddresses(members, location, 64);
		expect(addresses).toEqual(entrySelection.chooseCallerAddresses(members.toReversed(), location, 64).toReversed());
		expect(addresses.length > 0).toBe(members.some(({isReady}) => isReady));
		expect(addresses.every(address => members.some(({callerAddress, isReady}) => callerAddress === address && isReady))).toBe(true);
		const hasConnected = members.some(({isReady, isCutOff}) => isReady && !isCutOff);
		expect(addresses.every(address => members.some(({callerAddress, isCutOff}) => callerAddress === address && !(hasConnected && isCutOff)))).toBe(true);
	}), {seed});
});

test('the budget shares of all entries add up to one, also at 312 and 1,000 entries', () => {
	fastCheck.assert(fastCheck.property(membersArbitrary, fastCheck.constantFrom(1, 312, 1000), (some, count) => {
		const members = [...some, ...createMembers(count)].map((member, index) => ({...member, name: `entry-${index}`}));
		let total = 0;
		for (const {name} of members) {
			const share = entrySelection.getBudgetShare(name, members);
			expect(share).toBeGreaterThanOrEqual(0.5 / members.length);
			total += share;
		}

		expect(total).toBeCloseTo(1, 6);
	}), {seed, numRuns: 20});
});

test('the reported rate follows a burst at once and falls slowly', () => {
	const meter = demandMeter.createDemandMeter(0);
	expect(meter.getReportedRate(3999)).toBeUndefined();
	expect(meter.getReportedRate(4000)).toBe(0);
	for (let now = 4000; now < 6000; now += 20) {
		meter.countRequest(now);
	}

	expect(meter.getReportedRate(6000)).toBeGreaterThanOrEqual(40);
	expect(meter.getReportedRate(6000)).toBeLessThanOrEqual(80);
	expect(meter.getReportedRate(9000)).toBeGreaterThanOrEqual(20);
	expect(meter.getReportedRate(60_000)).toBe(0);
});

test('the reported rate changes in few steps, since each change is sent to all entries', () => {
	const meter = demandMeter.createDemandMeter(0);
	let changes = 0;
	let reported: number | undefined;
	for (let now = 0; now < 60_000; now += 100) {
		// Waves of 13 seconds between 5 and 15 requests per second.
		const rate = 10 + (5 * Math.sin(2 * Math.PI * now / 13_000));
		for (let count = 0; count < Math.round(rate / 10); count++) {
			meter.countRequest(now);
		}

		const next = meter.getReportedRate(now);
		changes += next === reported ? 0 : 1;
		reported = next;
	}

	expect(changes).toBeLessThan(20);
});
