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
};
