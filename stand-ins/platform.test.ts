/** Tests of the log service and the instance list through the clients of the product. */
import * as vitest from 'vitest';
import {createHttpInstanceList} from '../src/platform/http-instance-list.ts';
import {createHttpLog} from '../src/platform/http-log.ts';
import {createInstanceList} from './instance-list.ts';
import {createLogService} from './log-service.ts';

const {expect, onTestFinished, test} = vitest;
const timeout = 5000;
const readNow = {limit: 10, waitMilliseconds: 0, timeoutMilliseconds: timeout};

test('records expire after the retention time, and reads return the first retained offset', async () => {
	let now = 0;
	const service = await createLogService({now: () => now, faults: {retentionMilliseconds: 100}});
	onTestFinished(async () => service.close());
	const log = createHttpLog(service.url);
	await log.append('table', 'a', 1, timeout);
	now = 90;
	await log.append('table', 'b', 2, timeout);
	now = 150;
	const page = await log.read('table', 0, readNow);
	expect(page._unsafeUnwrap()).toEqual({
		firstOffset: 1, nextOffset: 2, records: [{
			offset: 1, id: 'b', appendedAt: 90, value: 2,
		}],
	});
});

test('a long poll returns when a record is appended', async () => {
	const service = await createLogService();
	onTestFinished(async () => service.close());
	const log = createHttpLog(service.url);
	const reading = log.read('table', 0, {...readNow, waitMilliseconds: timeout});
	await log.append('table', 'a', 1, timeout);
	const waited = await reading;
	expect(waited._unsafeUnwrap().records.map(record => record.id)).toEqual(['a']);
});

test('an append whose response is lost takes effect, and a refused append does not', async () => {
	const service = await createLogService({faults: {lostAnswerShare: 1}});
	onTestFinished(async () => service.close());
	const log = createHttpLog(service.url);
	const lost = await log.append('table', 'a', 1, timeout);
	expect(lost._unsafeUnwrapErr().kind).toBe('lost');
	service.setFaults({lostAnswerShare: 0, refusedShare: 1});
	const refused = await log.append('table', 'b', 1, timeout);
	expect(refused._unsafeUnwrapErr().kind).toBe('refused');
	expect(service.getRecords('table').map(record => record.id)).toEqual(['a']);
});

test('the instance list shows changes after its lag, and fails while it is down', async () => {
	let now = 0;
	const list = await createInstanceList({now: () => now, faults: {lagMilliseconds: 50}});
	onTestFinished(async () => list.close());
	const client = createHttpInstanceList(list.url);
	list.put({
		name: 'entry-1', role: 'entry', region: 'west', failureDomain: 'riverside', address: '127.0.0.1:1', state: 'live',
	});
	const before = await client.list(timeout);
	expect(before._unsafeUnwrap()).toEqual([]);
	now = 50;
	const after = await client.list(timeout);
	expect(after._unsafeUnwrap().map(instance => instance.name)).toEqual(['entry-1']);
	list.setFaults({down: true});
	const outage = await client.list(timeout);
	expect(outage._unsafeUnwrapErr().kind).toBe('refused');
});
