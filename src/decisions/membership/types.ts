/** Types of the membership protocol. All times are in milliseconds of one monotonic clock. */

/** Description of an entry. Only `generation` may change within one incarnation. */
export type EntryDescription = {
	readonly name: string;
	/** Random ID of 16 hexadecimal digits, generated at each start. */
	readonly incarnation: string;
	/** Orders the incarnations of one name; the incarnation with the highest generation is the current one. */
	readonly generation: number;
	readonly region: string;
	readonly failureDomain: string;
	/** Host and port that callers connect to. */
	readonly address: string;
	/** Host and port that other entries connect to. */
	readonly peerAddress: string;
};

/** Record that an entry publishes about itself; other entries forward it unchanged. */
export type MemberRecord = EntryDescription & {
	/** Increases with each exchange that the entry initiates. */
	readonly heartbeat: number;
	/** Stays true for the rest of the incarnation. */
	readonly isLeaving: boolean;
	/** Relative share of callers that the entry requests; 0 when it is overloaded. */
	readonly weight: number;
	/** Increases whenever `weight` changes. */
	readonly weightRevision: number;
};

/** State of an instance in its life cycle. */
export type MemberState = 'joining' | 'live' | 'suspected' | 'leaving' | 'gone';

/** A member as observed by this entry. */
export type Member = {
	readonly record: MemberRecord;
	readonly state: MemberState;
	/** Time at which the heartbeat last increased, moved forward by pauses of this entry. */
	readonly advancedAt: number;
	/** Time at which any field of the record other than the heartbeat last changed. */
	readonly changedAt: number;
	/** Number of this entry's digests that have included the record since `changedAt`. */
	readonly mentions: number;
};

/** Drain state of an upstream. Of two records, the one with the higher sequence prevails. */
export type DrainRecord = {
	readonly upstream: string;
	readonly isDraining: boolean;
	/** One more than the sequence of the record that this one replaces. */
	readonly sequence: number;
	/** Incarnation of the entry that observed the change; breaks ties. */
	readonly origin: string;
};

/** A drain record and its history on this entry. */
export type Drain = {
	readonly record: DrainRecord;
	/** Time at which this entry recorded or received the record. */
	readonly learnedAt: number;
	/** Number of this entry's digests that have included the record. */
	readonly mentions: number;
	/** Time of the latest digest that included the record; minus infinity if there is none. */
	readonly mentionedAt: number;
};

/** An entry in the instance list. */
export type ListedEntry = {
	readonly name: string;
	readonly failureDomain: string;
	readonly peerAddress: string;
	readonly state: 'live' | 'leaving';
};

/** State of the membership protocol on one entry. */
export type Membership = {
	/** Incarnation of this entry. */
	readonly self: string;
	/** Members by incarnation, including gone members until their retention time is over. */
	readonly members: ReadonlyMap<string, Member>;
	/** Drain records by upstream. */
	readonly drains: ReadonlyMap<string, Drain>;
	/** Entries of the instance list by name, as last read; undefined before the first read. */
	readonly listedEntries: ReadonlyMap<string, ListedEntry> | undefined;
	/** Incarnations for which a heartbeat was received but no member record yet. */
	readonly wanted: ReadonlySet<string>;
	/** Time at which timeouts were last applied. */
	readonly checkedAt: number;
};

/** Heartbeat of one incarnation, sent without its member record. */
export type Heartbeat = {
	readonly incarnation: string;
	readonly heartbeat: number;
};

/** Load report of an upstream, shared by the entry that measured it. */
export type PeerReport = {
	readonly service: string;
	readonly upstream: string;
	readonly slots: number;
	readonly running: number;
	readonly queued: number;
	readonly isDraining: boolean;
	/** Age of the report when the digest was created, in milliseconds. */
	readonly ageMilliseconds: number;
};

/** Message of bounded size from one entry to another. */
export type Digest = {
	/** Incarnation of the sender. */
	readonly sender: string;
	/** Whether the sender requests all members. */
	readonly isJoining: boolean;
	/** Offset up to which the sender has folded the table stream, plus 1; 0 if it has no table. */
	readonly tablePosition: number;
	readonly members: readonly MemberRecord[];
	readonly heartbeats: readonly Heartbeat[];
	/** Incarnations whose member records the sender requests. */
	readonly wanted: readonly string[];
	readonly drains: readonly DrainRecord[];
	readonly reports: readonly PeerReport[];
};

/** Public status of an entry. */
export type EntryStatus = EntryDescription & {
	readonly state: MemberState;
	readonly weight: number;
	readonly isSelf: boolean;
	/** Whether there is a newer incarnation of the same name. */
	readonly isReplaced: boolean;
};

/** Looks up entries for calls that only a specific entry may answer. */
export type PeerDirectory = {
	/** Finds an incarnation that isn't gone. Leaving and suspected incarnations are included, since they may still answer. */
	getByIncarnation(incarnation: string): EntryStatus | undefined;
	/** Lists the entries in state `live`, including this one. */
	getLive(): readonly EntryStatus[];
};
