/** State machine of the life cycle of a reader of the table stream. */
import * as xstate from 'xstate';

const states = ['starting', 'following', 'log-unreachable', 'behind-retention'] as const;

export type TableReaderState = typeof states[number];

export type TableReaderEvent
	/** A page was read. `hasGap` is true if records expired unread, `isAtEnd` if the log has no more records. */
	= | {readonly type: 'page-read'; readonly hasGap: boolean; readonly isAtEnd: boolean}
		| {readonly type: 'read-failed'};

const isGapAtEnd = ({event}: {event: xstate.AnyEventObject}): boolean => event.hasGap === true && event.isAtEnd === true;
const isCaughtUp = ({event}: {event: xstate.AnyEventObject}): boolean => event.hasGap === false && event.isAtEnd === true;

const machine = xstate.createMachine({
	id: 'table-reader',
	initial: 'starting',
	on: {
		'read-failed': {target: '.log-unreachable'},
		'page-read': [
			{guard: isGapAtEnd, target: '.behind-retention'},
			{guard: isCaughtUp, target: '.following'},
		],
	},
	states: {
		starting: {},
		following: {},
		'log-unreachable': {},
		'behind-retention': {},
	},
});

export type TableReaderLifeCycle = {
	readonly state: TableReaderState;
	/** Returns the life cycle after the given event. */
	next(event: TableReaderEvent): TableReaderLifeCycle;
};

/** Creates the life cycle of a reader that has not read a page yet. */
export function createTableReaderLifeCycle(): TableReaderLifeCycle {
	return wrapSnapshot(xstate.initialTransition(machine)[0]);
}

/** Wraps a snapshot of the XState machine. */
function wrapSnapshot(snapshot: xstate.SnapshotFrom<typeof machine>): TableReaderLifeCycle {
	return {
		state: states.find(state => snapshot.matches(state)) ?? 'starting',
		next: event => wrapSnapshot(xstate.transition(machine, snapshot, event)[0]),
	};
}
