/** Entries and upstreams as membership knows them. All times are milliseconds of one monotonic clock. */

/** Description of an entry that stays the same for one incarnation, except for `generation`. */
export type EntryDescription = {
	readonly name: string;
	/** Random at each start. */
	readonly incarnation: string;
	/** Orders the incarnations of one name: the highest is the current one. */
	readonly generation: number;
	readonly region: string;
	readonly failureDomain: string;
	/** Host and port for callers. */
	readonly address: string;
	/** Host and port for other entries. */
	readonly peerAddress: string;
};

/** Where an instance stands in its life. */
export type MemberState = 'joining' | 'live' | 'suspected' | 'leaving' | 'gone';

/** An entry as this entry knows it. */
export type EntryStatus = EntryDescription & {
	readonly state: MemberState;
	readonly isSelf: boolean;
	/** Whether a newer incarnation of the same name is known. */
	readonly isReplaced: boolean;
};

/** Finds entries for calls that only they may answer. */
export type PeerDirectory = {
	/** Finds an incarnation that isn't gone; a leaving or suspected one is found, since it may still answer. */
	getByIncarnation(incarnation: string): EntryStatus | undefined;
	/** Entries in state `live`, including this one. */
	getLive(): readonly EntryStatus[];
};
