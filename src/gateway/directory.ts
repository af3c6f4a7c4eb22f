/** Tells callers which entries to use, and the platform whether this one is ready. */
import {chooseAddresses} from '../decisions/sharing/member-list.ts';
import {type Member} from '../decisions/sharing/types.ts';

export type Place = {
	readonly failureDomain: string | undefined;
	readonly region: string | undefined;
};

export type DirectoryAnswer = {
	readonly addresses: readonly string[];
	/** Time for which the caller may keep the addresses, in seconds. */
	readonly lifetimeSeconds: number;
};

export type Directory = {
	resolve(place: Place): DirectoryAnswer;
	isReady(): boolean;
};

/** Addresses in one answer. */
const mostAddresses = 64;
/** Time for which callers keep an answer, in seconds; some keep it three times as long, which is within the grace of a stop. */
const lifetimeSeconds = 1;

/** Creates the directory of an entry. */
export function createDirectory(host: {listMembers(): readonly Member[]; isReady(): boolean}, longestLifetimeSeconds: number): Directory {
	return {
		resolve: place => ({
			addresses: chooseAddresses(host.listMembers(), place, mostAddresses),
			lifetimeSeconds: Math.min(longestLifetimeSeconds, lifetimeSeconds),
		}),
		isReady: host.isReady,
	};
}
