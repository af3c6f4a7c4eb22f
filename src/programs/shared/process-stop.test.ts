import * as vitest from 'vitest';
import * as processStop from './process-stop.ts';

const {afterEach, beforeEach, expect, test, vi} = vitest;

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

const never = async () => {
	await new Promise(() => {
		// Never settles.
	});
};

const limits = {leaveMilliseconds: 1800, endMilliseconds: 1900};

const record = () => undefined;

function createHost(flush: () => Promise<void>, onStop: () => void = record) {
	const events: unknown[] = [];
	const stop = processStop.createStop({
		logger: {
			error(event, fields) {
				events.push([event, fields]);
			}, warn: record, info: record, debug: record,
		},
		limits,
		onStop,
		flush,
	}, code => {
		events.push(['exit', code]);
	});
	return {events, stop};
}

// Guards against lines of a stop that are lost because its process is killed while the writer collects them.
test('the log hears of a stop before anything is stopped, and once', () => {
	const order: string[] = [];
	const {stop} = createHost(never, () => {
		order.push('began');
	});
	const leave = async () => {
		order.push('leaving');
		await never();
	};

	stop.handOver({leave, leaveAtOnce: leave});
	stop.stop(0, async stoppable => stoppable.leave());
	stop.stop(0, async stoppable => stoppable.leave());
	expect(order).toEqual(['began', 'leaving']);
});

// Guards against a process that is killed at the end of its grace period because a part of its stop never ends.
test('a process ends in time although its stop and its log stand still', async () => {
	const {events, stop} = createHost(never);
	stop.handOver({leave: never, leaveAtOnce: never});
	stop.stop(0, async stoppable => stoppable.leave());
	await vi.advanceTimersByTimeAsync(1000);
	stop.stop(0, async stoppable => stoppable.leave());
	await vi.advanceTimersByTimeAsync(limits.leaveMilliseconds - 1001);
	expect(events).toEqual([]);
	await vi.advanceTimersByTimeAsync(1);
	expect(events).toEqual([['stop-failed', {reason: 'overdue'}]]);
	await vi.advanceTimersByTimeAsync(limits.endMilliseconds - limits.leaveMilliseconds);
	expect(events.at(-1)).toEqual(['exit', 1]);
});

test('a process ends as soon as its stop does, once, with code 1 after an error', async () => {
	const {events, stop} = createHost(async () => undefined);
	stop.handOver({leave: async () => undefined, leaveAtOnce: never});
	stop.stop(0, async stoppable => stoppable.leave());
	stop.stop(1, async stoppable => stoppable.leaveAtOnce());
	await vi.advanceTimersByTimeAsync(limits.endMilliseconds);
	expect(events).toEqual([['exit', 1]]);
});

// Guards against a process that is killed because it handled the signal to stop late.
test('a process that handled the signal late ends earlier by as much', async () => {
	const {events, stop} = createHost(never);
	stop.handOver({leave: never, leaveAtOnce: never});
	stop.stop(0, async stoppable => stoppable.leave(500), 500);
	await vi.advanceTimersByTimeAsync(limits.endMilliseconds - 501);
	expect(events).toEqual([['stop-failed', {reason: 'overdue'}]]);
	await vi.advanceTimersByTimeAsync(1);
	expect(events.at(-1)).toEqual(['exit', 1]);
});
