import * as vitest from 'vitest';
import * as lastReading from './last-reading.ts';

const {expect, test} = vitest;

function createHost(choose: (turn: number) => {readonly open: number; readonly written: number; readonly receivedBytes: number}) {
	let turn = 0;
	const host: lastReading.LastReadingHost = {
		countOpen: () => choose(turn).open,
		countWritten: () => choose(turn).written,
		countReceivedBytes: () => choose(turn++).receivedBytes,
		getNow: () => turn,
	};
	return {host, countTurns: () => turn};
}

// Guards against a stop that doesn't end while upstreams send, and against one that is over before anything is read.
test.each([
	{
		name: 'an answer without end', endsAt: 50, choose: (turn: number) => ({open: 1, written: 0, receivedBytes: turn}), turns: 50,
	},
	{
		name: 'an answer that its caller does not take', endsAt: 50, choose: () => ({open: 1, written: 1, receivedBytes: 0}), turns: 50,
	},
	{
		name: 'an answer that is read when the time is over', endsAt: -1, choose: (turn: number) => ({open: 1, written: 0, receivedBytes: turn}), turns: 5,
	},
	{
		name: 'an upstream that still works', endsAt: 50, choose: () => ({open: 1, written: 0, receivedBytes: 0}), turns: 11,
	},
	{
		name: 'no request', endsAt: 50, choose: () => ({open: 0, written: 0, receivedBytes: 0}), turns: 1,
	},
])('sockets are read for $turns turns: $name', async ({choose, endsAt, turns}) => {
	const {host, countTurns} = createHost(choose);
	await lastReading.readArrived(host, endsAt);
	expect(countTurns()).toBe(turns);
});
