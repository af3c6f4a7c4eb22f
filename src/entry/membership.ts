/** Membership of one entry: polls the instance list, exchanges digests with peers and publishes changes to the rest of the entry. */
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
	readonly tableExchange: TableExchange;
	/** Current time in milliseconds of a monotonic clock. */
	getNow(): number;
	/** Called when the entries that share the limits of the fleet change. */
	onFleetChange(fleet: FleetView): void;
	/** Called when the listed upstreams or their drains change. */
	onUpstreamsChange(upstreams: UpstreamsByService): void;
	/** Called with each load report that another entry polled. */
	onReport(service: string, upstream: string, report: LoadReport, reportedAt: number): void;
	/** Called when another process with the same name started later and is live. */
	onSuperseded(): void;
};

export type EntryMembershipOptions = Omit<EntryDescription, 'address' | 'peerAddress'> & InstancePollerOptions;

/** Membership of one entry. */
export type EntryMembership = {
	/** Routes for the peer port. */
	readonly routes: PeerRoutes;
	readonly directory: PeerDirectory;
	/** Starts, once the ports are open; resolves after the first read of the instance list. */
	start(addresses: Pick<EntryDescription, 'address' | 'peerAddress'>): Promise<void>;
	/** Announces to the other entries that this entry is leaving. */
	leave(): Promise<void>;
	stop(): void;
	/** Sets the weight that this entry advertises to callers; 0 when the entry is overloaded. */
	setWeight(weight: number): void;
	/** Immediately announces to the other entries that this entry has a newer table. */
	announceTable(): void;
	/** Records the draining state from a report that this entry received directly from an upstream. */
	recordUpstreamReport(upstream: string, report: LoadReport): void;
	/** Shares a load report that this entry polled with the other entries. */
	shareReport(service: string, upstream: string, report: LoadReport): void;
	getFleet(): FleetView;
	/** Gets the listed upstreams, with the drains applied to them. */
	getUpstreams(): UpstreamsByService;
	/** Gets the entries that a caller should use. */
	getEntries(caller: CallerLocation): EntriesAnswer;
	/** Whether a caller that sent the given version of the entries should fetch them again. */
	isEntryListStale(sentVersion: string | undefined): boolean;
	/** Gets the status of each member that is not gone. */
	getMemberStatuses(): readonly EntryStatus[];
	/** Counts the members by state. */
	countMembersByState(): Readonly<Record<string, number>>;
	getDrains(): readonly DrainRecord[];
};

const incarnationBytes = 8;

/** Age up to which polled reports are shared with other entries. */
const maximumSharedReportAgeMilliseconds = 1000;

/** Creates the random id of one run of an entry process. */
export function createIncarnation(): string {
	return crypto.randomBytes(incarnationBytes).toString('hex');
}

/** Creates the membership; call `start` to begin. */
export function createEntryMembership(host: EntryMembershipHost, options: EntryMembershipOptions): EntryMembership {
	const {logger, random} = host;
	const {intervalMilliseconds, timeoutMilliseconds, ...identity} = options;
	const measuredReports = new Map<string, {readonly report: PeerReport; readonly at: number}>();
	let membership = createInitialMembership({...identity, address: '', peerAddress: ''}, host.getNow());
	let listedUpstreams: UpstreamsByService = new Map();
	let cachedStatuses: readonly EntryStatus[] | undefined;
	let cachedEntriesVersion: string | undefined;
	let isSupersededReported = false;
	let joiningExchangesLeft = joiningExchangeCount;
	let publishedFleetJson = '';
	let loggedStates: ReadonlyMap<string, string> = new Map();
	let publishedDrains: ReadonlySet<string> = new Set();

	const exchangeLoop = createExchangeLoop({
		random,
		getNow: host.getNow,
		getCandidates: () => listCandidateAddresses(membership),
		onSteadyInterval() {
			const now = host.getNow();
			updateMembership(applyTimeouts(incrementHeartbeat(membership, now), now));
		},
		async exchange(address) {
			joiningExchangesLeft = Math.max(0, joiningExchangesLeft - 1);
			const result = await host.client.exchange(address, createNextDigest());
			if (result.isErr()) {
				logger.debug('exchange-failed', {peer: address, reason: result.error.message});
				return false;
			}

			applyDigest(result.value, address);
			return true;
		},
	});
	const poller = createInstancePoller({
		instanceList: host.instanceList,
		logger,
		onChange(instances) {
			listedUpstreams = groupUpstreams(instances);
			updateMembership(setInstanceList(membership, getListedEntries(instances)));
			publishUpstreams();
		},
	}, {intervalMilliseconds, timeoutMilliseconds});
	const routes = createMembershipRoutes({
		handleExchange(digest) {
			applyDigest(digest, membership.members.get(digest.sender)?.record.peerAddress ?? digest.members[0]?.peerAddress);
			return createNextDigest(digest);
		},
		getTableUpdate: host.tableExchange.getUpdate,
	});

	function createNextDigest(receivedDigest?: Digest): Digest {
		const created = createDigest(membership, {
			isJoining: joiningExchangesLeft > 0 && receivedDigest === undefined,
			tablePosition: host.tableExchange.getPosition(),
			reports: getFreshReports(),
			random,
			answered: receivedDigest,
		}, host.getNow());
		membership = created.membership;
		return created.digest;
	}

	function applyDigest(digest: Digest, address: string | undefined): void {
		const now = host.getNow();
		const merged = mergeDigest(membership, digest, now);
		updateMembership(merged.membership);
		if (merged.isUrgent) {
			void exchangeLoop.exchangeUrgently();
		}

		for (const {service, upstream, isDraining, ageMilliseconds, ...load} of digest.reports) {
			host.onReport(service, upstream, {...load, state: isDraining ? 'draining' : 'live'}, now - ageMilliseconds);
		}

		if (address !== undefined) {
			host.tableExchange.onPeerPosition(address, digest.tablePosition);
		}
	}

	function getFreshReports(): readonly PeerReport[] {
		const now = host.getNow();
		for (const [key, {at}] of measuredReports) {
			if (now - at > maximumSharedReportAgeMilliseconds) {
				measuredReports.delete(key);
			}
		}

		return [...measuredReports.values()].toReversed().map(({report, at}) => ({...report, ageMilliseconds: now - at}));
	}

	function getCachedStatuses(): readonly EntryStatus[] {
		cachedStatuses ??= listStatuses(membership);
		return cachedStatuses;
	}

	/** Replaces the membership state, logs state changes and notifies the host of changes. */
	function updateMembership(next: Membership): void {
		membership = next;
		cachedStatuses = undefined;
		cachedEntriesVersion = undefined;
		logStateChanges();
		const fleet = getFleetView(membership);
		const fleetJson = JSON.stringify(fleet);
		if (fleetJson !== publishedFleetJson) {
			publishedFleetJson = fleetJson;
			host.onFleetChange(fleet);
		}

		const draining = getDrainingUpstreams(membership);
		if (!isSameSet(draining, publishedDrains)) {
			publishUpstreams();
		}

		if (!isSupersededReported && isSuperseded(membership)) {
			isSupersededReported = true;
			logger.error('entry-superseded', {incarnation: identity.incarnation});
			host.onSuperseded();
		}
	}

	function logStateChanges(): void {
		const states = new Map([...membership.members].map(([incarnation, member]) => [incarnation, member.state]));
		for (const [incarnation, state] of states) {
			const previousState = loggedStates.get(incarnation);
			if (previousState !== state) {
				logger.info('member-state', {
					member: membership.members.get(incarnation)?.record.name, incarnation, from: previousState, to: state,
				});
			}
		}

		loggedStates = states;
	}

	function publishUpstreams(): void {
		const draining = getDrainingUpstreams(membership);
		for (const upstream of draining) {
			if (!publishedDrains.has(upstream)) {
				logger.info('upstream-drain-known', {upstream});
			}
		}

		publishedDrains = draining;
		host.onUpstreamsChange(getUpstreams());
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
			exchangeLoop.start();
		},
		async leave() {
			updateMembership(markSelfLeaving(membership, host.getNow()));
			await exchangeLoop.exchangeUrgently();
		},
		stop() {
			exchangeLoop.stop();
			poller.stop();
			host.client.close();
		},
		setWeight(weight) {
			const next = setWeight(membership, weight, host.getNow());
			if (next !== membership) {
				updateMembership(next);
				void exchangeLoop.exchangeUrgently();
			}
		},
		announceTable() {
			void exchangeLoop.exchangeUrgently();
		},
		recordUpstreamReport(upstream, report) {
			const isDraining = report.state === 'draining';
			if (!isDraining && !membership.drains.has(upstream)) {
				return;
			}

			const now = host.getNow();
			const observed = recordDrainObservation(membership, {upstream, isDraining, reportedAt: now}, now);
			if (observed.membership !== membership) {
				updateMembership(observed.membership);
			}

			if (observed.isUrgent) {
				void exchangeLoop.exchangeUrgently();
			}
		},
		shareReport(service, upstream, {state, ...load}) {
			const key = `${service}/${upstream}`;
			measuredReports.delete(key);
			measuredReports.set(key, {
				at: host.getNow(),
				report: {
					service, upstream, ...load, isDraining: state === 'draining', ageMilliseconds: 0,
				},
			});
		},
		getFleet: () => getFleetView(membership),
		getUpstreams,
		getEntries: caller => createEntriesAnswer(getCachedStatuses(), caller, random),
		isEntryListStale(sentVersion) {
			const cached = getCachedStatuses();
			cachedEntriesVersion ??= getEntriesVersion(cached);
			return cached.find(status => status.isSelf)?.state === 'leaving' || (sentVersion !== undefined && sentVersion !== cachedEntriesVersion);
		},
		getMemberStatuses: getCachedStatuses,
		countMembersByState() {
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
