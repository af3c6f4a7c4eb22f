import * as vitest from 'vitest';
import * as permitWallet from './permit-wallet.ts';

const {expect, test} = vitest;
const upstream = {id: 'i-1', incarnation: 1};
const granted = {kind: 'granted', startsInMilliseconds: 100, validMilliseconds: 500} as const;

test('a permit is used once, between its start and its end', () => {
	const wallet = permitWallet.createPermitWallet();
	expect(wallet.tryStartRequest(upstream, 0)).toBe(true);
	expect(wallet.tryStartRequest(upstream, 1)).toBe(false);
	wallet.recordResponse(upstream, granted, 0, 10);
	expect(wallet.take(upstream, 50)).toBe(false);
	expect(wallet.tryStartRequest(upstream, 60)).toBe(false);
	expect(wallet.take(upstream, 120)).toBe(true);
	expect(wallet.take(upstream, 121)).toBe(false);
	expect(wallet.tryStartRequest(upstream, 122)).toBe(true);
});

test('a permit whose answer was delayed past its end is not used', () => {
	const wallet = permitWallet.createPermitWallet();
	wallet.tryStartRequest(upstream, 0);
	wallet.recordResponse(upstream, granted, 0, 5000);
	expect(wallet.take(upstream, 5101)).toBe(false);
});

test('an entry asks again after the time that the coordinator gave, and after a pause if it did not answer', () => {
	const wallet = permitWallet.createPermitWallet();
	wallet.tryStartRequest(upstream, 0);
	wallet.recordResponse(upstream, {kind: 'denied', retryAfterMilliseconds: 700}, 0, 10);
	expect(wallet.tryStartRequest(upstream, 600)).toBe(false);
	expect(wallet.tryStartRequest(upstream, 710)).toBe(true);
	wallet.recordResponse(upstream, undefined, 710, 1010);
	expect(wallet.tryStartRequest(upstream, 1200)).toBe(false);
	expect(wallet.tryStartRequest(upstream, 1510)).toBe(true);
});

test('a permit of an earlier incarnation of the upstream is not used', () => {
	const wallet = permitWallet.createPermitWallet();
	wallet.tryStartRequest(upstream, 0);
	wallet.recordResponse(upstream, granted, 0, 10);
	expect(wallet.take({...upstream, incarnation: 2}, 200)).toBe(false);
});
