/** Tests of the store's return from an older copy through the client of the product. */
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as storeClient from '../platform/store-client.ts';
import * as storeStandIn from './store.ts';

const {expect, onTestFinished, test} = vitest;
const timeoutMilliseconds = 1000;
const topic = 'keyed.op';

// Guards against tests of a loss that play none: records that stay, offsets that aren't given out again, or an era that stays.
test('the store returns without its latest records, in the next era, and gets them again later', async () => {
	const store = await storeStandIn.startStore();
	const client = storeClient.createStoreClient(store.address, () => 0, () => undefined);
	onTestFinished(client.close);
	onTestFinished(store.close);
	const stream = client.createStream(topic, record => record);
	store.put(topic, 'a', 1);
	store.put(topic, 'b', 1);
	await timers.setTimeout(200);
	store.put(topic, 'a', 2);
	store.put(topic, 'b', undefined);
	store.put(topic, 'c', 1);
	const returned = store.returnFromCopy({awayMilliseconds: 400, lostMilliseconds: 150, rewriteMilliseconds: 500});
	const away = await stream.readNewest(timeoutMilliseconds);
	expect(away._unsafeUnwrapErr().kind).toBe('lost');
	await timers.setTimeout(450);
	const older = await stream.readNewest(timeoutMilliseconds);
	expect(older._unsafeUnwrap()).toMatchObject({position: 2, records: [{key: 'a', value: 1}, {key: 'b', value: 1}]});
	const beyond = await stream.read(5, {waitMilliseconds: 0, timeoutMilliseconds});
	expect(beyond._unsafeUnwrapErr().kind).toBe('expired');
	store.put(topic, 'a', 3);
	await returned;
	const rewritten = await stream.read(2, {waitMilliseconds: 0, timeoutMilliseconds});
	expect(rewritten._unsafeUnwrap()).toMatchObject({position: 5, records: [{key: 'a', value: 3}, {key: 'b'}, {key: 'c', value: 1}]});
	const response = await fetch(`http://${store.address}/api/log-read?topic=${topic}&part=0&from=9`);
	expect(response.status).toBe(410);
	expect(response.headers.get('store-era')).toBe('2');
});
