/** Membership of one entry: reads the instance list, exchanges digests, and tells the other parts what changed. */
import * as crypto from 'node:crypto';
import {joiningExchangeCount} from '../decisions/membership/constants.ts';
import {createDigest} from '../decisions/membership/digest.ts';
import {
	type CallerLocation, createEntriesAnswer, type EntriesAnswer, getEntriesVersion,
} from '../decisions/membership/entries-answer.ts';
import {
	applyTimeouts, incrementHeartbeat, createInitialMembership, isSuperseded, markSelfLeaving, mergeDigest, recordDrainObservation, setInstanceList, setWeight,
} from '../decisions/membership/merge.ts';
import {listCandidateAddresses} from '../decisions/membership/partners.ts';
import {
	type Digest, type DrainRecord, type EntryDescription, type EntryStatus, type ListedEntry, type Membership, type PeerDirectory, type PeerReport,
} from '../decisions/membership/types.ts';
import {
	getDrainingUpstreams, getFleetView, getStatus, listStatuses, markDrainingUpstreams,
} from '../decisions/membership/views.ts';
import {type RandomSource} from '../decisions/random.ts';
import {type FleetView, type LoadReport, type UpstreamDescription} from '../decisions/routing/types.ts';
import {type Logger} from '../observability/logger.ts';
import {type MembershipClient} from '../peers/membership-client.ts';
import {createMembershipRoutes} from '../peers/membership-service.ts';
import {type PeerRoutes} from '../peers/peer-server.ts';
import {type InstanceListHost, type InstanceRecord} from '../platform/types.ts';
import {createExchangeLoop} from './exchange-loop.ts';
import {createInstancePoller, type InstancePollerOptions} from './instance-poller.ts';
import {type TableExchange} from './table-exchange.ts';

/** Upstreams of each service. */
export type UpstreamsByService = ReadonlyMap<string, readonly UpstreamDescription[]>;

export type EntryMembershipHost = {
	readonly instanceList: InstanceListHost;
	readonly logger: Logger;
	readonly random: RandomSource;
	readonly client: MembershipClient;
	readonly table: TableExchange;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	onFleet(fleet: FleetView): void;
	onUpstreams(upstreams: UpstreamsByService): void;
	/** Takes a report that another entry has measured. */
	onReport(service: string, upstream: string, report: LoadReport, reportedAt: number): void;
	/** Another process of this name started later and is at work. */
	onSuperseded(): void;
};

export type EntryMembershipOptions = Omit<EntryDescription, 'address' | 'peerAddress'> & InstancePollerOptions;

export type EntryMembership = {
	/** Methods for the peer port. */
	readonly routes: PeerRoutes;
	readonly directory: PeerDirectory;
	/** Begins, once the ports are known; resolves after the first read of the instance list. */
	start(addresses: Pick<EntryDescription, 'address' | 'peerAddress'>): Promise<void>;
	/** Tells the others that this entry leaves. */
	leave(): Promise<void>;
	stop(): void;
	/** Sets the share of callers that this entry wants; 0 when it is overloaded. */
	setWeight(weight: number): void;
	/** Tells the others at once that a newer table is to be had here. */
	announceTable(): void;
	/** Takes note of a report that this entry got from an upstream itself. */
	observe(upstream: string, report: LoadReport): void;
	/** Passes on a report that this entry has measured. */
	share(service: string, upstream: string, report: LoadReport): void;
	getFleet(): FleetView;
	getUpstreams(): UpstreamsByService;
	getEntries(caller: CallerLocation): EntriesAnswer;
	/** Whether a caller that sent a version along should ask for the entries again. */
	isStale(sentVersion: string | undefined): boolean;
	getStatuses(): readonly EntryStatus[];
	/** Counts the members by state. */
	countStates(): Readonly<Record<string, number>>;
	getDrains(): readonly DrainRecord[];
};

const incarnationBytes = 8;

/** Age up to which measured reports are passed on. */
const sharedReportMilliseconds = 1000;

/** Creates the identity of a process. */
export function createIncarnation(): string {
	return crypto.randomBytes(incarnationBytes).toString('hex');
}

/** Creates the membership; call `start` to begin. */
export function createEntryMembership(host: EntryMembershipHost, options: EntryMembershipOptions): EntryMembership {
	const {logger, random} = host;
	const {intervalMilliseconds, timeoutMilliseconds, ...identity} = options;
	const measured = new Map<string, {readonly report: PeerReport; readonly at: number}>();
	let membership = createInitialMembership({...identity, address: '', peerAddress: ''}, host.getNow());
	let listedUpstreams: UpstreamsByService = new Map();
	let statuses: readonly EntryStatus[] | undefined;
	let entriesVersion: string | undefined;
	let isSupersededKnown = false;
	let joiningExchanges = joiningExchangeCount;
	let publishedFleet = '';
	let publishedStates: ReadonlyMap<string, string> = new Map();
	let publishedDrains: ReadonlySet<string> = new Set();

	const loop = createExchangeLoop({
		random,
		getNow: host.getNow,
		getCandidates: () => listCandidateAddresses(membership),
		beat() {
			const now = host.getNow();
			apply(applyTimeouts(incrementHeartbeat(membership, now), now));
		},
		async exchange(address) {
			joiningExchanges = Math.max(0, joiningExchanges - 1);
			const result = await host.client.exchange(address, createNext());
			if (result.isErr()) {
				logger.debug('exchange-failed', {peer: address, reason: result.error.message});
				return false;
			}

			take(result.value, address);
			return true;
		},
	});
	const poller = createInstancePoller({
		instanceList: host.instanceList,
		logger,
		onChange(instances) {
			listedUpstreams = groupUpstreams(instances);
			apply(setInstanceList(membership, getListedEntries(instances)));
			publishUpstreams();
		},
	}, {intervalMilliseconds, timeoutMilliseconds});
	const routes = createMembershipRoutes({
		answer(digest) {
			take(digest, membership.members.get(digest.sender)?.record.peerAddress ?? digest.members[0]?.peerAddress);
			return createNext(digest);
		},
		getTableUpdate: host.table.getUpdate,
	});

	function createNext(answered?: Digest): Digest {
		const created = createDigest(membership, {
			isJoining: joiningExchanges > 0 && answered === undefined,
			tablePosition: host.table.getPosition(),
			reports: getFreshReports(),
			random,
			answered,
		}, host.getNow());
		membership = created.membership;
		return created.digest;
	}

	function take(digest: Digest, address: string | undefined): void {
		const now = host.getNow();
		const merged = mergeDigest(membership, digest, now);
		apply(merged.membership);
		if (merged.isUrgent) {
			void loop.wake();
		}

		for (const {service, upstream, isDraining, ageMilliseconds, ...load} of digest.reports) {
			host.onReport(service, upstream, {...load, state: isDraining ? 'draining' : 'live'}, now - ageMilliseconds);
		}

		if (address !== undefined) {
			host.table.notePosition(address, digest.tablePosition);
		}
	}

	function getFreshReports(): readonly PeerReport[] {
		const now = host.getNow();
		for (const [key, {at}] of measured) {
			if (now - at > sharedReportMilliseconds) {
				measured.delete(key);
			}
		}

		return [...measured.values()].toReversed().map(({report, at}) => ({...report, ageMilliseconds: now - at}));
	}

	function getCachedStatuses(): readonly EntryStatus[] {
		statuses ??= listStatuses(membership);
		return statuses;
	}

	/** Takes a new state and tells the other parts what has changed in it. */
	function apply(next: Membership): void {
		membership = next;
		statuses = undefined;
		entriesVersion = undefined;
		publishStates();
		const fleet = getFleetView(membership);
		const text = JSON.stringify(fleet);
		if (text !== publishedFleet) {
			publishedFleet = text;
			host.onFleet(fleet);
		}

		const draining = getDrainingUpstreams(membership);
		if (!isSameSet(draining, publishedDrains)) {
			publishUpstreams();
		}

		if (!isSupersededKnown && isSuperseded(membership)) {
			isSupersededKnown = true;
			logger.error('entry-superseded', {incarnation: identity.incarnation});
			host.onSuperseded();
		}
	}

	function publishStates(): void {
		const states = new Map([...membership.members].map(([incarnation, member]) => [incarnation, member.state]));
		for (const [incarnation, state] of states) {
			const before = publishedStates.get(incarnation);
			if (before !== state) {
				logger.info('member-state', {
					member: membership.members.get(incarnation)?.record.name, incarnation, from: before, to: state,
				});
			}
		}

		publishedStates = states;
	}

	function publishUpstreams(): void {
		const draining = getDrainingUpstreams(membership);
		for (const upstream of draining) {
			if (!publishedDrains.has(upstream)) {
				logger.info('upstream-drain-known', {upstream});
			}
		}

		publishedDrains = draining;
		host.onUpstreams(getUpstreams());
	}

	function getUpstreams(): UpstreamsByService {
		return new Map([...listedUpstreams].map(([service, upstreams]) => [service, markDrainingUpstreams(upstreams, publishedDrains)]));
	}

	return {
		routes,
		directory: {
			getByIncarnation: incarnation => getStatus(membership, incarnation),
			getLive: () => getCachedStatuses().filter(status => status.state === 'live'),
		},
		async start(addresses) {
			membership = createInitialMembership({...identity, ...addresses}, host.getNow());
			await poller.start();
			loop.start();
		},
		async leave() {
			apply(markSelfLeaving(membership, host.getNow()));
			await loop.wake();
		},
		stop() {
			loop.stop();
			poller.stop();
			host.client.close();
		},
		setWeight(weight) {
			const next = setWeight(membership, weight, host.getNow());
			if (next !== membership) {
				apply(next);
				void loop.wake();
			}
		},
		announceTable() {
			void loop.wake();
		},
		observe(upstream, report) {
			const isDraining = report.state === 'draining';
			if (!isDraining && !membership.drains.has(upstream)) {
				return;
			}

			const now = host.getNow();
			const seen = recordDrainObservation(membership, {upstream, isDraining, reportedAt: now}, now);
			if (seen.membership !== membership) {
				apply(seen.membership);
			}

			if (seen.isUrgent) {
				void loop.wake();
			}
		},
		share(service, upstream, {state, ...load}) {
			const key = `${service}/${upstream}`;
			measured.delete(key);
			measured.set(key, {
				at: host.getNow(),
				report: {
					service, upstream, ...load, isDraining: state === 'draining', ageMilliseconds: 0,
				},
			});
		},
		getFleet: () => getFleetView(membership),
		getUpstreams,
		getEntries: caller => createEntriesAnswer(getCachedStatuses(), caller, random),
		isStale(sentVersion) {
			const cached = getCachedStatuses();
			entriesVersion ??= getEntriesVersion(cached);
			return cached.find(status => status.isSelf)?.state === 'leaving' || (sentVersion !== undefined && sentVersion !== entriesVersion);
		},
		getStatuses: getCachedStatuses,
		countStates() {
			const counts: Record<string, number> = {};
			for (const {state} of membership.members.values()) {
				counts[state] = (counts[state] ?? 0) + 1;
			}

			return counts;
		},
		getDrains: () => [...membership.drains.values()].map(drain => drain.record),
	};
}

function isSameSet(left: ReadonlySet<string>, right: ReadonlySet<string>): boolean {
	return left.size === right.size && [...left].every(item => right.has(item));
}

function getListedEntries(instances: readonly InstanceRecord[]): readonly ListedEntry[] {
	const entries: ListedEntry[] = [];
	for (const {role, name, failureDomain, peerAddress, state} of instances) {
		if (role === 'entry' && peerAddress !== undefined) {
			entries.push({
				name, failureDomain, peerAddress, state,
			});
		}
	}

	return entries;
}

function groupUpstreams(instances: readonly InstanceRecord[]): UpstreamsByService {
	const groups = new Map<string, UpstreamDescription[]>();
	for (const {role, service, name, address, region, failureDomain, state} of instances) {
		if (role === 'upstream' && service !== undefined) {
			const group = groups.get(service) ?? [];
			group.push({
				name, address, region, failureDomain, state,
			});
			groups.set(service, group);
		}
	}

	return groups;
}
