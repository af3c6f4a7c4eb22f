/** Entries and upstreams as membership knows them. All times are milliseconds of one monotonic clock. */

/** Description of an entry that stays the same for one incarnation, except for `generation`. */
export type EntryDescription = {
	readonly name: string;
	/** 16 hexadecimal digits, random at each start. */
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

/** What an entry says of itself; passed on by others unchanged. */
export type MemberRecord = EntryDescription & {
	/** Grows with each exchange that the entry starts. */
	readonly heartbeat: number;
	/** Stays true for the rest of the incarnation. */
	readonly isLeaving: boolean;
	/** Relative share of the callers that the entry wants; 0 when it is overloaded. */
	readonly weight: number;
	/** Grows whenever `weight` changes. */
	readonly weightRevision: number;
};

/** Where an instance stands in its life. */
export type MemberState = 'joining' | 'live' | 'suspected' | 'leaving' | 'gone';

/** A member as this entry sees it. */
export type Member = {
	readonly record: MemberRecord;
	readonly state: MemberState;
	/** When the heartbeat last grew. */
	readonly advancedAt: number;
	/** When the record last changed in anything but its heartbeat. */
	readonly changedAt: number;
	/** Digests that carried the record since `changedAt`. */
	readonly mentions: number;
};

/** Whether an upstream drains; the record with the higher sequence holds. */
export type DrainRecord = {
	readonly upstream: string;
	readonly isDraining: boolean;
	/** One more than that of the record which it replaces. */
	readonly sequence: number;
	/** Incarnation of the entry that saw the change; breaks ties. */
	readonly origin: string;
};

/** A drain as this entry sees it. */
export type Drain = {
	readonly record: DrainRecord;
	readonly learnedAt: number;
	readonly mentions: number;
	readonly mentionedAt: number;
};

/** The instance list's word on one entry. */
export type ListedEntry = {
	readonly name: string;
	readonly failureDomain: string;
	readonly peerAddress: string;
	readonly state: 'live' | 'leaving';
};

/** All that one entry knows of the others. */
export type Membership = {
	/** Incarnation of this entry. */
	readonly self: string;
	/** Members by incarnation, gone ones included until they are forgotten. */
	readonly members: ReadonlyMap<string, Member>;
	readonly drains: ReadonlyMap<string, Drain>;
	/** Entries of the instance list by name, as last read; undefined before the first read. */
	readonly listing: ReadonlyMap<string, ListedEntry> | undefined;
	/** Incarnations that others mention and whose record is still to be had. */
	readonly wanted: ReadonlySet<string>;
	/** When time was last taken note of. */
	readonly checkedAt: number;
};

export type Heartbeat = {
	readonly incarnation: string;
	readonly heartbeat: number;
};

/** Measured load of an upstream, passed on by the entry that measured it. */
export type PeerReport = {
	readonly service: string;
	readonly upstream: string;
	readonly slots: number;
	readonly running: number;
	readonly queued: number;
	readonly isDraining: boolean;
	/** Age of the report when the digest was made, in milliseconds. */
	readonly ageMilliseconds: number;
};

/** Message of bounded size from one entry to another. */
export type Digest = {
	readonly sender: string;
	/** Whether the sender asks for all members. */
	readonly isJoining: boolean;
	/** Offset up to which the sender has folded the table stream, plus 1; 0 when it knows no table. */
	readonly tablePosition: number;
	readonly members: readonly MemberRecord[];
	readonly heartbeats: readonly Heartbeat[];
	/** Incarnations whose record the sender asks for. */
	readonly wanted: readonly string[];
	readonly drains: readonly DrainRecord[];
	readonly reports: readonly PeerReport[];
};

/** An entry as others are told of it. */
export type EntryStatus = EntryDescription & {
	readonly state: MemberState;
	readonly weight: number;
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
