/** Tests of a reader whose store states eras that can't be used, through the client of the product. */
import * as vitest from 'vitest';
import * as createPlatform from '../platform/create-platform.ts';
import * as storeReaders from '../src/gateway/store-reader.ts';
import * as storeStandIn from '../stand-ins/store.ts';
import * as gateways from './support/gateways.ts';
import * as storeReplay from './support/store-replay.ts';

const {expect, onTestFinished, test} = vitest;
const getNow = () => performance.now();
const maximumLineLength = 200;

/** Starts a reader that knows the era 5. */
async function startReader() {
	const store = await storeStandIn.startStore();
	const platform = createPlatform.createPlatform(store.address, getNow, () => undefined);
	onTestFinished(store.close);
	onTestFinished(platform.close);
	const warnings: Array<{readonly event: string; readonly problem: unknown; readonly length: number}> = [];
	const platformState = storeReplay.createState();
	const reader = storeReaders.createStoreReader({
		store: platform.store, platformState, getNow, onReachabilityChange: () => undefined, catchUp: async () => undefined,
		logger: {
			error: () => undefined, info: () => undefined, debug: () => undefined, warn(event, fields) {
				warnings.push({event, problem: fields?.problem, length: JSON.stringify(fields).length});
			},
		},
	});
	let version = 1;

	/** Writes to both streams, and checks that the next read brings both. */
	async function expectFollowed(): Promise<void> {
		version++;
		const id = `i-${version}`;
		store.put('keyed.op', 'config', gateways.createConfiguration(version));
		gateways.register(store, {id, address: `127.0.0.1:${version}`});
		expect(await reader.readOnce()).toBe(true);
		expect(platformState.getActiveConfiguration()?.configuration.version).toBe(version);
		expect(storeReplay.listIds(platformState)).toContain(id);
	}

	store.setEraText('5');
	await expectFollowed();
	await expectFollowed();
	return {
		store, platformState, reader, expectFollowed, warnings,
	};
}

// Guards against a header that ends reading, that is taken for a rise, that is logged with each answer, or in full length.
test.each([
	{name: 'goes back', text: '4', problem: 'went-back'},
	{name: 'is negative', text: '-6', problem: 'invalid'},
	{name: 'is a fraction', text: '6.5', problem: 'invalid'},
	{name: 'is a power', text: '1e3', problem: 'invalid'},
	{name: 'is empty', text: '', problem: 'invalid'},
	{name: 'is too large for a number', text: '9'.repeat(400), problem: 'invalid'},
	{name: 'is as large as numbers get', text: String(Number.MAX_SAFE_INTEGER), problem: 'invalid'},
	{name: 'is a long text', text: 'x'.repeat(8000), problem: 'invalid'},
	{name: 'is stated by two headers', text: ['6', '5'], problem: 'invalid'},
	{name: 'is missing', text: undefined, problem: 'absent'},
])('an era that $name costs one bounded line, and records are followed', async ({text, problem}) => {
	const {store, platformState, expectFollowed, warnings} = await startReader();
	store.setEraText(text);
	await expectFollowed();
	await expectFollowed();
	expect(platformState.getEra()).toBe(5);
	expect(warnings).toMatchObject([{event: 'store-era-invalid', problem}]);
	expect(warnings[0]!.length).toBeLessThanOrEqual(maximumLineLength);
	store.setEraText('6');
	await expectFollowed();
	expect(platformState.getEra()).toBe(6);
});

// Guards against a stream that is read anew, or discarded, with each answer since the other one states a later era.
test.each(['keyed.op', 'keyed.servers'])('an era that stays behind in the answers about %s costs one line, and records are followed', async topic => {
	const {store, platformState, reader, expectFollowed, warnings} = await startReader();
	store.setEraText('6');
	store.setEraText('5', topic);
	// The first read may discard what was asked for before the rise.
	await reader.readOnce();
	await expectFollowed();
	const callsBefore = store.countCalls();
	await expectFollowed();
	expect(store.countCalls() - callsBefore).toBe(2);
	expect(platformState.getEra()).toBe(6);
	expect(warnings.map(({event}) => event)).toEqual(['store-era-invalid']);
});
