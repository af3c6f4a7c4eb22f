/** Life cycle of an upstream from the view of one entry, as a pure state machine. */
import * as xstate from 'xstate';

/** Duration of the first suspicion or ejection, in milliseconds; it doubles with each one that follows without a recovery. */
const firstPauseMilliseconds = 500;
const longestPauseMilliseconds = 16_000;
/** Number of successful answers that end the slow start. */
const answersToEndSlowStart = 5;

/** Event that can change the state of an upstream. */
export type UpstreamLifeCycleEvent
	= | {readonly type: 'good-answer'}
	/** Several consecutive attempts failed; `isAllowed` is false when the limit on paused upstreams is reached. */
		| {readonly type: 'failures'; readonly now: number; readonly isAllowed: boolean}
	/** Answers take far longer than typical; `isAllowed` as above. */
		| {readonly type: 'slow'; readonly now: number; readonly isAllowed: boolean}
	/** The pause has ended; the upstream gets trial calls in a slow start. */
		| {readonly type: 'pause-over'}
		| {readonly type: 'draining'}
		| {readonly type: 'not-draining'}
		| {readonly type: 'removed'};

/** Data of the state machine. */
export type UpstreamLifeCycleContext = {
	readonly pausedUntil: number;
	/** Number of pauses since the last recovery. */
	readonly pauses: number;
	readonly goodAnswers: number;
};

/** Declares the types of the machine; xstate reads no value from it. */
const machineTypes: {
	readonly context?: UpstreamLifeCycleContext;
	readonly events?: UpstreamLifeCycleEvent;
	readonly input?: {readonly isCold: boolean};
} = {};

const machine = xstate.setup({
	types: machineTypes,
	guards: {
		isAllowed: ({event}) => 'isAllowed' in event && event.isAllowed,
		isWarm: ({context}) => context.goodAnswers + 1 >= answersToEndSlowStart,
		isCold: ({context}) => context.goodAnswers === 0,
	},
	actions: {
		pause: xstate.assign(({context, event}) => ({
			pausedUntil: 'now' in event ? event.now + getPauseMilliseconds(context.pauses) : context.pausedUntil,
			pauses: context.pauses + 1,
			goodAnswers: 0,
		})),
		countGood: xstate.assign({goodAnswers: ({context}) => context.goodAnswers + 1}),
		recover: xstate.assign({pauses: 0, pausedUntil: 0}),
		cool: xstate.assign({goodAnswers: 0}),
	},
}).createMachine({
	id: 'upstream-life',
	context: ({input}) => ({pausedUntil: 0, pauses: 0, goodAnswers: input.isCold ? 0 : answersToEndSlowStart}),
	initial: 'entering',
	on: {
		removed: {target: '.gone'},
		draining: {target: '.draining'},
	},
	states: {
		entering: {always: [{guard: 'isCold', target: 'starting'}, {target: 'live'}]},
		starting: {
			on: {
				'good-answer': [{guard: 'isWarm', target: 'live', actions: 'recover'}, {actions: 'countGood'}],
				failures: {guard: 'isAllowed', target: 'ejected', actions: 'pause'},
				slow: {guard: 'isAllowed', target: 'suspected', actions: 'pause'},
			},
		},
		live: {
			on: {
				failures: {guard: 'isAllowed', target: 'ejected', actions: 'pause'},
				slow: {guard: 'isAllowed', target: 'suspected', actions: 'pause'},
			},
		},
		suspected: {
			on: {
				'pause-over': {target: 'starting', actions: 'cool'},
				failures: {guard: 'isAllowed', target: 'ejected', actions: 'pause'},
			},
		},
		ejected: {on: {'pause-over': {target: 'starting', actions: 'cool'}}},
		draining: {on: {'not-draining': {target: 'starting', actions: 'cool'}, draining: {}}},
		gone: {type: 'final'},
	},
});

/** State of an upstream in its life cycle, with its data. */
export type UpstreamLifeCycle = xstate.SnapshotFrom<typeof machine>;
export type UpstreamLifeCycleState = 'entering' | 'starting' | 'live' | 'suspected' | 'ejected' | 'draining' | 'gone';

/** Creates the life cycle of an upstream; a cold one begins with a slow start. */
export function createUpstreamLifeCycle(isCold: boolean): UpstreamLifeCycle {
	const [lifeCycle] = xstate.initialTransition(machine, {isCold});
	return lifeCycle;
}

/** Returns the life cycle after an event; a removed upstream stays `gone`. */
export function advanceUpstreamLifeCycle(lifeCycle: UpstreamLifeCycle, event: UpstreamLifeCycleEvent): UpstreamLifeCycle {
	if (lifeCycle.value === 'gone') {
		return lifeCycle;
	}

	const [next] = xstate.transition(machine, lifeCycle, event);
	return next;
}

export function getLifeCycleState(lifeCycle: UpstreamLifeCycle): UpstreamLifeCycleState {
	return lifeCycle.value;
}

/** Returns the duration of a pause that follows the given number of pauses without a recovery. */
function getPauseMilliseconds(pauses: number): number {
	return Math.min(longestPauseMilliseconds, firstPauseMilliseconds * (2 ** pauses));
}
