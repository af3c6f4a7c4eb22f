/** Life cycle of an entry process. */
import * as xstate from 'xstate';

const states = ['starting', 'serving', 'leaving', 'draining', 'stopped'] as const;

/**
`starting` waits for a table; `serving` takes calls; `leaving` takes calls while callers learn of it; `draining`
finishes the calls in flight; `stopped` is final.
*/
export type LifeCycleState = typeof states[number];

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

export type LifeCycle = {
	getState(): LifeCycleState;
	/** Takes an event; returns whether the state changed. */
	take(event: LifeCycleEvent): boolean;
};

/** Creates the life cycle of an entry that has just started. */
export function createLifeCycle(onChange: (state: LifeCycleState) => void): LifeCycle {
	let [snapshot] = xstate.initialTransition(machine);
	const getState = () => states.find(state => snapshot.matches(state)) ?? 'starting';

	return {
		getState,
		take(event) {
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
