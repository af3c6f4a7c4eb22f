/** Remembers the upstreams that were removed, since a copy of the store from before the removal still lists them. */
import type * as types from './types.ts';

/** A removed upstream and the era in which its last record was received. */
export type RemovedUpstream = {readonly registration: types.Registration; readonly era: number};

export type RemovedUpstreams = {
	add(upstream: RemovedUpstream): void;
	delete(id: string): void;
	/** Whether a registration that was listed in an era may be from before the removal. */
	mayPrecedeRemoval(registration: types.Registration, era: number): boolean;
	/** Whether a registration that was written in an era repeats what was known before the removal. */
	isRepeated(registration: types.Registration, era: number): boolean;
	count(): number;
	/** Lists so many of the latest removals at most, the latest last. */
	listLatest(maximumCount: number): readonly RemovedUpstream[];
};

/** Creates an empty memory of so many upstreams at most. */
export function createRemovedUpstreams(maximumCount: number): RemovedUpstreams {
	/** By ID, oldest removal first. */
	const upstreams = new Map<string, RemovedUpstream>();

	function findEarlier(id: string, era: number): types.Registration | undefined {
		const upstream = upstreams.get(id);
		return upstream && upstream.era < era ? upstream.registration : undefined;
	}

	/** Whether an upstream that started later had the address before the era. */
	const hadLaterOwner = (address: string, incarnation: number, beforeEra: number) => [...upstreams.values()]
		.some(({registration, era}) => era < beforeEra && registration.address === address && registration.incarnation > incarnation);

	return {
		add({registration, era}) {
			const {id} = registration;
			upstreams.delete(id);
			upstreams.set(id, {registration, era});
			if (upstreams.size > maximumCount) {
				upstreams.delete(upstreams.keys().next().value!);
			}
		},
		delete(id) {
			upstreams.delete(id);
		},
		mayPrecedeRemoval({id, address, incarnation}, era) {
			const previous = findEarlier(id, era);
			return (previous !== undefined && incarnation <= previous.incarnation) || hadLaterOwner(address, incarnation, era);
		},
		isRepeated({id, incarnation, sequence, state}, era) {
			const previous = findEarlier(id, era);
			if (!previous) {
				return false;
			}

			if (incarnation !== previous.incarnation) {
				return incarnation < previous.incarnation;
			}

			return sequence <= previous.sequence || (previous.state === 'draining' && state === 'ready');
		},
		count: () => upstreams.size,
		listLatest: maximumCount => [...upstreams.values()].slice(-maximumCount),
	};
}
