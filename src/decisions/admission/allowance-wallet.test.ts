/** Tests of the choice of a coordinator, and of admissions that run out. */
import * as vitest from 'vitest';
import * as allowanceIssuer from './allowance-issuer.ts';
import * as allowanceWallet from './allowance-wallet.ts';

const {expect, test} = vitest;
const workspace = 'w';
const coordinators = ['a', 'b'];
const createQuestion = (coordinator: string, needed: number, askedAt: number) => ({
	workspace, coordinator, needed, askedAt,
});
const issue = (count: number, retryAfterMilliseconds = 0) => ({kind: 'issued' as const, count, retryAfterMilliseconds});

// Guards against an entry that stood still and uses what the coordinator regards as expired.
test('admissions run out, counted from the question and not from its answer', () => {
	const wallet = allowanceWallet.createAllowanceWallet();
	wallet.recordResponse(createQuestion('a', 2, 0), issue(2), allowanceIssuer.admissionMilliseconds - 1);
	expect(wallet.take(workspace, allowanceIssuer.admissionMilliseconds - 1)).toBe(true);
	expect(wallet.take(workspace, allowanceIssuer.admissionMilliseconds)).toBe(false);
});

test('each admission is used once', () => {
	const wallet = allowanceWallet.createAllowanceWallet();
	wallet.recordResponse(createQuestion('a', 1, 0), issue(2), 1);
	wallet.recordResponse(createQuestion('b', 1, 0), issue(1), 1);
	expect([1, 2, 3, 4].map(now => wallet.take(workspace, now))).toEqual([true, true, true, false]);
	expect(wallet.take('another', 1)).toBe(false);
});

// Guards against requests that each wait for a coordinator that is killed, frozen or cut off.
test('a silent coordinator is passed over by all workspaces, and one question at a time finds out whether it is back', () => {
	const wallet = allowanceWallet.createAllowanceWallet();
	wallet.recordResponse(createQuestion('a', 1, 0), undefined, 0);
	expect(wallet.chooseStep(workspace, coordinators, 1)).toMatchObject({kind: 'ask', coordinator: 'b'});
	expect(wallet.chooseStep('another', coordinators, 1)).toMatchObject({kind: 'ask', coordinator: 'b'});
	expect(wallet.chooseStep(workspace, coordinators, 1000)).toMatchObject({kind: 'ask', coordinator: 'a'});
	expect(wallet.chooseStep(workspace, coordinators, 1001)).toMatchObject({kind: 'ask', coordinator: 'b'});
	wallet.recordResponse(createQuestion('a', 1, 1000), issue(1), 1002);
	expect(wallet.chooseStep(workspace, coordinators, 1003)).toMatchObject({kind: 'ask', coordinator: 'a'});
});

test('a request is limited if a coordinator has none left, and undecided if none answers or counts', () => {
	const wallet = allowanceWallet.createAllowanceWallet();
	wallet.recordResponse(createQuestion('a', 1, 0), undefined, 0);
	wallet.recordResponse(createQuestion('b', 1, 0), {kind: 'not-counted', retryAfterMilliseconds: 200}, 0);
	expect(wallet.chooseStep(workspace, coordinators, 1)).toEqual({kind: 'refuse', reason: 'undecided'});
	wallet.recordResponse(createQuestion('b', 1, 300), issue(0, 500), 300);
	expect(wallet.chooseStep(workspace, coordinators, 301)).toEqual({kind: 'refuse', reason: 'limited'});
	expect(wallet.chooseStep(workspace, [], 301)).toEqual({kind: 'refuse', reason: 'undecided'});
	expect(wallet.chooseStep(workspace, coordinators, 800)).toMatchObject({kind: 'ask', coordinator: 'b'});
});
