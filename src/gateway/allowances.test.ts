/** Checks what waits for admissions after random orders of requests, departures, answers and losses. */
import * as fc from 'fast-check';
import * as neverthrow from 'neverthrow';
import * as vitest from 'vitest';
import type * as allowanceIssuer from '../decisions/admission/allowance-issuer.ts';
import * as randomness from '../decisions/random.ts';
import type * as sharing from '../decisions/sharing/types.ts';
import type * as logger from '../observability/logger.ts';
import type * as peerAllowances from '../peers/allowances.ts';
import * as allowancesModule from './allowances.ts';

const {expect, test} = vitest;
const silentLogger: logger.Logger = {
	error: () => undefined, warn: () => undefined, info: () => undefined, debug: () => undefined,
};
const workspace = {
	name: 'w', keys: [], priority: 1, allowance: {requestsPerSecond: 10, burst: 10},
};
const createMember = (name: string): sharing.Member => ({
	name, incarnation: 'a', startedAt: 0, failureDomain: name, region: 'r', callerAddress: '', peerAddress: name, isReady: true, canRead: true, isCutOff: false, linkMegabits: 10, cores: 1, requestsPerSecond: 1,
});

type Question = {readonly request: allowanceIssuer.AdmissionRequest; answer(response: allowanceIssuer.AdmissionResponse | undefined): void};

/** Starts the allowances of an entry that isn't ready, so that it coordinates nothing; the test answers its questions. */
function createEntry() {
	const clock = {now: 0};
	const questions: Question[] = [];
	const client: peerAllowances.AllowanceClient = {
		request: (_address, request) => new neverthrow.ResultAsync(new Promise(resolve => {
			questions.push({
				request,
				answer(response) {
					resolve(response ? neverthrow.ok(response) : neverthrow.err({kind: 'no-answer', message: 'lost'}));
				},
			});
		})),
		close: () => undefined,
	};
	const allowances = allowancesModule.createAllowances({
		client,
		logger: silentLogger,
		random: randomness.createRandomSource(1),
		name: 'edge-0',
		failureDomain: 'edge-0',
		listWorkspaces: () => [workspace],
		listMembers: () => ['edge-1', 'edge-2', 'edge-3', 'edge-4'].map(name => createMember(name)),
		getVisibleShare: () => 1,
		getNow: () => clock.now,
		recordAdmissions: () => undefined,
	});
	return {clock, questions, allowances};
}

/** Lets everything run that waits for an answer. */
const settle = async () => new Promise(resolve => {
	setImmediate(resolve);
});

const actions = fc.array(fc.oneof(
	fc.record({kind: fc.constant('request' as const)}),
	fc.record({kind: fc.constant('departure' as const), index: fc.nat(9)}),
	fc.record({kind: fc.constant('issued' as const), count: fc.nat(4)}),
	fc.record({kind: fc.constant('not-counted' as const)}),
	fc.record({kind: fc.constant('loss' as const)}),
	fc.record({kind: fc.constant('time' as const), milliseconds: fc.integer({min: 1, max: 1500})}),
), {minLength: 1, maxLength: 20});

// Guards against requests that are held for callers that have left, and against admissions that are used twice or without having been issued.
test('in any order, each request is decided at most once, none after its caller has left, and nothing waits at the end', async () => {
	await fc.assert(fc.asyncProperty(actions, async order => {
		const {clock, questions, allowances} = createEntry();
		const requests: Array<{readonly decisions: allowancesModule.Admission[]; hasLeft: boolean; withdraw(): void}> = [];
		let issued = 0;
		for (const action of order) {
			switch (action.kind) {
				case 'request': {
					const decisions: allowancesModule.Admission[] = [];
					const request = {decisions, hasLeft: false, withdraw: () => undefined as void};
					request.withdraw = allowances.admit(workspace, admission => {
						expect(request.hasLeft).toBe(false);
						decisions.push(admission);
					});
					requests.push(request);
					break;
				}

				case 'departure': {
					const request = requests[action.index];
					if (request) {
						request.hasLeft = true;
						request.withdraw();
					}

					break;
				}

				case 'issued': {
					const question = questions.shift();
					if (question) {
						issued += action.count;
						question.answer({kind: 'issued', count: action.count, retryAfterMilliseconds: action.count < question.request.needed ? 100 : 0});
					}

					break;
				}

				case 'not-counted': {
					questions.shift()?.answer({kind: 'not-counted', retryAfterMilliseconds: 200});
					break;
				}

				case 'loss': {
					questions.shift()?.answer(undefined);
					break;
				}

				case 'time': {
					clock.now += action.milliseconds;
					break;
				}
			}

			await settle();
			expect(requests.filter(({decisions}) => decisions.includes('admitted')).length).toBeLessThanOrEqual(issued);
		}

		for (let question = questions.shift(); question; question = questions.shift()) {
			question.answer(undefined);
			await settle();
		}

		expect(allowances.countWaiting()).toBe(0);
		expect(requests.filter(({decisions, hasLeft}) => decisions.length !== 1 && !hasLeft)).toEqual([]);
		expect(requests.every(({decisions}) => decisions.length <= 1)).toBe(true);
	}), {seed: 11, numRuns: 500});
});

test('the admission of a caller that has left serves the next one', async () => {
	const {questions, allowances} = createEntry();
	const decisions: string[] = [];
	const withdraw = allowances.admit(workspace, () => {
		decisions.push('first');
	});
	withdraw();
	questions.shift()!.answer({kind: 'issued', count: 1, retryAfterMilliseconds: 0});
	await settle();
	allowances.admit(workspace, admission => {
		decisions.push(`second ${admission}`);
	});
	expect(decisions).toEqual(['second admitted']);
});

// Guards against requests that wait although it is known that they can't be served.
test('a request is refused at once while all coordinators have none left, and while none is known', async () => {
	const {questions, allowances} = createEntry();
	allowances.admit(workspace, () => undefined);
	for (let question = questions.shift(); question; question = questions.shift()) {
		question.answer({kind: 'issued', count: 0, retryAfterMilliseconds: 1000});
		await settle();
	}

	const decisions: string[] = [];
	allowances.admit(workspace, admission => {
		decisions.push(admission);
	});
	expect(decisions).toEqual(['limited']);
	expect(questions).toEqual([]);
});
