/** Changes of the registry as entries send them to each other, and as listeners hear of them. */
import type * as registrationClass from './registration-class.ts';
import type * as removedUpstreams from './removed-upstreams.ts';
import type * as types from './types.ts';

export type RegisteredChange = {
	readonly kind: 'registered';
	readonly registration: types.Registration;
	/** Time until a removal that is held back takes effect. */
	readonly removalDueInMilliseconds?: number | undefined;
};

/** Change of one upstream, sent to a reader at an earlier position. */
export type RegistryChange
	= | RegisteredChange
		| {readonly kind: 'removed'; readonly id: string};

/** Changes between the position of a reader and the position of this registry. */
export type RegistryUpdate = {
	readonly era: number;
	/** Position of the reader after the update. */
	readonly position: number;
	/** Whether `changes` contains all upstreams and replaces the reader's registry. */
	readonly isComplete: boolean;
	/** Whether the sender has known an earlier era, or has taken over what an entry remembers that has. */
	readonly remembersEarlier: boolean;
	readonly changes: readonly RegistryChange[];
	/** Latest removals, for a reader that has known no upstream yet: a later era may list them. */
	readonly latestRemovals: readonly removedUpstreams.RemovedUpstream[];
};

/** Material change of one upstream caused by applied records. */
export type RegistryEvent = {
	readonly kind: registrationClass.MaterialChange;
	readonly id: string;
	readonly registration: types.Registration;
};
