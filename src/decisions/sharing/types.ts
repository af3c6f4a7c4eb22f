/** Members of the entry fleet and updates of the member list. */

/** A running entry. */
export type Member = {
	readonly name: string;
	/** Random ID generated at each start. */
	readonly incarnation: string;
	/** Start of the process, in milliseconds since the epoch. */
	readonly startedAt: number;
	readonly failureDomain: string;
	readonly region: string;
	/** Host and port that callers connect to. */
	readonly callerAddress: string;
	/** Host and port that other entries connect to. */
	readonly peerAddress: string;
	/** Whether callers should connect to the entry. */
	readonly isReady: boolean;
	/** Whether the entry's latest read of the store was answered. */
	readonly canRead: boolean;
	/** Whether the entry reaches no upstream, while others may. */
	readonly isCutOff: boolean;
	/** Bandwidth of the entry's network link, in megabits per second. */
	readonly linkMegabits: number;
	/** Processor capacity of the entry, in cores. */
	readonly cores: number;
	/** Recent demand on the entry, in requests per second and in coarse steps; undefined shortly after its start. */
	readonly requestsPerSecond: number | undefined;
};

/** Changes of an entry's member list since an earlier revision. */
export type MemberUpdate = {
	/** Revision of the list after the update; each incarnation of an entry numbers its own revisions. */
	readonly revision: number;
	/** Whether `members` contains all members. */
	readonly isComplete: boolean;
	/** All members if `isComplete`, otherwise those that were added or changed. */
	readonly members: readonly Member[];
	/** Names of removed members. */
	readonly removed: readonly string[];
};
