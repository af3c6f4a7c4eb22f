/** Calls of which each attempt goes to the same upstream. */
import * as headerHost from '../../platform/headers.ts';
import * as workBounds from '../../src/decisions/admission/work-bounds.ts';
import * as fleetRetryBudget from '../../src/decisions/retries/fleet-retry-budget.ts';
import * as workEstimator from '../../src/decisions/routing/work-estimator.ts';
import * as callRunner from '../../src/gateway/call-runner.ts';
import type * as types from '../../src/gateway/types.ts';
import type * as upstreamsModule from '../../src/gateway/upstreams.ts';
import * as hostileUpstream from './hostile-upstream.ts';

/** Starts a call. */
export function startCallAt(upstream: upstreamsModule.Upstream, request: types.GatewayRequest, respond: (response: types.GatewayResponse) => void, changes: Partial<callRunner.CallRunnerHost> = {}): callRunner.RunningCall {
	return callRunner.startCall({
		selector: {
			select(_request, listener) {
				listener({
					kind: 'selected', upstream, connection: undefined, expectedMilliseconds: 10, checks: 0,
				});
				return () => undefined;
			},
			hasHeldRequests: () => false,
			onAttemptEnded: () => undefined,
			close: () => undefined,
		},
		headers: headerHost.createHeaderHost(),
		memory: hostileUpstream.memory,
		blocks: hostileUpstream.blocks,
		recordStatements: () => undefined,
		learner: workEstimator.createWorkEstimator(),
		budget: fleetRetryBudget.createFleetRetryBudget({ratio: 1, windowMilliseconds: 1000, slack: 10}, 0),
		countEntries: () => 1,
		observeAttempt: () => undefined,
		getNow: hostileUpstream.getNow,
		onEnd: () => undefined,
		bounds: workBounds.createWorkBounds(),
		canFinish: () => true,
		beginCall: () => ({recordSent: () => undefined, recordAnswered: () => undefined, end: () => undefined}),
		recordFailure(error) {
			throw error;
		},
		...changes,
	}, request, {respond});
}
