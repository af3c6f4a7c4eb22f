/** Settings of the entries of a fault run. */

export type EntrySettingsOptions = {
	readonly name: string;
	readonly failureDomain: string;
	readonly failureDomains: readonly string[];
	readonly host: string;
	readonly port: number;
	readonly peerPort: number;
	/** Port of the fault proxy through which peers connect to this entry. */
	readonly announcedPeerPort: number;
	readonly logUrl: string;
	readonly instanceListUrl: string;
};

/** Creates the content of the settings file of an entry. */
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
