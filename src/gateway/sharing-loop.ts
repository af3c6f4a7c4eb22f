/** Keeps the platform state of this entry up to date: follows another entry, or reads the platform's store. */
import * as timers from 'node:timers/promises';
import type * as neverthrow from 'neverthrow';
import {type RandomSource} from '../decisions/random.ts';
import {type Member} from '../decisions/sharing/types.ts';
import {createMemberList, type MemberList} from '../decisions/sharing/member-list.ts';
import * as sourceChoice from '../decisions/sharing/source-choice.ts';
import {type Logger} from '../observability/logger.ts';
import type * as codec from '../peers/sharing-codec.ts';
import {type SharingClient, type SharingError} from '../peers/sharing.ts';
import {type Knowledge} from './knowledge.ts';
import {type StoreReader} from './store-reader.ts';

/** Dependencies of a sharing loop. */
export type SharingLoopHost = {
	readonly logger: Logger;
	readonly knowledge: Knowledge;
	readonly reader: StoreReader;
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
};

/** Exchanges the platform state and the member list with the other entries. */
export type SharingLoop = {
	readonly members: MemberList;
	start(): void;
	/** Responds to an entry that follows this one, as soon as there is an update or the wait of the request is over. */
	answer(question: codec.FollowQuestion): Promise<codec.FollowNews>;
	/** Sends the changed state of this entry to the other entries at once. */
	announce(): void;
	stop(): void;
};

/** Maximum wait of a follower for an update, in milliseconds; together with the reader's interval below the age at which data is stale. */
const followWaitMilliseconds = 400;
/** Maximum wait that a follower may request, in milliseconds. */
const largestWaitMilliseconds = 5000;
/** Pause after a failure, and between two checks of the age of the platform state, in milliseconds. */
const pauseMilliseconds = 50;
/** Time between two requests to seeds, in milliseconds, and its initial value while no other entry is known, which doubles after each request. */
const seedIntervalMilliseconds = 2000;
const firstSeedIntervalMilliseconds = 100;
const largestTurn = 1000;
/** Time for which an entry waits for a seed when all entries start for the first time, in milliseconds; they start within about 0.3 s of each other. */
const seedPatienceMilliseconds = 2000;
/** Time between two reads of the store while the followed entry has no fresh data, in milliseconds, and its maximum while reads fail. */
const ownReadMilliseconds = 500;
const longestOwnReadMilliseconds = 2000;
/**
Time between two announcements of changed members, in milliseconds.

When all entries start at the same time, each of them changes the list. Announcing each change alone would cost one
response to each follower, and callers keep addresses for at least a second anyway.
*/
const announceMilliseconds = 200;
const nothingTold = {source: '', revision: -1};

/** Creates the loop of an entry; call `start` to begin. */
export function createSharingLoop(host: SharingLoopHost): SharingLoop {
	const {logger, knowledge, reader, client} = host;
	const members = createMemberList(host.getSelf);
	const self = host.getSelf();
	const choice = sourceChoice.createSourceChoice({name: self.name});
	const stopping = new AbortController();
	const patientUntil = host.getNow() + seedPatienceMilliseconds;
	let followAbort = new AbortController();
	let source = '';
	/** Source and revision of the member list that was last received from the followed entry. */
	let told = nothingTold;
	/** Revision of the member list that was last announced to the followers. */
	let announcedRevision = -1;

	const getSource = () => choice.choose(members.list(), host.getNow());

	function createQuestion(waitMilliseconds: number): codec.FollowQuestion {
		return {
			follower: host.getSelf(),
			configurationVersion: knowledge.getInForce()?.configuration.version ?? -1,
			registryPosition: knowledge.registry.getPosition(),
			membersSource: told.source,
			membersRevision: told.revision,
			waitMilliseconds,
		};
	}

	function takeNews(news: codec.FollowNews, origin: string): void {
		const now = host.getNow();
		members.adopt(news.memberUpdate, now);
		told = {source: news.membersSource, revision: news.memberUpdate.revision};
		takePublished(news, origin);
	}

	function takePublished(news: codec.FollowNews, origin: string): void {
		const knownAt = host.getNow() - news.ageMilliseconds;
		if (news.configuration) {
			knowledge.takeConfiguration(news.configuration, origin);
		}

		if (news.registryUpdate) {
			knowledge.takeEvents(knowledge.registry.takeUpdate(news.registryUpdate), origin);
		}

		knowledge.confirm('configuration', knownAt);
		knowledge.confirm('registry', knownAt);
	}

	function noteSource(next: string): void {
		if (next !== source) {
			logger.info('news-source-changed', {
				source: next, previous: source || undefined, members: members.list().length, ageMilliseconds: Math.round(knowledge.getAge(host.getNow())),
			});
			source = next;
			told = nothingTold;
		}
	}

	const isPatient = () => host.isFirstStart && !host.getSeeds().includes(self.peerAddress) && host.getNow() < patientUntil;

	/** Lets the seeds read the store first when all entries start together, so that not every entry reads all of it. */
	async function waitForSeeds(): Promise<void> {
		while (!stopping.signal.aborted && members.count() === 1 && isPatient()) {
			await timers.setTimeout(pauseMilliseconds);
		}
	}

	async function follow(): Promise<void> {
		await waitForSeeds();
		while (!stopping.signal.aborted) {
			const name = getSource();
			if (name === undefined) {
				noteSource('store');
				await reader.readWhile(() => !stopping.signal.aborted && getSource() === undefined);
				await recoverFromReadFailure();
				continue;
			}

			noteSource(name);
			const {peerAddress} = members.list().find(member => member.name === name)!;
			followAbort = new AbortController();
			const result = await client.follow(peerAddress, createQuestion(followWaitMilliseconds), followAbort.signal);
			if (!followAbort.signal.aborted) {
				await judge(name, result);
			}
		}
	}

	/** Follows another entry for a while if this entry should read the store, but its reads fail. */
	async function recoverFromReadFailure(): Promise<void> {
		if (stopping.signal.aborted || getSource() !== undefined) {
			return;
		}

		choice.avoid(self.name, host.getNow());
		await timers.setTimeout(pauseMilliseconds);
	}

	async function judge(name: string, result: neverthrow.Result<codec.FollowNews, SharingError>): Promise<void> {
		if (stopping.signal.aborted) {
			return;
		}

		if (result.isErr()) {
			logger.warn('news-source-lost', {source: name, reason: result.error.message});
			choice.avoid(name, host.getNow());
			await timers.setTimeout(pauseMilliseconds);
			return;
		}

		takeNews(result.value, name);
		if (result.value.ageMilliseconds > sourceChoice.staleMilliseconds) {
			logger.warn('news-source-stale', {source: name, ageMilliseconds: result.value.ageMilliseconds});
			choice.avoid(name, host.getNow());
			await timers.setTimeout(pauseMilliseconds);
		}
	}

	/** Reads the store for this entry while the followed entry provides no fresh data. */
	async function watchAge(): Promise<void> {
		let interval = ownReadMilliseconds;
		while (!stopping.signal.aborted) {
			if (knowledge.getAge(host.getNow()) <= sourceChoice.staleMilliseconds || getSource() === undefined || isPatient()) {
				interval = ownReadMilliseconds;
				await timers.setTimeout(pauseMilliseconds);
				continue;
			}

			const isRead = await reader.readOnce();
			interval = isRead ? ownReadMilliseconds : Math.min(longestOwnReadMilliseconds, interval * 2);
			await timers.setTimeout(interval);
		}
	}

	/** Periodically checks whether a lost store responds to this entry again. */
	async function watchStore(): Promise<void> {
		while (!stopping.signal.aborted) {
			await reader.retry();
			await timers.setTimeout(pauseMilliseconds);
		}
	}

	/**
	Queries the seeds while no other entry is known, and while this entry reads the store, to find other readers.

	The entry queries the seeds in turn with increasing intervals, because all entries may query the same few seeds after
	all processes were lost.
	*/
	async function watchSeeds(): Promise<void> {
		let turn = host.random.nextInteger(largestTurn);
		let interval = firstSeedIntervalMilliseconds;
		while (!stopping.signal.aborted) {
			const seeds = host.getSeeds().filter(address => address !== self.peerAddress);
			const address = seeds[turn++ % Math.max(1, seeds.length)];
			if (address !== undefined && (members.count() === 1 || getSource() === undefined)) {
				await askSeed(address);
			}

			await timers.setTimeout(members.count() === 1 ? interval * (1 + host.random.nextFraction()) : seedIntervalMilliseconds);
			interval = Math.min(seedIntervalMilliseconds, interval * 2);
		}
	}

	async function askSeed(address: string): Promise<void> {
		const result = await client.follow(address, createQuestion(0), new AbortController().signal);
		if (result.isErr()) {
			return;
		}

		members.introduce(result.value.memberUpdate.members, host.getNow());
		takePublished(result.value, address);
	}

	async function watchMembers(): Promise<void> {
		while (!stopping.signal.aborted) {
			const silent = members.expire(host.getNow());
			for (const name of silent) {
				logger.warn('member-silent', {member: name});
			}

			announceMembers();
			await timers.setTimeout(announceMilliseconds);
		}
	}

	/** Wakes the waiting followers if the member list has changed. */
	function announceMembers(): void {
		const revision = members.getRevision();
		if (revision !== announcedRevision) {
			announcedRevision = revision;
			knowledge.wake();
		}
	}

	function getRegistryUpdate(position: number) {
		const update = knowledge.registry.getUpdate(position);
		return update.position > position ? update : undefined;
	}

	function hasNews(question: codec.FollowQuestion): boolean {
		const version = knowledge.getInForce()?.configuration.version ?? -1;
		const update = getRegistryUpdate(question.registryPosition);
		return version > question.configurationVersion
			|| (update !== undefined && (update.changes.length > 0 || update.isComplete))
			|| question.membersSource !== self.incarnation
			|| question.membersRevision < announcedRevision;
	}

	return {
		members,
		start() {
			void follow();
			void watchAge();
			void watchStore();
			void watchSeeds();
			void watchMembers();
		},
		async answer(question) {
			if (members.hear(question.follower, host.getNow())) {
				logger.info('member-heard', {member: question.follower.name, incarnation: question.follower.incarnation, isReady: question.follower.isReady});
			}

			const endsAt = host.getNow() + Math.min(question.waitMilliseconds, largestWaitMilliseconds);
			while (!stopping.signal.aborted && !hasNews(question) && host.getNow() < endsAt) {
				await knowledge.waitForNews(Math.max(1, endsAt - host.getNow()));
			}

			members.hear(question.follower, host.getNow());
			const inForce = knowledge.getInForce();
			return {
				ageMilliseconds: Math.max(0, knowledge.getAge(host.getNow())),
				configuration: inForce && inForce.configuration.version > question.configurationVersion ? inForce.configuration : undefined,
				registryUpdate: getRegistryUpdate(question.registryPosition),
				membersSource: self.incarnation,
				memberUpdate: members.getUpdate(question.membersSource === self.incarnation ? question.membersRevision : -1),
			};
		},
		announce() {
			announceMembers();
			followAbort.abort();
		},
		stop() {
			stopping.abort();
			followAbort.abort();
			knowledge.wake();
		},
	};
}
