/** Entries as they know each other. */

/** An entry that runs. */
export type Member = {
	readonly name: string;
	/** Random at each start. */
	readonly incarnation: string;
	/** Start of the process, in milliseconds since the epoch. */
	readonly startedAt: number;
	readonly failureDomain: string;
	readonly region: string;
	/** Host and port for callers. */
	readonly callerAddress: string;
	/** Host and port for other entries. */
	readonly peerAddress: string;
	/** Whether callers should connect to it. */
	readonly isReady: boolean;
	/** Whether its latest read of the store was answered. */
	readonly canRead: boolean;
	/** Bandwidth of its link, in megabits a second. */
	readonly linkMegabits: number;
};

/** What changed in the list of an entry since some revision of it. */
export type MemberUpdate = {
	/** Number of the latest change that is included; each incarnation counts by itself. */
	readonly revision: number;
	/** Whether `members` are all there are. */
	readonly isComplete: boolean;
	readonly members: readonly Member[];
	/** Names of members that were taken off. */
	readonly removed: readonly string[];
};
