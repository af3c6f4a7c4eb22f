/**
Life of one instance as another sees it.

Neither silence nor absence from the instance list ends it: both together do, or silence after it said that it leaves.
*/
import * as xstate from 'xstate';
import {endAfterMilliseconds, removeAfterMilliseconds, suspectAfterMilliseconds} from './constants.ts';
import {type ListedEntry, type MemberState} from './types.ts';

/** What happened to an instance, or how long nothing did. */
export type LifeCycleEvent
	/** Its heartbeat grew. */
	= | {readonly type: 'advanced'; readonly isLeaving: boolean}
	/** It said that it leaves. */
		| {readonly type: 'left'}
	/** Nothing was heard of it for a time. */
		| {readonly type: 'silent'; readonly silentMilliseconds: number; readonly listed: ListedEntry['state'] | 'absent' | 'unknown'};

type SilentEvent = Extract<LifeCycleEvent, {type: 'silent'}>;
type AdvancedEvent = Extract<LifeCycleEvent, {type: 'advanced'}>;

/** Tells the machine which events there are; it holds nothing at run time. */
const types: {readonly events?: LifeCycleEvent} = {};

const lifeCycle = xstate.setup({
	types,
	guards: {
		isSuspect: (_, event: SilentEvent) => event.silentMilliseconds >= suspectAfterMilliseconds,
		isRemoved: (_, event: SilentEvent) => event.silentMilliseconds >= removeAfterMilliseconds && (event.listed === 'absent' || event.listed === 'leaving'),
		isEnded: (_, event: SilentEvent) => event.silentMilliseconds >= endAfterMilliseconds,
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

const snapshots = {
	joining: lifeCycle.resolveState({value: 'joining'}),
	live: lifeCycle.resolveState({value: 'live'}),
	suspected: lifeCycle.resolveState({value: 'suspected'}),
	leaving: lifeCycle.resolveState({value: 'leaving'}),
	gone: lifeCycle.resolveState({value: 'gone'}),
} as const satisfies Record<MemberState, unknown>;

/** Gets the state that follows an event. */
export function getNextState(state: MemberState, event: LifeCycleEvent): MemberState {
	const [next] = xstate.transition(lifeCycle, snapshots[state], event);
	return next.value;
}
