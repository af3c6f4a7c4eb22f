/** Derives entry statuses, the fleet view and draining upstreams from the membership. */
import {type FleetView, type UpstreamDescription} from '../routing/types.ts';
import {getSelf, isNewerIncarnation} from './merge.ts';
import {type EntryStatus, type Member, type Membership} from './types.ts';

/** Lists the statuses of all members that aren't gone, including this entry. */
export function listStatuses(membership: Membership): readonly EntryStatus[] {
	const current = getCurrentMembers(membership);
	return [...membership.members.values()]
		.filter(member => member.state !== 'gone')
		.map(member => toStatus(membership, member, current));
}

/** Finds the status of one incarnation; undefined if it is gone or unknown. */
export function getStatus(membership: Membership, incarnation: string): EntryStatus | undefined {
	const member = membership.members.get(incarnation);
	return member && member.state !== 'gone' ? toStatus(membership, member, getCurrentMembers(membership)) : undefined;
}

/**
Gets the entries over which fleet-wide limits are divided.

Includes suspected and leaving entries until they are gone, and listed entries before their first digest arrives, so that
limits are underused rather than exceeded.
*/
export function getFleetView(membership: Membership): FleetView {
	const {record} = getSelf(membership);
	const entries = new Map<string, {readonly name: string; readonly failureDomain: string}>();
	for (const entry of membership.listedEntries?.values() ?? []) {
		if (entry.state === 'live') {
			entries.set(entry.name, {name: entry.name, failureDomain: entry.failureDomain});
		}
	}

	for (const member of getCurrentMembers(membership).values()) {
		const {name, failureDomain} = member.record;
		entries.set(name, {name, failureDomain});
	}

	return {
		self: record.name,
		selfFailureDomain: record.failureDomain,
		entries: [...entries.values()].toSorted((left, right) => left.name < right.name ? -1 : 1),
	};
}

/** Gets the names of the upstreams that have a drain record with `isDraining` set. */
export function getDrainingUpstreams(membership: Membership): ReadonlySet<string> {
	return new Set([...membership.drains.values()].filter(drain => drain.record.isDraining).map(drain => drain.record.upstream));
}

/** Sets the state of draining upstreams to `leaving`, even if the instance list still has them as live. */
export function markDrainingUpstreams(upstreams: readonly UpstreamDescription[], draining: ReadonlySet<string>): readonly UpstreamDescription[] {
	return upstreams.map(upstream => draining.has(upstream.name) ? {...upstream, state: 'leaving' as const} : upstream);
}

/** Gets the newest incarnation that isn't gone of each name. */
function getCurrentMembers(membership: Membership): ReadonlyMap<string, Member> {
	const current = new Map<string, Member>();
	for (const member of membership.members.values()) {
		const newest = current.get(member.record.name);
		if (member.state !== 'gone' && (!newest || isNewerIncarnation(member.record, newest.record))) {
			current.set(member.record.name, member);
		}
	}

	return current;
}

function toStatus(membership: Membership, member: Member, current: ReadonlyMap<string, Member>): EntryStatus {
	const {
		name, incarnation, generation, region, failureDomain, address, peerAddress, weight,
	} = member.record;
	return {
		name,
		incarnation,
		generation,
		region,
		failureDomain,
		address,
		peerAddress,
		weight,
		state: member.state,
		isSelf: incarnation === membership.self,
		isReplaced: current.get(name)?.record.incarnation !== incarnation,
	};
}
