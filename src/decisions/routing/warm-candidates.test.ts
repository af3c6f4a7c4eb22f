import * as vitest from 'vitest';
import * as randomness from '../random.ts';
import * as prequalSelection from './prequal-selection.ts';
import * as warmCandidates from './warm-candidates.ts';

const {expect, test} = vitest;

type Upstream = {readonly id: number; requests: number};
type Entry = {readonly lastUsedAt: Map<number, number>};

/** Plays entries that each receive requests at a rate, and close connections that were idle for eight seconds. */
function playRequests(options: {readonly entries: number; readonly upstreams: number; readonly requestsPerEntryAndSecond: number}): {readonly connectionsPerRequest: number; readonly requests: readonly number[]} {
	const random = randomness.createRandomSource(20_274);
	const upstreams: Upstream[] = Array.from({length: options.upstreams}, (_, id) => ({id, requests: 0}));
	const entries: Entry[] = Array.from({length: options.entries}, () => ({lastUsedAt: new Map()}));
	const totalRequests = 60 * options.entries * options.requestsPerEntryAndSecond;
	let connections = 0;
	for (let request = 0; request < totalRequests; request++) {
		const now = 60_000 * request / totalRequests;
		const {lastUsedAt} = entries[random.nextInteger(entries.length)]!;
		const isWarm = ({id}: Upstream) => now - (lastUsedAt.get(id) ?? Number.NEGATIVE_INFINITY) < 8000;
		const sample = prequalSelection.sampleCandidates(warmCandidates.restrictToWarm(upstreams, isWarm, random), 3, () => 0, random);
		for (const upstream of sample) {
			connections += isWarm(upstream) ? 0 : 1;
			lastUsedAt.set(upstream.id, now);
		}

		sample[0]!.requests++;
	}

	return {connectionsPerRequest: connections / totalRequests, requests: upstreams.map(({requests}) => requests)};
}

test.each([16, 129, 312])('%d entries over 70 upstreams of a failure domain open at most 0.15 connections a request', entries => {
	expect(playRequests({entries, upstreams: 70, requestsPerEntryAndSecond: 10}).connectionsPerRequest).toBeLessThan(0.15);
});

test.each([16, 129, 312])('no upstream is left out by %d entries, and none gets more than three times its part', entries => {
	const {requests} = playRequests({entries, upstreams: 70, requestsPerEntryAndSecond: 10});
	const mean = requests.reduce((sum, count) => sum + count, 0) / requests.length;
	expect(Math.min(...requests)).toBeGreaterThan(mean / 5);
	expect(Math.max(...requests)).toBeLessThan(3 * mean);
});

test('all candidates are used while few of them are warm, and an upstream that joins is used within a few selections', () => {
	const random = randomness.createRandomSource(20_275);
	const candidates = Array.from({length: 40}, (_, index) => index);
	expect(warmCandidates.restrictToWarm(candidates, index => index < 7, random)).toEqual(candidates);
	const selections = Array.from({length: 200}, () => warmCandidates.restrictToWarm(candidates, index => index < 10, random));
	expect(selections.some(selection => selection.length === 40)).toBe(true);
	expect(selections.filter(selection => selection.length === 10).length).toBeGreaterThan(150);
});
