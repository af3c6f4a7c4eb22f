/** Settings of an entry in a fault run. */

export type EntrySettingsOptions = {
	readonly name: string;
	readonly failureDomain: string;
	readonly failureDomains: readonly string[];
	readonly host: string;
	readonly port: number;
	readonly peerPort: number;
	/** Port by which peers reach this entry, through a fault proxy. */
	readonly announcedPeerPort: number;
	readonly logUrl: string;
	readonly instanceListUrl: string;
};

/** Creates the content of a settings file. */
export function createEntrySettings(options: EntrySettingsOptions): unknown {
	const {host, name, failureDomain, failureDomains, logUrl, instanceListUrl} = options;
	return {
		name,
		failureDomain,
		failureDomains,
		listen: {
			host, callerPort: options.port, peerPort: options.peerPort, announcedPeerPort: options.announcedPeerPort,
		},
		platform: {logUrl, instanceListUrl, instanceListPollMilliseconds: 200},
		leaving: {noticeMilliseconds: 300, graceMilliseconds: 3000},
		observability: {logLevel: 'debug'},
	};
}
