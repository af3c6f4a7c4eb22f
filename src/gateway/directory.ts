/** Provides the addresses of the entries to callers, and the readiness of this entry to the platform. */
import * as entrySelection from '../decisions/sharing/entry-selection.ts';
import {type Member} from '../decisions/sharing/types.ts';

/** Addresses of the entries that a caller should use. */
export type DirectoryResponse = {
	readonly addresses: readonly string[];
	/** Time for which the caller may cache the addresses, in seconds. */
	readonly lifetimeSeconds: number;
};

/** Directory of the running entries. */
export type Directory = {
	resolve(place: entrySelection.CallerLocation): DirectoryResponse;
	isReady(): boolean;
};

/** Maximum number of addresses in one response. */
const maximumAddresses = 64;
/** Time for which callers may cache a response, in seconds; some keep it three times as long, which is still within the grace period of a stop. */
const lifetimeSeconds = 1;

/** Creates the directory of an entry. */
export function createDirectory(host: {listMembers(): readonly Member[]; isReady(): boolean}, longestLifetimeSeconds: number): Directory {
	return {
		resolve: place => ({
			addresses: entrySelection.chooseCallerAddresses(host.listMembers(), place, maximumAddresses),
			lifetimeSeconds: Math.min(longestLifetimeSeconds, lifetimeSeconds),
		}),
		isReady: host.isReady,
	};
}
