/** Keeps the platform state of this entry up to date: follows another entry, or reads the platform's store. */
import * as timers from 'node:timers/promises';
import type * as neverthrow from 'neverthrow';
import {type RandomSource} from '../decisions/random.ts';
import * as positions from '../decisions/registry/positions.ts';
import {type Member} from '../decisions/sharing/types.ts';
import {createMemberList, type MemberList} from '../decisions/sharing/member-list.ts';
import type * as seedSchedule from '../decisions/sharing/seed-schedule.ts';
import * as sourceSelection from '../decisions/sharing/source-selector.ts';
import {type Logger} from '../observability/logger.ts';
import type * as codec from '../peers/sharing-codec.ts';
import {answerGraceMilliseconds, type SharingClient, type SharingError} from '../peers/sharing.ts';
import * as followerUpdates from './follower-updates.ts';
import * as newerState from './newer-state.ts';
import {type PlatformState} from './platform-state.ts';
import * as seedQueries from './seed-queries.ts';
import * as seedWaits from './seed-wait.ts';
import type * as statementRecorder from './statement-recorder.ts';
import {type StoreReader} from './store-reader.ts';

/** Dependencies of a sharing loop. */
export type SharingLoopHost = {
	readonly logger: Logger;
	readonly platformState: PlatformState;
	readonly reader: StoreReader;
	readonly statements: Pick<statementRecorder.StatementRecorder, 'getUpdate' | 'recordShared'>;
	readonly client: SharingClient;
	/** Whether all entries start for the first time. */
	readonly isFirstStart: boolean;
	readonly random: RandomSource;
	/** Returns the present state of this entry as a member. */
	getSelf(): Member;
	/** Lists the peer addresses of a few entries, which may be outdated. */
	getSeeds(): readonly string[];
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	/** Records by how many milliseconds a timer was late. */
	recordLateness(milliseconds: number): void;
};

/** Exchanges the platform state and the member list with the other entries. */
export type SharingLoop = {
	readonly members: MemberList;
	start(): void;
	/** Responds to an entry that follows this one, as soon as there is an update or the wait of the request is over. */
	respond(request: codec.SharingRequest): Promise<codec.SharingUpdate>;
	/** Asks the other entries that rank highest for their state, which may be newer. */
	catchUp(): Promise<void>;
	/** Sends the changed state of this entry to the other entries at once. */
	announce(): void;
	stop(): void;
};

/** Maximum wait of a follower for an update, in milliseconds; together with the reader's interval below the age at which data is stale. */
const followWaitMilliseconds = 400;
/** Maximum wait that a follower may request, in milliseconds. */
const maximumWaitMilliseconds = 5000;
/** Lateness of a failed request from which on this entry stood still, in milliseconds; the answer may wait in its socket. */
const standstillMilliseconds = 100;
/** Pause after a failure, and between two checks of the age of the platform state, in milliseconds. */
const pauseMilliseconds = 50;
/** Time between two reads of the store while the followed entry has no fresh data, in milliseconds, and its maximum while reads fail. */
const ownReadIntervalMilliseconds = 500;
const maximumOwnReadIntervalMilliseconds = 2000;
/**
Time between two announcements of changed members, in milliseconds.

When all entries start at the same time, each of them changes the list. Announcing each change alone would cost one
response to each follower, and callers keep addresses for at least a second anyway.
*/
const announceIntervalMilliseconds = 200;
/** Number of entries that are asked for their state after a gap in the own knowledge, and the time for their answers in milliseconds. */
const catchUpSources = 3;
const catchUpMilliseconds = 300;
/** Name of the source while this entry reads the store for itself. */
const storeSource = 'store';
const noVersion = {source: '', membersRevision: -1, statementsRevision: -1};

/** Creates the loop of an entry; call `start` to begin. */
export function createSharingLoop(host: SharingLoopHost): SharingLoop {
	const {logger, platformState, reader, client} = host;
	const members = createMemberList(host.getSelf);
	const updates = followerUpdates.createFollowerUpdates({registry: platformState.registry, members, getNow: host.getNow});
	const self = host.getSelf();
	const sourceSelector = sourceSelection.createSourceSelector({name: self.name});
	const stopping = new AbortController();
	const seedWait = seedWaits.createSeedWait({
		isFirstStart: host.isFirstStart, peerAddress: self.peerAddress, seeds: host.getSeeds(), startedAt: host.getNow(),
	});
	let followAbort = new AbortController();
	/** Number of sources in a row that failed or returned stale data. */
	let failedSources = 0;
	/** Whether the latest request failed while this entry stood still. */
	let hasStoodStill = false;
	let source = '';
	/** Source and revisions of the member list and the statements that were last received from the followed entry. */
	let receivedVersion = noVersion;
	/** Revision of the own statements that the followed entry has received. */
	let sentStatementsRevision = -1;
	/** Urgent revision of the member list that was last announced to the followers. */
	let announcedRevision = -1;

	const findSource = () => sourceSelector.selectSource(members.list(), host.getNow());

	function createRequest(waitMilliseconds: number): codec.SharingRequest {
		const active = platformState.getActiveConfiguration();
		const {era, version, remembersEarlier} = platformState.evacuations.getSet();
		return {
			follower: host.getSelf(),
			storeEra: platformState.getEra(),
			configurationVersion: active?.configuration.version ?? -1,
			configurationEra: active?.era,
			registryPosition: platformState.registry.getPosition(),
			unsharedPosition: platformState.registry.getUnsharedPosition(),
			evacuationsPosition: {era, offset: version},
			lacksEarlierEvacuations: !remembersEarlier,
			membersSource: receivedVersion.source,
			membersRevision: receivedVersion.membersRevision,
			statements: host.statements.getUpdate(sentStatementsRevision).statements,
			statementsRevision: receivedVersion.statementsRevision,
			waitMilliseconds,
			acceptsCompressed: true,
		};
	}

	function applyUpdate(update: codec.SharingUpdate, origin: string): void {
		const now = host.getNow();
		members.applyUpdate(update.memberUpdate, now);
		receivedVersion = {source: update.membersSource, membersRevision: update.memberUpdate.revision, statementsRevision: update.statementsRevision};
		host.statements.recordShared(update.statements, origin);
		applyPublishedData(update, origin);
	}

	function applyPublishedData(update: codec.SharingUpdate, origin: string): void {
		const now = host.getNow();
		const currentAt = now - update.ageMilliseconds;
		if (update.storeEra !== undefined) {
			platformState.recordEra(update.storeEra, origin);
		}

		platformState.recordRecovery(update.recoveryMilliseconds);
		if (update.configuration) {
			platformState.applyConfiguration(update.configuration, update.configurationEra ?? positions.initialPosition.era, origin);
		}

		if (update.registryUpdate) {
			platformState.handleRegistryEvents(platformState.registry.applyUpdate(update.registryUpdate, now, platformState.getRecoveryEnd(now)), origin);
		}

		if (update.evacuations && platformState.evacuations.applySet(update.evacuations)) {
			platformState.handleEvacuationChange(origin);
		}

		// What is current in an earlier era says nothing about this one.
		if ((update.storeEra ?? positions.initialPosition.era) >= (platformState.getEra() ?? positions.initialPosition.era)) {
			platformState.confirmUpTo('configuration', currentAt);
			platformState.confirmUpTo('registry', currentAt);
		}
	}

	function recordSource(next: string): void {
		if (next !== source) {
			logger.info('news-source-changed', {
				source: next, previous: source || undefined, members: members.list().length, ageMilliseconds: Math.round(platformState.getAge(host.getNow())),
			});
			source = next;
			receivedVersion = noVersion;
			sentStatementsRevision = -1;
		}
	}

	async function follow(): Promise<void> {
		await seedWaits.waitForSeeds(seedWait, () => !stopping.signal.aborted && members.count() === 1, host.getNow);
		while (!stopping.signal.aborted) {
			const name = findSource();
			if (name === undefined) {
				recordSource(storeSource);
				await reader.readWhile(() => !stopping.signal.aborted && findSource() === undefined);
				await recoverFromReadFailure();
				continue;
			}

			recordSource(name);
			const {peerAddress} = members.list().find(member => member.name === name)!;
			followAbort = new AbortController();
			const {revision} = host.statements.getUpdate(sentStatementsRevision);
			const askedAt = host.getNow();
			const result = await client.follow(peerAddress, createRequest(followWaitMilliseconds), followAbort.signal);
			// One more request tells whether the followed entry or this one was to blame.
			const isExcused = result.isErr() && !hasStoodStill && host.getNow() - askedAt > followWaitMilliseconds + answerGraceMilliseconds + standstillMilliseconds;
			hasStoodStill = isExcused;
			if (!followAbort.signal.aborted && !isExcused) {
				recordSentStatements(result, revision);
				await handleFollowResult(name, result);
			}
		}
	}

	/** Records that the followed entry has the own statements up to a revision, unless it restarted meanwhile. */
	function recordSentStatements(result: neverthrow.Result<codec.SharingUpdate, SharingError>, revision: number): void {
		if (result.isOk()) {
			const isSameSource = receivedVersion.source === '' || receivedVersion.source === result.value.membersSource;
			sentStatementsRevision = isSameSource ? revision : -1;
		}
	}

	/** Follows another entry for a while if this entry should read the store, but its reads fail. */
	async function recoverFromReadFailure(): Promise<void> {
		if (stopping.signal.aborted || findSource() !== undefined) {
			return;
		}

		sourceSelector.avoid(self.name, host.getNow());
		await timers.setTimeout(pauseMilliseconds);
	}

	async function handleFollowResult(name: string, result: neverthrow.Result<codec.SharingUpdate, SharingError>): Promise<void> {
		if (stopping.signal.aborted) {
			return;
		}

		if (result.isErr()) {
			logger.warn('news-source-lost', {source: name, reason: result.error.message});
			await avoidSource(name);
			return;
		}

		applyUpdate(result.value, name);
		if (result.value.ageMilliseconds > sourceSelection.staleMilliseconds) {
			logger.warn('news-source-stale', {source: name, ageMilliseconds: result.value.ageMilliseconds});
			await avoidSource(name);
		} else {
			failedSources = 0;
		}
	}

	async function avoidSource(name: string): Promise<void> {
		failedSources++;
		sourceSelector.avoid(name, host.getNow());
		await timers.setTimeout(sourceSelection.getPauseAfterFailures(failedSources));
	}

	/** Reads the store for this entry while the followed entry provides no fresh data. */
	async function readWhileStale(): Promise<void> {
		let interval = ownReadIntervalMilliseconds;
		while (!stopping.signal.aborted) {
			if (platformState.getAge(host.getNow()) <= sourceSelection.staleMilliseconds || findSource() === undefined || seedWait.shouldLeaveStore(host.getNow())) {
				interval = ownReadIntervalMilliseconds;
				const dueAt = host.getNow() + pauseMilliseconds;
				await timers.setTimeout(pauseMilliseconds);
				host.recordLateness(Math.max(0, host.getNow() - dueAt));
				continue;
			}

			const isRead = await reader.readOnce();
			interval = isRead ? ownReadIntervalMilliseconds : Math.min(maximumOwnReadIntervalMilliseconds, interval * 2);
			await timers.setTimeout(interval);
		}
	}

	/** Periodically checks whether a lost store responds to this entry again. */
	async function retryLostStore(): Promise<void> {
		while (!stopping.signal.aborted) {
			await reader.retry();
			await timers.setTimeout(pauseMilliseconds);
		}
	}

	function getKnownEntries(): seedSchedule.KnownEntries {
		if (source !== '' && source !== storeSource) {
			return 'followed';
		}

		if (members.count() === 1) {
			return 'none';
		}

		return members.list().some(({name, isReady}) => name !== self.name && isReady) ? 'ready' : 'unready';
	}

	async function querySeed(address: string): Promise<void> {
		const result = await client.follow(address, createRequest(0), new AbortController().signal);
		seedWait.recordAnswer();
		if (result.isErr()) {
			return;
		}

		members.applyAnswer(result.value.memberUpdate, result.value.membersSource, host.getNow());
		applyPublishedData(result.value, address);
	}

	async function catchUp(): Promise<void> {
		const others = members.list().filter(({name}) => name !== self.name).toSorted(sourceSelection.compareCandidates).slice(0, catchUpSources);
		await Promise.all(others.map(async ({peerAddress}) => {
			const result = await client.follow(peerAddress, createRequest(0), AbortSignal.timeout(catchUpMilliseconds));
			if (result.isOk()) {
				applyPublishedData(result.value, peerAddress);
			}
		}));
	}

	async function expireMembers(): Promise<void> {
		while (!stopping.signal.aborted) {
			const expired = members.removeSilentMembers(host.getNow());
			for (const name of expired) {
				logger.warn('member-silent', {member: name});
			}

			announceMembers();
			await timers.setTimeout(announceIntervalMilliseconds);
		}
	}

	/** Wakes the waiting followers if the member list has changed. */
	function announceMembers(): void {
		const revision = members.getUrgentRevision();
		if (revision !== announcedRevision) {
			announcedRevision = revision;
			platformState.wakeWaiters();
		}
	}

	function getStatementUpdate({membersSource, statementsRevision}: codec.SharingRequest) {
		const {revision, statements} = host.statements.getUpdate(membersSource === self.incarnation ? statementsRevision : -1);
		return {statementsRevision: revision, statements};
	}

	const getRegistryUpdate = ({registryPosition, unsharedPosition}: codec.SharingRequest) => updates.getRegistryUpdate(newerState.resolveEra(registryPosition, platformState.registry.getPosition().era), unsharedPosition);

	function hasUpdate(request: codec.SharingRequest): boolean {
		const update = getRegistryUpdate(request);
		return newerState.getConfigurationUpdate(platformState, request).configuration !== undefined
			|| (update !== undefined && (update.changes.length > 0 || update.isComplete))
			|| newerState.haveEvacuationsChanged(platformState, request)
			|| request.membersSource !== self.incarnation
			|| host.statements.getUpdate(request.statementsRevision).statements.length > 0
			|| request.membersRevision < announcedRevision;
	}

	return {
		members,
		catchUp,
		start() {
			void follow();
			void readWhileStale();
			void retryLostStore();
			void seedQueries.querySeeds({
				random: host.random, getSeeds: () => host.getSeeds().filter(address => address !== self.peerAddress), getKnownEntries, query: querySeed, getNow: host.getNow,
			}, stopping.signal);
			void expireMembers();
		},
		async respond(request) {
			if (request.storeEra !== undefined) {
				platformState.recordEra(request.storeEra, request.follower.name);
			}

			if (host.statements.recordShared(request.statements, request.follower.name)) {
				platformState.wakeWaiters();
			}

			if (members.recordMember(request.follower, host.getNow())) {
				logger.info('member-heard', {member: request.follower.name, incarnation: request.follower.incarnation, isReady: request.follower.isReady});
			}

			const endsAt = host.getNow() + Math.min(request.waitMilliseconds, maximumWaitMilliseconds);
			while (!stopping.signal.aborted && !hasUpdate(request) && host.getNow() < endsAt) {
				await platformState.waitForChange(Math.max(1, endsAt - host.getNow()));
			}

			members.recordMember(request.follower, host.getNow());
			return {
				storeEra: platformState.getEra(),
				ageMilliseconds: Math.max(0, platformState.getAge(host.getNow())),
				recoveryMilliseconds: Math.max(0, (platformState.getRecoveryEnd(host.getNow()) ?? 0) - host.getNow()),
				...newerState.getConfigurationUpdate(platformState, request),
				registryUpdate: getRegistryUpdate(request),
				evacuations: newerState.getEvacuations(platformState, request),
				membersSource: self.incarnation,
				memberUpdate: updates.getMemberUpdate(request.membersSource === self.incarnation ? request.membersRevision : -1),
				...getStatementUpdate(request),
			};
		},
		announce() {
			announceMembers();
			followAbort.abort();
		},
		stop() {
			stopping.abort();
			followAbort.abort();
			platformState.wakeWaiters();
		},
	};
}
