/** Tests of the fault proxy in front of an upstream stand-in. */
import * as vitest from 'vitest';
import * as undici from 'undici';
import {createFaultProxy} from './fault-proxy.ts';
import {createUpstream} from './upstream.ts';

const {expect, test} = vitest;

async function createChain() {
	const upstream = await createUpstream({name: 'upstream-1', slots: 2, seed: 1});
	const [targetHost, targetPort] = upstream.address.split(':');
	const proxy = await createFaultProxy({targetHost: targetHost!, targetPort: Number(targetPort)});
	const client = new undici.Client(`http://${proxy.host}:${proxy.port}`, {headersTimeout: 300, bodyTimeout: 300});
	const call = async (key: string) => {
		const response = await client.request({
			path: '/price', method: 'POST', body: key, headers: {'idempotency-key': key},
		});
		return response.body.text();
	};

	const close = async () => {
		await client.destroy();
		await proxy.close();
		await upstream.close();
	};

	return {
		upstream, proxy, call, close,
	};
}

test('without faults, requests and responses pass through unchanged', async () => {
	const {call, close, upstream} = await createChain();
	expect(await call('one')).toContain('"key":"one"');
	expect(upstream.runs.get('one')).toBe(1);
	await close();
});

test('when responses are lost, the upstream still executes the request', async () => {
	const {call, close, proxy, upstream} = await createChain();
	proxy.setFaults({loseAnswers: true});
	await expect(call('one')).rejects.toThrow();
	expect(upstream.runs.get('one')).toBe(1);
	await close();
});

test('the open fault silences open connections, and new connections work', async () => {
	const {call, close, proxy, upstream} = await createChain();
	await call('one');
	proxy.setFaults({silent: 'open'});
	await expect(call('two')).rejects.toThrow();
	expect(upstream.runs.has('two')).toBe(false);
	expect(await call('three')).toContain('"key":"three"');
	await close();
});

test('the cut fault resets new connections', async () => {
	const {call, close, proxy} = await createChain();
	proxy.setFaults({cut: true});
	await expect(call('one')).rejects.toThrow();
	await close();
});
