/** Classifies how a registration differs from the one that is known of its upstream. */
import type * as types from './types.ts';

/** A known registration, and the time at which its upstream is removed; undefined if it was not removed. */
export type Known = {readonly registration: types.Registration; readonly removalDueAt: number | undefined};

/** Material change of one upstream. `lapsed` means that its removal is held back, `renewed` that it has registered again in time. */
export type MaterialChange = 'joined' | 'restarted' | 'changed' | 'draining' | 'lapsed' | 'renewed' | 'removed';

export type RegistrationClass = MaterialChange | 'heartbeat';

/** Classifies a record of the store, which may be older than the current registration unless that was removed. */
export function classifyRecord(current: Known | undefined, next: types.Registration): RegistrationClass | 'outdated' {
	if (!current || current.removalDueAt !== undefined) {
		return classifyChange(current, next, undefined);
	}

	const {incarnation, sequence, state} = current.registration;
	const isOutdated = next.incarnation === incarnation
		? next.sequence < sequence || (state === 'draining' && next.state === 'ready')
		: next.incarnation < incarnation;
	return isOutdated ? 'outdated' : classifyChange(current, next, undefined);
}

/** Classifies a registration that is newer than the current one. */
export function classifyChange(current: Known | undefined, next: types.Registration, removalDueAt: number | undefined): RegistrationClass {
	if (!current) {
		return 'joined';
	}

	const {registration} = current;
	if (next.incarnation !== registration.incarnation) {
		return 'restarted';
	}

	if (next.state !== registration.state) {
		return next.state === 'draining' ? 'draining' : 'changed';
	}

	if ((removalDueAt === undefined) !== (current.removalDueAt === undefined)) {
		return removalDueAt === undefined ? 'renewed' : 'lapsed';
	}

	const isCooler = next.warmUpMilliseconds > registration.warmUpMilliseconds;
	const isSame = !isCooler && next.address === registration.address && next.service === registration.service && next.slots === registration.slots && next.failureDomain === registration.failureDomain;
	return isSame ? 'heartbeat' : 'changed';
}
