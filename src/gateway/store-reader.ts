/** Reads the configuration and the registry from the platform's store. */
import * as timers from 'node:timers/promises';
import * as neverthrow from 'neverthrow';
import type * as evacuations from '../decisions/registry/evacuations.ts';
import * as positions from '../decisions/registry/positions.ts';
import {type Logger} from '../observability/logger.ts';
import * as platformStates from './platform-state.ts';
import * as storeEras from './store-era.ts';
import {
	type OperatorRecord, type ReadOptions, type StoreError, type StoreHost, type StorePage, type StoreStream,
} from './types.ts';

/** Dependencies of a store reader. */
export type StoreReaderHost = {
	readonly store: StoreHost;
	readonly platformState: platformStates.PlatformState;
	readonly logger: Logger;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	/** The store became reachable or unreachable. */
	onReachabilityChange(): void;
	/** Takes over what another entry knows, if that is newer. */
	catchUp(): Promise<void>;
};

/** Reads from the store into the platform state. */
export type StoreReader = {
	/** Whether the latest read reached the store, or no read was made yet. */
	canRead(): boolean;
	/** Reads once if the latest read failed and the pause after it is over, to check whether the store is reachable again. */
	retry(): Promise<void>;
	/** Reads the configuration and the registry once, without waiting for records. Resolves to whether both reads succeeded. */
	readOnce(): Promise<boolean>;
	/** Reads repeatedly while `shouldContinue` returns true; resolves when it returns false or a read fails. */
	readWhile(shouldContinue: () => boolean): Promise<void>;
};

/** Records that a read has brought, and the era to which they belong; a late answer of an earlier era is discarded. */
type Reading<StoreRecord>
	= | {readonly kind: 'records' | 'newest'; readonly page: StorePage<StoreRecord>; readonly era: number}
		| {readonly kind: 'discarded'};

type ReadResult<StoreRecord> = neverthrow.Result<Reading<StoreRecord>, StoreError>;

/** Time between two reads of the registry, in milliseconds; a quarter of the two seconds in which entries must learn of a drain. */
const registryIntervalMilliseconds = 500;
/** Time for which the store may hold a read of the configuration open, in milliseconds; a silent connection is detected only after it. */
const configurationWaitMilliseconds = 500;
/** Timeout of a read, in milliseconds, beyond its wait; on slow days the store takes up to 330 ms. */
const timeoutMilliseconds = 700;
const storeOrigin = 'store';
/** Pause after the first failed read and its maximum while reads fail, in milliseconds; each entry retries on its own, so the maximum keeps the total number of calls small. */
const initialPauseMilliseconds = 200;
const maximumPauseMilliseconds = 2000;

/** Creates a reader, which reads only when one of its functions is called. */
export function createStoreReader(host: StoreReaderHost): StoreReader {
	const {store, platformState, logger} = host;
	const eraJudge = storeEras.createStoreEraJudge({platformState, logger});
	let configurationPosition = positions.initialPosition;
	let catchUpInProgress: Promise<void> | undefined;
	let isReachable: boolean | undefined;
	let registryRead: Promise<boolean> | undefined;
	let pauseMilliseconds = initialPauseMilliseconds;
	let nextReadAt = Number.NEGATIVE_INFINITY;

	function recordReachability(error?: StoreError): void {
		const isReachableNow = error === undefined || error.kind === 'expired';
		const now = host.getNow();
		if (isReachableNow) {
			pauseMilliseconds = initialPauseMilliseconds;
		} else if (now >= nextReadAt) {
			nextReadAt = now + pauseMilliseconds;
			pauseMilliseconds = Math.min(maximumPauseMilliseconds, pauseMilliseconds * 2);
		}

		if (isReachableNow === isReachable) {
			return;
		}

		if (isReachableNow) {
			logger.info('store-regained');
		} else {
			logger.warn('store-lost', {kind: error.kind, reason: error.message});
		}

		isReachable = isReachableNow;
		host.onReachabilityChange();
	}

	/** Takes over what other entries know of the era before, which the copy of the store may not have; a read of both streams does it once. */
	async function catchUpOnce(): Promise<void> {
		catchUpInProgress ??= host.catchUp().finally(() => {
			catchUpInProgress = undefined;
		});
		return catchUpInProgress;
	}

	/** Reads the records after a position; undefined if they are gone, or belong to a later era than the position. */
	async function readAfter<StoreRecord>(stream: StoreStream<StoreRecord>, position: positions.Position, options: ReadOptions): Promise<ReadResult<StoreRecord> | undefined> {
		const requestedIn = platformState.getEra();
		if (position.offset < 0 || position.era !== (requestedIn ?? positions.initialPosition.era)) {
			return undefined;
		}

		const result = await stream.read(position.offset, options);
		recordReachability(result.isErr() ? result.error : undefined);
		if (result.isErr()) {
			if (result.error.kind !== 'expired') {
				return neverthrow.err(result.error);
			}

			logger.warn('store-history-lost', {position: position.offset, reason: result.error.message});
			return undefined;
		}

		const judgement = eraJudge.judge(result.value.era, requestedIn);
		switch (judgement.kind) {
			case 'current': {
				return judgement.era === position.era ? neverthrow.ok({kind: 'records', page: result.value, era: judgement.era}) : undefined;
			}

			case 'risen': {
				return undefined;
			}

			case 'outdated': {
				return neverthrow.ok({kind: 'discarded'});
			}
		}
	}

	/** Reads from a position, or the newest record of each key if the store no longer has the records after the position. */
	async function read<StoreRecord>(stream: StoreStream<StoreRecord>, position: positions.Position, options: ReadOptions): Promise<ReadResult<StoreRecord>> {
		const recordsRead = await readAfter(stream, position, options);
		if (recordsRead) {
			return recordsRead;
		}

		const requestedIn = platformState.getEra();
		const result = await stream.readNewest(options.timeoutMilliseconds);
		recordReachability(result.isErr() ? result.error : undefined);
		if (result.isErr()) {
			return neverthrow.err(result.error);
		}

		const judgement = eraJudge.judge(result.value.era, requestedIn);
		if (judgement.kind === 'outdated') {
			return neverthrow.ok({kind: 'discarded'});
		}

		const era = position.era === judgement.era && result.value.position < position.offset ? eraJudge.recordUnstatedRise() : judgement.era;
		if (position.offset >= 0 && position.era < era) {
			await catchUpOnce();
		}

		return neverthrow.ok({kind: 'newest', page: result.value, era});
	}

	async function readConfiguration(waitMilliseconds: number): Promise<boolean> {
		// What another entry has passed on contains the configurations up to the version of its evacuations, which is a position in the same log.
		const {era: sharedEra, version} = platformState.evacuations.getSet();
		const sharedPosition = {era: sharedEra, offset: version};
		const from = positions.isLater(sharedPosition, configurationPosition) ? sharedPosition : configurationPosition;
		const result = await read(store.configuration, from, {waitMilliseconds, timeoutMilliseconds: waitMilliseconds + timeoutMilliseconds});
		if (result.isErr()) {
			return false;
		}

		if (result.value.kind === 'discarded') {
			return true;
		}

		const {kind, era, page: {position, records, endPosition}} = result.value;
		const isComplete = kind === 'newest';
		configurationPosition = {era, offset: position};
		for (const record of records) {
			applyConfigurationRecord(record, era);
		}

		applyEvacuations(records.filter(record => record.kind === 'evacuated' || record.kind === 'restored'), isComplete);

		if (isComplete || position >= endPosition) {
			platformState.confirmUpTo('configuration', host.getNow());
		}

		return true;
	}

	function applyConfigurationRecord(record: OperatorRecord, era: number): void {
		switch (record.kind) {
			case 'published': {
				platformState.applyConfiguration(record.configuration, era, storeOrigin);
				break;
			}

			case 'unusable': {
				logger.warn('configuration-unusable', {reason: record.reason, position: configurationPosition.offset});
				break;
			}

			case 'unusable-evacuation': {
				logger.warn('evacuation-unusable', {failureDomain: record.failureDomain, reason: record.reason, position: configurationPosition.offset});
				break;
			}

			case 'evacuated':
			case 'restored': {
				break;
			}
		}
	}

	function applyEvacuations(records: readonly evacuations.EvacuationRecord[], isComplete: boolean): void {
		const isChanged = isComplete
			? platformState.evacuations.applySnapshot(records, configurationPosition)
			: platformState.evacuations.applyRecords(records, configurationPosition);
		if (isChanged) {
			platformState.handleEvacuationChange(storeOrigin);
		}
	}

	/** Reads the registry, or joins the read in progress, since the result of an earlier read must not be applied after that of a later one. */
	async function readRegistry(): Promise<boolean> {
		registryRead ??= startRegistryRead().finally(() => {
			registryRead = undefined;
		});
		return registryRead;
	}

	async function startRegistryRead(): Promise<boolean> {
		const {registry} = platformState;
		const requestedAt = host.getNow();
		const from = registry.getPosition();
		const result = await read(store.registry, from, {waitMilliseconds: 0, timeoutMilliseconds});
		if (result.isErr()) {
			return false;
		}

		await recognizeOutage();
		if (result.value.kind === 'discarded') {
			return true;
		}

		const {kind, era, page: {position, records, endPosition}} = result.value;
		const isComplete = kind === 'newest';
		for (const record of records) {
			if (record.kind === 'unusable') {
				logger.warn('registration-unusable', {upstream: record.id, reason: record.reason, position});
			}
		}

		const removalsDueAt = platformState.getRecoveryEnd(host.getNow());
		const events = isComplete
			? registry.applySnapshot({era, from: position, to: endPosition}, records, removalsDueAt)
			: registry.applyRecords({era, from: from.offset, to: position}, records, removalsDueAt);
		const lapses = events.filter(({kind}) => kind === 'lapsed');
		if (removalsDueAt !== undefined && lapses.length > 0) {
			logger.warn('registrations-lapsed', {upstreams: lapses.length, dueInMilliseconds: Math.round(removalsDueAt - host.getNow())});
		}

		platformState.handleRegistryEvents(events, storeOrigin);
		const isCurrent = isComplete || position >= endPosition;
		if (isCurrent && !positions.isLater({era, offset: position}, registry.getPosition())) {
			platformState.confirmUpTo('registry', requestedAt);
		}

		return true;
	}

	/** Recognizes the end of an outage of the store. While only the link of this entry is cut, others read on; only an outage lets registrations lapse. */
	async function recognizeOutage(): Promise<void> {
		if (!platformState.mayFollowOutage(host.getNow())) {
			return;
		}

		await catchUpOnce();
		if (platformState.mayFollowOutage(host.getNow())) {
			platformState.recordRecovery(platformStates.recoveryMilliseconds);
		}
	}

	async function readRepeatedly(read: () => Promise<boolean>, pauseMilliseconds: number, shouldContinue: () => boolean): Promise<void> {
		while (shouldContinue() && await read()) {
			if (pauseMilliseconds > 0) {
				await timers.setTimeout(pauseMilliseconds);
			}
		}
	}

	async function readOnce(): Promise<boolean> {
		if (host.getNow() < nextReadAt) {
			return false;
		}

		const results = await Promise.all([readConfiguration(0), readRegistry()]);
		return !results.includes(false);
	}

	return {
		canRead: () => isReachable !== false,
		async retry() {
			if (isReachable === false && host.getNow() >= nextReadAt) {
				await readRegistry();
			}
		},
		readOnce,
		async readWhile(shouldContinue) {
			if (host.getNow() < nextReadAt) {
				return;
			}

			let hasFailed = false;
			// A read that waits confirms nothing until its end, so that followers would take this entry for stale meanwhile.
			let nextWaitMilliseconds = 0;
			const canContinue = () => !hasFailed && shouldContinue();
			const markFailed = () => {
				hasFailed = true;
			};

			await Promise.all([
				readRepeatedly(async () => {
					const waitMilliseconds = nextWaitMilliseconds;
					nextWaitMilliseconds = configurationWaitMilliseconds;
					return readConfiguration(waitMilliseconds);
				}, 0, canContinue).finally(markFailed),
				readRepeatedly(readRegistry, registryIntervalMilliseconds, canContinue).finally(markFailed),
			]);
		},
	};
}
