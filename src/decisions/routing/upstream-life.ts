/** Life cycle of an upstream as one entry sees it, as a pure state machine. */
import * as xstate from 'xstate';

/** Time for which a first suspicion or ejection holds, in milliseconds; it doubles with each that follows. */
const firstPauseMilliseconds = 500;
const longestPauseMilliseconds = 16_000;
/** Good answers that end the slow start. */
const answersToWarm = 5;

export type UpstreamLifeEvent
	= | {readonly type: 'good-answer'}
	/** Several attempts failed in a row; `isAllowed` says whether the cap on ejections leaves room. */
		| {readonly type: 'failures'; readonly now: number; readonly isAllowed: boolean}
	/** An answer took far longer than those of the peers, or is overdue. */
		| {readonly type: 'slow'; readonly now: number; readonly isAllowed: boolean}
	/** The pause is over; the next call is a trial. */
		| {readonly type: 'pause-over'}
		| {readonly type: 'draining'}
		| {readonly type: 'not-draining'}
		| {readonly type: 'removed'};

export type UpstreamLifeContext = {
	readonly pausedUntil: number;
	/** Pauses in a row, without a recovery in between. */
	readonly pauses: number;
	readonly goodAnswers: number;
};

/** Carries the types of the machine; xstate reads no value from it. */
const machineTypes: {
	readonly context?: UpstreamLifeContext;
	readonly events?: UpstreamLifeEvent;
	readonly input?: {readonly isCold: boolean};
} = {};

const machine = xstate.setup({
	types: machineTypes,
	guards: {
		isAllowed: ({event}) => 'isAllowed' in event && event.isAllowed,
		isWarm: ({context}) => context.goodAnswers + 1 >= answersToWarm,
		isCold: ({context}) => context.goodAnswers === 0,
	},
	actions: {
		pause: xstate.assign(({context, event}) => ({
			pausedUntil: 'now' in event ? event.now + getPause(context.pauses) : context.pausedUntil,
			pauses: context.pauses + 1,
			goodAnswers: 0,
		})),
		countGood: xstate.assign({goodAnswers: ({context}) => context.goodAnswers + 1}),
		recover: xstate.assign({pauses: 0, pausedUntil: 0}),
		cool: xstate.assign({goodAnswers: 0}),
	},
}).createMachine({
	id: 'upstream-life',
	context: ({input}) => ({pausedUntil: 0, pauses: 0, goodAnswers: input.isCold ? 0 : answersToWarm}),
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

export type UpstreamLife = xstate.SnapshotFrom<typeof machine>;
export type UpstreamLifeState = 'entering' | 'starting' | 'live' | 'suspected' | 'ejected' | 'draining' | 'gone';

/** Creates the life of an upstream; a cold one begins with a slow start. */
export function createUpstreamLife(isCold: boolean): UpstreamLife {
	const [life] = xstate.initialTransition(machine, {isCold});
	return life;
}

/** Gets the life after an event. */
export function advanceUpstreamLife(life: UpstreamLife, event: UpstreamLifeEvent): UpstreamLife {
	if (life.value === 'gone') {
		return life;
	}

	const [next] = xstate.transition(machine, life, event);
	return next;
}

export function getLifeState(life: UpstreamLife): UpstreamLifeState {
	return life.value;
}

function getPause(pauses: number): number {
	return Math.min(longestPauseMilliseconds, firstPauseMilliseconds * (2 ** pauses));
}
