/** Real processes whose store returns from older copies, with upstreams that renew their registrations and callers that send requests. */
import * as timers from 'node:timers/promises';
import * as platformUpstream from '../../stand-ins/platform-upstream.ts';
import type * as storeStandIn from '../../stand-ins/store.ts';
import * as gatewayProcess from './gateway-process.ts';
import * as gateways from './gateways.ts';

type Process = gatewayProcess.GatewayProcess;

const heartbeatMilliseconds = 500;
/** With it, an entry for which a paused one's share of load checks is kept has enough of them. */
const requestIntervalMilliseconds = 40;
/** Age of the copies of later drills; the first copy is from just before the changes. */
const lostMilliseconds = 1500;
const awayMilliseconds = 400;
/** Time after the return until the operator writes. */
const replacementMilliseconds = 500;
/** Time without changes before the first copy. */
const quietMilliseconds = 500;
/** Path of a route that only the configurations since `changedVersion` have, and of one that they lack. */
const addedPath = '/fresh/';
const droppedPath = '/credit/';
const changedVersion = 5;

/** Callers that send requests to all running entries in turn. */
export type Callers = {
	/** Stops, and resolves to the number of requests and to the answers that were not expected, with their log lines. */
	stop(): Promise<{readonly count: number; readonly unexpected: string}>;
};

export type DrillFleet = {
	readonly store: storeStandIn.StoreStandIn;
	/** Entries that callers use; a test takes out those that it stops or pauses. */
	readonly running: Set<Process>;
	/** The entry that reads the store for the others, and its followers. */
	readonly reader: Process;
	readonly followers: readonly Process[];
	/** Starts an entry that follows the others. */
	startEntry(): Process;
	/** Goes away and returns from a copy without the changes, which nobody writes again except by heartbeats. */
	loseChanges(): Promise<void>;
	/** Goes away and returns from a copy without the changes. The operator then writes other content with the same version in place of the lost configuration, and the upstreams write again. */
	drill(): Promise<void>;
	/** Callers request a route that the copies lack, and one that only the copies have. While news are old, an entry can't say that there is no such route; `mayBeStale` allows that. */
	startCallers(mayBeStale?: boolean): Callers;
	/** Stops an entry by a signal, without its callers. */
	stop(entry: Process, signal: NodeJS.Signals): void;
	/** Lets a paused entry continue; callers use it again when it has fresh news. */
	resume(entry: Process): Promise<void>;
	/** Waits until removals that were held back are decided and new records have arrived at the running entries, and stops the callers. */
	finish(callers: Callers): Promise<Finding>;
};

/** What callers and the log lines of the running entries have shown. */
export type Finding = {
	/** Answers that were not expected, with their log lines, errors of entries that run, and unusable upstreams that received requests. */
	readonly unexpected: string;
	/** Versions of the configurations in the order in which each entry has put them in force. */
	readonly versions: ReadonlyArray<readonly number[]>;
	/** Eras before and after each rise that each entry has seen. */
	readonly rises: ReadonlyArray<readonly string[]>;
};

/** Minimum number of requests in a test. */
const minimumRequests = 75;
/** Time for which removals may be held back, with a margin. */
const settlingMilliseconds = 2500;
/** Age of the news above which an entry doesn't say that there is no route, with a margin. */
const freshSeconds = 1.5;

const listVersions = (entry: Process): readonly number[] => entry.listLogged('event=configuration-in-force ')
	.map(line => Number(/ version=(?<version>\d+) /v.exec(line)!.groups!.version));

const listRises = (entry: Process): readonly string[] => entry.listLogged('event=store-era-changed ')
	.map(line => / previousEra=(?<rise>\d+ era=\d+) /v.exec(line)!.groups!.rise!.replace(' era=', ' to '));

const has = (entry: Process, event: string, text: string) => entry.countLogged(event, text) > 0;

/**
Starts a store, upstreams and three entries, then publishes a configuration, removes an upstream and lets one drain, and
resolves when all entries know. `gatewayProcess.close` ends all.
*/
export async function startDrillFleet(): Promise<DrillFleet> {
	const {store, upstream} = await gatewayProcess.startStandIns();
	const beating = new Map([['i-1', {upstream, sequence: 1, state: 'ready'}]]);
	const unusable: platformUpstream.PlatformUpstream[] = [];

	function beat(id: string): void {
		const heart = beating.get(id)!;
		heart.sequence++;
		gateways.register(store, heart.upstream, {seq: heart.sequence, state: heart.state});
	}

	async function startUpstream(id: string): Promise<platformUpstream.PlatformUpstream> {
		const started = await platformUpstream.startPlatformUpstream(id);
		gatewayProcess.addCleanup(started.close);
		beating.set(id, {upstream: started, sequence: 0, state: 'ready'});
		beat(id);
		return started;
	}

	/** Publishes the next configuration and a new upstream, and waits until entries have both. */
	async function writeAnew(entries: readonly Process[]): Promise<void> {
		store.put('keyed.op', 'config', gateways.createConfiguration(changedVersion + 1, ['/price/', addedPath]));
		await startUpstream('i-4');
		await gateways.waitUntil(() => entries.every(entry => has(entry, 'configuration-in-force', ` version=${changedVersion + 1} `)
			&& has(entry, 'upstream-changed', 'change=joined upstream=i-4 ')));
	}

	const heartbeats = setInterval(() => {
		for (const id of beating.keys()) {
			beat(id);
		}
	}, heartbeatMilliseconds);
	gatewayProcess.addCleanup(async () => {
		clearInterval(heartbeats);
	});
	unusable.push(await startUpstream('i-2'), await startUpstream('i-3'));
	const reader = await gatewayProcess.startReady(store);
	const followers = await Promise.all([1, 2].map(async () => gatewayProcess.startReady(store, [reader.peers])));
	const running = new Set([reader, ...followers]);
	await timers.setTimeout(quietMilliseconds);
	const copiedAt = performance.now();
	let drillCount = 0;
	store.put('keyed.op', 'config', gateways.createConfiguration(changedVersion, ['/price/', addedPath]));
	beating.delete('i-2');
	store.put('keyed.servers', 'i-2', undefined);
	beating.get('i-3')!.state = 'draining';
	beat('i-3');
	await gateways.waitUntil(() => [...running].every(entry => has(entry, 'configuration-in-force', ` version=${changedVersion} `)
		&& has(entry, 'upstream-changed', 'change=removed upstream=i-2 ') && has(entry, 'upstream-changed', 'change=draining upstream=i-3 ')));
	const getLostMilliseconds = () => drillCount++ === 0 ? performance.now() - copiedAt : lostMilliseconds;
	return {
		store, running, reader, followers,
		startEntry: () => gatewayProcess.start({host: gatewayProcess.createHost(), storeAddress: store.address, seeds: [...running].map(({peers}) => peers)}),
		async loseChanges() {
			await store.returnFromCopy({
				awayMilliseconds, lostMilliseconds: getLostMilliseconds(), rewriteMilliseconds: 0, isRewritten: false,
			});
		},
		async drill() {
			const returned = store.returnFromCopy({awayMilliseconds, lostMilliseconds: getLostMilliseconds(), rewriteMilliseconds: 1000});
			await timers.setTimeout(awayMilliseconds + replacementMilliseconds);
			store.put('keyed.op', 'config', gateways.createConfiguration(changedVersion, ['/price/', addedPath, '/again/']));
			await returned;
		},
		startCallers(mayBeStale = false) {
			const receivedBefore = unusable.map(({receivedRequests}) => receivedRequests.length);
			const unexpected: Array<() => string | undefined> = [];
			const pending: Array<Promise<void>> = [];
			let count = 0;

			/** Describes an answer by its log line; undefined if it is allowed. */
			function describeAnswer(entry: Process, path: string, status: number, logged: string): string | undefined {
				const isStale = status === 503 && path.startsWith(droppedPath) && logged.includes(' reason=news-stale ');
				return mayBeStale && isStale ? undefined : `${path} ${status} ${entry.host} ${logged}`;
			}

			async function send(entry: Process, path: string, expectedStatus: number): Promise<void> {
				try {
					const {status, id} = await gateways.send(entry.front, path);
					if (status !== expectedStatus) {
						unexpected.push(() => describeAnswer(entry, path, status, entry.listLogged(id).join(' ')));
					}
				} catch (error) {
					if (!running.has(entry)) {
						return;
					}

					unexpected.push(() => `${path} ${entry.host} ${String(error)}`);
				}
			}

			const timer = setInterval(() => {
				const entry = [...running][count++ % running.size]!;
				pending.push(send(entry, `${addedPath}1`, 200), send(entry, `${droppedPath}1`, 404));
			}, requestIntervalMilliseconds);
			return {
				async stop() {
					clearInterval(timer);
					await Promise.all(pending);
					const received = unusable.flatMap(({id, receivedRequests: {length}}, index) => length === receivedBefore[index] ? [] : [`${id} received requests`]);
					return {count, unexpected: [...unexpected.flatMap(describe => describe() ?? []), ...received].join('\n')};
				},
			};
		},
		stop(entry, signal) {
			running.delete(entry);
			entry.signal(signal);
		},
		async resume(entry) {
			entry.signal('SIGCONT');
			await gateways.waitUntil(async () => await gatewayProcess.readMetric(entry, 'fescuering_gateway_knowledge_age_seconds') < freshSeconds);
			running.add(entry);
		},
		async finish(callers) {
			await timers.setTimeout(settlingMilliseconds);
			const entries = [...running];
			await writeAnew(entries);
			const {count, unexpected} = await callers.stop();
			if (count < minimumRequests) {
				throw new Error(`Only ${count} requests were sent.`);
			}

			return {unexpected, versions: entries.map(entry => listVersions(entry)), rises: entries.map(entry => listRises(entry))};
		},
	};
}
