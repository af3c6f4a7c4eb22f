/** State machine of the life cycle of an entry or gateway process. */
import * as xstate from 'xstate';

const states = ['starting', 'serving', 'leaving', 'draining', 'stopped'] as const;

/**
`starting` waits for the first table; `serving` accepts calls; `leaving` still accepts calls, while callers are
notified that the process leaves; `draining` finishes the calls in flight; `stopped` is final.
*/
export type LifeCycleState = typeof states[number];

/** Events that change the state; `table-known` reports the first table, `notice-over` the end of the notice to callers. */
export type LifeCycleEvent = 'table-known' | 'leave' | 'notice-over' | 'calls-ended';

const machine = xstate.createMachine({
	id: 'entry',
	initial: 'starting',
	states: {
		starting: {on: {'table-known': 'serving', leave: 'draining'}},
		serving: {on: {leave: 'leaving'}},
		leaving: {on: {'notice-over': 'draining'}},
		draining: {on: {'calls-ended': 'stopped'}},
		stopped: {type: 'final'},
	},
});

/** Current state and its transitions. */
export type LifeCycle = {
	getState(): LifeCycleState;
	/** Processes an event; returns whether the state changed. */
	send(event: LifeCycleEvent): boolean;
};

/** Creates a life cycle in the state `starting`. */
export function createLifeCycle(onChange: (state: LifeCycleState) => void): LifeCycle {
	let [snapshot] = xstate.initialTransition(machine);
	const getState = () => states.find(state => snapshot.matches(state)) ?? 'starting';

	return {
		getState,
		send(event) {
			const previous = getState();
			[snapshot] = xstate.transition(machine, snapshot, {type: event});
			const state = getState();
			if (state === previous) {
				return false;
			}

			onChange(state);
			return true;
		},
	};
}
