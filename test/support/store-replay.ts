/** A store that the test controls, and entries that read it or follow each other, for replays in virtual time. */
import * as neverthrow from 'neverthrow';
import type * as registry from '../../src/decisions/registry/types.ts';
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

/** A store whose records and availability the test controls. While `delays` has entries, each read is answered after the next of them. */
export function createStore() {
	const log: registry.RegistryRecord[] = [];
	const newest = new Map<string, registry.Registration>();
	const delays: number[] = [];
	const state = {isDown: false, isCutShort: false};

	async function answer(createPage: () => RegistryPage): Promise<neverthrow.Result<RegistryPage, types.StoreError>> {
		if (state.isDown) {
			return neverthrow.err({kind: 'lost', message: 'down'});
		}

		const page = createPage();
		const delay = delays.shift();
		if (delay !== undefined) {
			await new Promise<void>(resolve => {
				setTimeout(resolve, delay);
			});
		}

		return neverthrow.ok(page);
	}

	const host: types.StoreHost = {
		configuration: {
			readNewest: async () => state.isDown ? neverthrow.err({kind: 'lost', message: 'down'}) : neverthrow.ok({position: 0, records: [], endPosition: 0}),
			read: async () => state.isDown ? neverthrow.err({kind: 'lost', message: 'down'}) : neverthrow.ok({position: 0, records: [], endPosition: 0}),
		},
		registry: {
			readNewest: async () => answer(() => ({position: log.length, endPosition: log.length, records: [...newest.values()].map(registration => ({kind: 'registered', id: registration.id, registration}))})),
			read: async position => answer(() => {
				const records = log.slice(position, state.isCutShort ? position : undefined);
				return {position: position + records.length, endPosition: log.length, records};
			}),
		},
	};
	return {
		host, state, delays,
		register(registration: registry.Registration) {
			log.push({kind: 'registered', id: registration.id, registration});
			newest.set(registration.id, registration);
		},
		remove(id: string) {
			log.push({kind: 'removed', id});
			newest.delete(id);
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

/** Gives a follower what its source has, as `sharing-loop.ts` does. */
export function follow(follower: platformStates.PlatformState, source: platformStates.PlatformState): void {
	const update = source.registry.getUpdate(follower.registry.getPosition(), getNow());
	follower.recordRecovery(Math.max(0, (source.getRecoveryEnd(getNow()) ?? 0) - getNow()));
	follower.handleRegistryEvents(follower.registry.applyUpdate(update, getNow()), 'source');
	source.confirmUpTo('configuration', getNow());
	follower.confirmUpTo('registry', getNow() - source.getAge(getNow()));
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
