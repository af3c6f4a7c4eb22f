/** What the rest of an entry sees of the membership. */
import {type FleetView, type UpstreamDescription} from '../routing/types.ts';
import {getSelf, isRecordAfter} from './merge.ts';
import {type EntryStatus, type Member, type Membership} from './types.ts';

/** Gets the status of each member that isn't gone, this entry's own included. */
export function getStatuses(membership: Membership): readonly EntryStatus[] {
	const current = getCurrentMembers(membership);
	return [...membership.members.values()]
		.filter(member => member.state !== 'gone')
		.map(member => toStatus(membership, member, current));
}

/** Gets the status of one incarnation; undefined when it is gone or unknown. */
export function getStatus(membership: Membership, incarnation: string): EntryStatus | undefined {
	const member = membership.members.get(incarnation);
	return member && member.state !== 'gone' ? toStatus(membership, member, getCurrentMembers(membership)) : undefined;
}

/**
Gets the entries that share the limits of the fleet.

Suspected and leaving entries count until they are gone, and listed ones before they are heard of: limits are rather
underused than exceeded.
*/
export function getFleetView(membership: Membership): FleetView {
	const {record} = getSelf(membership);
	const entries = new Map<string, {readonly name: string; readonly failureDomain: string}>();
	for (const entry of membership.listing?.values() ?? []) {
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

/** Gets the upstreams that are known to drain. */
export function getDraining(membership: Membership): ReadonlySet<string> {
	return new Set([...membership.drains.values()].filter(drain => drain.record.isDraining).map(drain => drain.record.upstream));
}

/** Marks the upstreams that drain as leaving, though the instance list may still call them live. */
export function overlayDrains(upstreams: readonly UpstreamDescription[], draining: ReadonlySet<string>): readonly UpstreamDescription[] {
	return upstreams.map(upstream => draining.has(upstream.name) ? {...upstream, state: 'leaving' as const} : upstream);
}

/** Gets the latest incarnation of each name that isn't gone. */
function getCurrentMembers(membership: Membership): ReadonlyMap<string, Member> {
	const current = new Map<string, Member>();
	for (const member of membership.members.values()) {
		const known = current.get(member.record.name);
		if (member.state !== 'gone' && (!known || isRecordAfter(member.record, known.record))) {
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
