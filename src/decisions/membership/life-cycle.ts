/**
State machine of one instance, as observed by another instance.

An instance is gone only if its heartbeat has stopped and the instance list doesn't contain it as live, or if its heartbeat
stops after it has announced that it leaves. Neither a stopped heartbeat nor absence from the instance list suffices alone.
*/
import * as xstate from 'xstate';
import {leavingTimeoutMilliseconds, removalTimeoutMilliseconds, suspicionTimeoutMilliseconds} from './constants.ts';
import {type ListedEntry, type MemberState} from './types.ts';

/** Observation about an instance. */
export type LifeCycleEvent
	/** The heartbeat of the instance increased. */
	= | {readonly type: 'advanced'; readonly isLeaving: boolean}
	/** The instance announced that it leaves. */
		| {readonly type: 'left'}
	/** The heartbeat of the instance has not increased for some time; `listed` is its state in the instance list. */
		| {readonly type: 'silent'; readonly silentMilliseconds: number; readonly listed: ListedEntry['state'] | 'absent' | 'unknown'};

type SilentEvent = Extract<LifeCycleEvent, {type: 'silent'}>;
type AdvancedEvent = Extract<LifeCycleEvent, {type: 'advanced'}>;

/** Declares the event types of the state machine; empty at run time. */
const types: {readonly events?: LifeCycleEvent} = {};

const lifeCycle = xstate.setup({
	types,
	guards: {
		isSuspect: (_, event: SilentEvent) => event.silentMilliseconds >= suspicionTimeoutMilliseconds,
		isRemoved: (_, event: SilentEvent) => event.silentMilliseconds >= removalTimeoutMilliseconds && (event.listed === 'absent' || event.listed === 'leaving'),
		isEnded: (_, event: SilentEvent) => event.silentMilliseconds >= leavingTimeoutMilliseconds,
		isLeaver: (_, event: AdvancedEvent) => event.isLeaving,
	},
}).createMachine({
	id: 'instance',
	initial: 'joining',
	states: {
		joining: {
			on: {
				advanced: 'live',
				left: 'leaving',
				silent: {target: 'suspected', guard: {type: 'isSuspect', params: ({event}) => event}},
			},
		},
		live: {
			on: {
				left: 'leaving',
				silent: {target: 'suspected', guard: {type: 'isSuspect', params: ({event}) => event}},
			},
		},
		suspected: {
			on: {
				advanced: 'live',
				left: 'leaving',
				silent: {target: 'gone', guard: {type: 'isRemoved', params: ({event}) => event}},
			},
		},
		leaving: {
			on: {
				silent: {target: 'gone', guard: {type: 'isEnded', params: ({event}) => event}},
			},
		},
		gone: {
			on: {
				advanced: [
					{target: 'leaving', guard: {type: 'isLeaver', params: ({event}) => event}},
					{target: 'live'},
				],
			},
		},
	},
});

const snapshotsByState = {
	joining: lifeCycle.resolveState({value: 'joining'}),
	live: lifeCycle.resolveState({value: 'live'}),
	suspected: lifeCycle.resolveState({value: 'suspected'}),
	leaving: lifeCycle.resolveState({value: 'leaving'}),
	gone: lifeCycle.resolveState({value: 'gone'}),
} as const satisfies Record<MemberState, unknown>;

/** Gets the state that follows an event. */
export function getNextState(state: MemberState, event: LifeCycleEvent): MemberState {
	const [next] = xstate.transition(lifeCycle, snapshotsByState[state], event);
	return next.value;
}
