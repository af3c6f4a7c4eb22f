/** A store that the test controls, and entries that read it or follow each other, for replays in virtual time. */
import * as neverthrow from 'neverthrow';
import type * as registry from '../../src/decisions/registry/types.ts';
import * as followerUpdates from '../../src/gateway/follower-updates.ts';
import * as newerState from '../../src/gateway/newer-state.ts';
import * as platformStates from '../../src/gateway/platform-state.ts';
import * as storeReaders from '../../src/gateway/store-reader.ts';
import type * as types from '../../src/gateway/types.ts';
import type * as logger from '../../src/observability/logger.ts';

const silentLogger: logger.Logger = {
	error: () => undefined, warn: () => undefined, info: () => undefined, debug: () => undefined,
};
/** Present time of the virtual clock. */
export const getNow = () => Date.now();

export function createRegistration(id: string, changes: Partial<registry.Registration> = {}): registry.Registration {
	return {
		id, service: 'desk', address: '127.0.0.1:1', failureDomain: 'here', slots: 4, state: 'ready', warmUpMilliseconds: 0, incarnation: 1, sequence: 1, ...changes,
	};
}

type RegistryPage = types.StorePage<registry.RegistryRecord>;

/** A store whose records and availability the test controls. While `delays` has entries, each read of the registry is answered after the next of them. */
export function createStore() {
	const log: registry.RegistryRecord[] = [];
	const operatorLog: types.OperatorRecord[] = [];
	const delays: number[] = [];
	const calls = {count: 0};
	const state: {isDown: boolean; isCutShort: boolean; era: types.Stated<number>} = {isDown: false, isCutShort: false, era: {kind: 'stated', value: 1}};

	async function answer<Page>(createPage: () => Page | undefined): Promise<neverthrow.Result<Page, types.StoreError>> {
		calls.count++;
		if (state.isDown) {
			return neverthrow.err({kind: 'lost', message: 'down'});
		}

		const page = createPage();
		return page === undefined ? neverthrow.err({kind: 'expired', message: 'status 410'}) : neverthrow.ok(page);
	}

	async function answerLate(createPage: () => RegistryPage | undefined): Promise<neverthrow.Result<RegistryPage, types.StoreError>> {
		const result = await answer(createPage);
		const delay = result.isOk() ? delays.shift() : undefined;
		if (delay !== undefined) {
			await new Promise<void>(resolve => {
				setTimeout(resolve, delay);
			});
		}

		return result;
	}

	function createPage<StoreRecord>(records: readonly StoreRecord[], position: number, endPosition: number): types.StorePage<StoreRecord> {
		return {
			era: state.era, position, records, endPosition,
		};
	}

	function readLog<StoreRecord>(records: readonly StoreRecord[], position: number): types.StorePage<StoreRecord> | undefined {
		const part = records.slice(position, state.isCutShort ? position : undefined);
		return position > records.length ? undefined : createPage(part, position + part.length, records.length);
	}

	function listNewest(): readonly registry.RegistryRecord[] {
		const newest = new Map(log.map(record => [record.id, record]));
		return [...newest.values()].filter(({kind}) => kind === 'registered');
	}

	function listNewestOperatorRecords(): readonly types.OperatorRecord[] {
		const published = operatorLog.findLast(({kind}) => kind === 'published');
		const evacuations = new Map(operatorLog.flatMap(record => record.kind === 'evacuated' || record.kind === 'restored' ? [[record.failureDomain, record] as const] : []));
		return [...(published ? [published] : []), ...[...evacuations.values()].filter(({kind}) => kind === 'evacuated')];
	}

	const host: types.StoreHost = {
		configuration: {
			readNewest: async () => answer(() => createPage(listNewestOperatorRecords(), operatorLog.length, operatorLog.length)),
			read: async position => answer(() => readLog(operatorLog, position)),
		},
		registry: {
			readNewest: async () => answerLate(() => createPage(listNewest(), log.length, log.length)),
			read: async position => answerLate(() => readLog(log, position)),
		},
	};
	return {
		host, state, delays, calls,
		register(registration: registry.Registration) {
			log.push({kind: 'registered', id: registration.id, registration});
		},
		remove(id: string) {
			log.push({kind: 'removed', id});
		},
		publish(record: types.OperatorRecord) {
			operatorLog.push(record);
		},
		getSizes: () => ({registry: log.length, operators: operatorLog.length}),
		/** Returns from a copy of an earlier size; returns what is lost. */
		loseRecords(sizes: {readonly registry: number; readonly operators: number}) {
			return {registry: log.splice(sizes.registry), operators: operatorLog.splice(sizes.operators)};
		},
	};
}

export function createState(): platformStates.PlatformState {
	return platformStates.createPlatformState({
		logger: silentLogger, getNow, onConfiguration: () => undefined, onUpstreams: () => undefined, onEvacuations: () => undefined,
	});
}

export function createReader(store: types.StoreHost, platformState: platformStates.PlatformState, catchUp: () => Promise<void> = async () => undefined): storeReaders.StoreReader {
	return storeReaders.createStoreReader({
		store, platformState, logger: silentLogger, getNow, onReachabilityChange: () => undefined, catchUp,
	});
}

/** Lists the upstreams that an entry knows. */
export const listIds = ({registry: {list}}: platformStates.PlatformState) => list().map(({id}) => id).toSorted((left, right) => left.localeCompare(right));

export const noMembers: followerUpdates.FollowerUpdatesHost['members'] = {
	getUpdate: () => ({
		revision: 0, isComplete: true, members: [], removed: [],
	}),
	getOwnRevision: () => 0,
};

/** Gives a follower what its source has, as `sharing-loop.ts` does. */
export function follow(follower: platformStates.PlatformState, source: platformStates.PlatformState): void {
	const followerEra = follower.getEra();
	if (followerEra !== undefined) {
		source.recordEra(followerEra, 'follower');
	}

	const era = source.getEra();
	const {getRegistryUpdate} = followerUpdates.createFollowerUpdates({registry: source.registry, members: noMembers, getNow});
	const update = getRegistryUpdate(follower.registry.getPosition(), follower.registry.getUnsharedPosition());
	if (era !== undefined) {
		follower.recordEra(era, 'source');
	}

	follower.recordRecovery(Math.max(0, (source.getRecoveryEnd(getNow()) ?? 0) - getNow()));
	if (update) {
		follower.handleRegistryEvents(follower.registry.applyUpdate(update, getNow(), follower.getRecoveryEnd(getNow())), 'source');
	}

	const active = source.getActiveConfiguration();
	if (active) {
		follower.applyConfiguration(active.configuration, active.era, 'source');
	}

	const {era: evacuationsEra, version, remembersEarlier} = follower.evacuations.getSet();
	const set = newerState.getEvacuations(source, {evacuationsPosition: {era: evacuationsEra, offset: version}, lacksEarlierEvacuations: !remembersEarlier});
	if (set && follower.evacuations.applySet(set)) {
		follower.handleEvacuationChange('source');
	}

	if (era === follower.getEra()) {
		const currentAt = getNow() - source.getAge(getNow());
		follower.confirmUpTo('configuration', currentAt);
		follower.confirmUpTo('registry', currentAt);
	}
}

export type State = platformStates.PlatformState;

/** Wraps a store for one entry, whose link to it the test can cut. */
export function createCuttableHost(host: types.StoreHost, link: {readonly isCut: boolean}): types.StoreHost {
	const cutOff = async () => neverthrow.err({kind: 'lost' as const, message: 'cut off'});
	return {
		configuration: {
			readNewest: async milliseconds => link.isCut ? cutOff() : host.configuration.readNewest(milliseconds),
			read: async (position, options) => link.isCut ? cutOff() : host.configuration.read(position, options),
		},
		registry: {
			readNewest: async milliseconds => link.isCut ? cutOff() : host.registry.readNewest(milliseconds),
			read: async (position, options) => link.isCut ? cutOff() : host.registry.read(position, options),
		},
	};
}
