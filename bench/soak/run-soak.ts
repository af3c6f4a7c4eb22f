/** Runs a platform, its gateways and callers under the faults of a seed, and returns the verdict. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import {assertNever} from '../../src/decisions/assert-never.ts';
import type * as faultProxy from '../../stand-ins/fault-proxy.ts';
import type * as storeStandIn from '../../stand-ins/store.ts';
import {type Callers, startCallers} from './callers.ts';
import {type SoakGateway, startGateways} from './gateways.ts';
import type * as judgePartitions from './judge-partitions.ts';
import {judgeSoak, type SoakVerdict} from './judge.ts';
import * as judgeHeld from './judge-held.ts';
import * as judgeAnswers from './judge-answers.ts';
import * as leavingCallers from './leaving-callers.ts';
import * as confirmingCallers from './confirming-callers.ts';
import * as stayingCallers from './staying-callers.ts';
import {createSoakPlan, type FaultKind, type PlannedFault} from './fault-plan.ts';
import {
	failureDomains, type SoakPlatform, startSoakPlatform, type TimeSpan,
} from './soak-platform.ts';
import * as upstreamFaults from './upstream-faults.ts';

export type SoakOptions = {
	readonly seed: number;
	/** Time in which faults start. */
	readonly seconds: number;
	/** Number of gateways. */
	readonly gateways: number;
	/** Number of upstreams of each service. */
	readonly upstreamsPerService: number;
	/** Number of concurrent callers. */
	readonly callers: number;
	/** Whether guarantees with a time bound are checked; a busy machine alone can violate them. */
	readonly hasTimeBounds: boolean;
	/** Prints one line of progress. */
	readonly print: (line: string) => void;
};

type StoreFaultKind = Extract<FaultKind, `store-${string}`>;
type GatewayFaultKind = Extract<FaultKind, `gateway-${string}` | `gateways-${string}`>;

type SoakDeployment = {readonly platform: SoakPlatform; readonly gateways: readonly SoakGateway[]; readonly storeFaults: TimeSpan[]; readonly partitions: judgePartitions.SoakPartition[]};

const restartMilliseconds = 300;
/** Time for which gateways are partitioned in addition to the time of the fault, in milliseconds. */
const partitionMilliseconds = 4000;
/** Ages of the copies from which a store returns, in milliseconds. */
const lostMilliseconds = [500, 2000, 4000];
/** Time between two heartbeats of an upstream, after which lost records are written again, in milliseconds. */
const heartbeatMilliseconds = 1500;
/** Longest time between SIGHUP and SIGTERM, in milliseconds. */
const maximumSeriesMilliseconds = 400;
const slowStoreMilliseconds = 250;
/** Time within which requests must succeed again, in milliseconds, from the rules. */
const recoveryMilliseconds = 15_000;
/** Share of recent requests that must succeed. */
const minimumRecoveredShare = 0.25;
const recoveryCheckMilliseconds = 1000;
/** Time for which callers still use a withdrawn route, in milliseconds. */
const withdrawnRouteMilliseconds = 5000;

/** Runs a soak and returns its verdict. The logs of the gateways stay in the folder that is printed first. */
export async function runSoak(options: SoakOptions): Promise<SoakVerdict> {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), `fescuering-soak-${options.seed}-`));
	options.print(`logs ${folder}`);
	const platform = await startSoakPlatform(options.upstreamsPerService);
	const gateways = await startGateways({
		count: options.gateways, failureDomains, storeAddress: platform.store.address, folder,
	});
	const deployment: SoakDeployment = {
		platform, gateways, storeFaults: [], partitions: [],
	};
	try {
		const callersOptions = {
			seed: options.seed,
			listRoutes: () => platform.routes.filter(({withdrawnAt}) => withdrawnAt === undefined || performance.now() < withdrawnAt + withdrawnRouteMilliseconds),
		};
		const callers = startCallers({...callersOptions, count: options.callers, directoryAddresses: gateways.map(({directoryAddress: directory}) => directory)});
		const aheadOptions = {...callersOptions, count: Math.ceil(options.callers / 4), addresses: gateways.map(({callerAddress}) => callerAddress)};
		const leaving = leavingCallers.startLeavingCallers(aheadOptions);
		const staying = stayingCallers.startStayingCallers(aheadOptions);
		const confirming = confirmingCallers.startConfirmingCallers({...aheadOptions, count: 3 * options.callers, listRoutes: () => [platform.longRoute]});
		const isServingAtStart = await waitUntilServing(callers);
		options.print(isServingAtStart ? 'serving' : 'not serving at the start');
		await Promise.all(createSoakPlan(options.seed, options.seconds * 1000).map(async planned => runPlannedFault(planned, deployment, options.print)));
		const hasRecovered = await waitUntilServing(callers);
		const [requests, leavingRequests, ...observed] = await Promise.all([callers.stop(), leaving.stop(), staying.stop(), confirming.stop()]);
		const sentAhead = observed.flat();
		const heldViolations = await judgeHeld.judgeHeld(gateways);
		const verdict = judgeSoak({
			requests: [...requests, ...leavingRequests, ...sentAhead.flatMap(connection => stayingCallers.listObservedRequests(connection))], upstreams: platform.upstreams, gateways, storeFaults: deployment.storeFaults, partitions: deployment.partitions, hasRecovered: isServingAtStart && hasRecovered,
		}, options.hasTimeBounds);
		return {...verdict, violations: [...verdict.violations, ...judgeConnections({...deployment, upstreams: platform.upstreams, connections: [...sentAhead, ...requests.map(request => judgeAnswers.createConnection(request))]}, options.print), ...heldViolations]};
	} finally {
		await Promise.all(gateways.map(async gateway => gateway.stop()));
		await platform.close();
	}
}

/** Judges the answers to requests that were sent ahead, and verifies that the judge notices answers that are taken away. */
function judgeConnections(record: judgeAnswers.AnswersRecord, print: (line: string) => void): readonly string[] {
	const {removed, noticed} = judgeAnswers.countNoticedRemovals(record);
	print(`judged: ${record.connections.length} connections, ${record.connections.flatMap(({requests}) => requests).length} requests; noticed ${noticed} of ${removed} answers taken away`);
	return [...judgeAnswers.judgeAnswers(record), ...(noticed === 0 ? ['blind-judge no answer taken away was noticed'] : [])];
}

/** Waits until enough of the requests of one second succeed; resolves to false if that takes too long. */
async function waitUntilServing(callers: Callers): Promise<boolean> {
	const deadlineAt = performance.now() + recoveryMilliseconds;
	while (performance.now() < deadlineAt) {
		await timers.setTimeout(recoveryCheckMilliseconds);
		const recentRequests = callers.listEndedSince(performance.now() - recoveryCheckMilliseconds);
		const successfulCount = recentRequests.filter(({status}) => status === 200).length;
		if (recentRequests.length > 0 && successfulCount >= minimumRecoveredShare * recentRequests.length) {
			return true;
		}
	}

	return false;
}

async function runPlannedFault(planned: PlannedFault, deployment: SoakDeployment, print: (line: string) => void): Promise<void> {
	await timers.setTimeout(planned.startsAt);
	print(`${planned.startsAt}-${planned.endsAt} ms ${planned.kind} ${planned.target}`);
	const faultMilliseconds = planned.endsAt - planned.startsAt;
	const endFault = await startFault(planned, deployment);
	await timers.setTimeout(faultMilliseconds);
	await endFault?.();
}

/** Starts a fault; resolves to a function that ends it, or to undefined if there is nothing to end. */
async function startFault({kind, target}: PlannedFault, deployment: SoakDeployment): Promise<(() => unknown) | undefined> {
	const {platform, gateways} = deployment;
	if (isUpstreamFault(kind)) {
		const upstream = upstreamFaults.chooseUpstream(platform, target);
		return upstream && upstreamFaults.startUpstreamFault(kind, upstream, platform);
	}

	if (isStoreFault(kind)) {
		return startStoreFault(kind, target, deployment);
	}

	if (kind === 'all-gateways-killed') {
		await Promise.all(gateways.map(async gateway => gateway.restart('kill', restartMilliseconds)));
		return undefined;
	}

	if (kind === 'configuration-changed') {
		platform.changeConfiguration();
		return undefined;
	}

	return startGatewayFault(kind, {target, gateway: gateways[target % gateways.length]!}, deployment);
}

const isUpstreamFault = (kind: FaultKind): kind is upstreamFaults.UpstreamFaultKind => kind.startsWith('upstream-');
const isStoreFault = (kind: FaultKind): kind is StoreFaultKind => kind.startsWith('store-');

async function startGatewayFault(kind: GatewayFaultKind, {target, gateway}: {readonly target: number; readonly gateway: SoakGateway}, deployment: SoakDeployment): Promise<(() => unknown) | undefined> {
	switch (kind) {
		case 'gateway-killed': {
			await gateway.restart('kill', restartMilliseconds);
			return undefined;
		}

		case 'gateway-left': {
			await gateway.restart('stop', restartMilliseconds);
			return undefined;
		}

		case 'gateway-restarted-and-left': {
			void gateway.restart('kill', restartMilliseconds);
			await gateway.restart([{name: 'SIGTERM', afterMilliseconds: 2 * target}], restartMilliseconds);
			return undefined;
		}

		case 'gateways-changed-and-left': {
			const first = target % deployment.gateways.length;
			const leaving = [...deployment.gateways.slice(first), ...deployment.gateways.slice(0, first)].slice(0, Math.ceil(deployment.gateways.length / 2));
			await Promise.all(leaving.map(async other => other.restart(
				[{name: 'SIGHUP', afterMilliseconds: 0}, {name: 'SIGTERM', afterMilliseconds: target % maximumSeriesMilliseconds}],
				restartMilliseconds,
				deployment.platform.changeConfiguration,
			)));
			return undefined;
		}

		case 'gateway-left-after-rereads': {
			await gateway.restart('stop-after-rereads', restartMilliseconds);
			return undefined;
		}

		case 'gateway-left-and-reread': {
			await gateway.restart('stop-and-reread', restartMilliseconds);
			return undefined;
		}

		case 'gateway-left-with-pauses': {
			await gateway.restart('stop-with-pauses', restartMilliseconds);
			return undefined;
		}

		case 'gateway-paused': {
			gateway.signal('SIGSTOP');
			return () => {
				gateway.signal('SIGCONT');
			};
		}

		case 'gateway-cut-from-store': {
			return startStoreConnectionFault(gateway, {silent: 'all'});
		}

		case 'gateway-reset': {
			return startStoreConnectionFault(gateway, {cut: true});
		}

		case 'gateway-partitioned': {
			return startPartition([gateway], target, deployment);
		}

		case 'gateway-domain-partitioned': {
			return startPartition(deployment.gateways.filter(({failureDomain}) => failureDomain === gateway.failureDomain), target, deployment);
		}

		case 'gateway-reread': {
			gateway.signal('SIGHUP');
			return undefined;
		}

		default: {
			return assertNever(kind);
		}
	}
}

/** Cuts gateways off from all upstreams for some seconds more than the time of the fault; callers must be served after 3 s. */
async function startPartition(gateways: readonly SoakGateway[], target: number, {platform, partitions}: SoakDeployment): Promise<() => void> {
	const span: TimeSpan = {from: performance.now(), to: Number.POSITIVE_INFINITY};
	const endPartition = platform.partition(gateways.map(({host}) => host), target % 2 === 0 ? 'silent' : 'reset');
	partitions.push({gateways, span});
	for (const gateway of gateways) {
		gateway.recordPartition();
	}

	await timers.setTimeout(partitionMilliseconds);
	return () => {
		endPartition();
		span.to = performance.now();
		for (const gateway of gateways) {
			gateway.recordPartition();
		}
	};
}

function startStoreConnectionFault(gateway: SoakGateway, faults: Partial<faultProxy.FaultProxyFaults>): () => void {
	gateway.setStoreConnectionFaults(faults);
	return () => {
		gateway.setStoreConnectionFaults({});
	};
}

async function startStoreFault(kind: StoreFaultKind, target: number, {platform, storeFaults}: SoakDeployment): Promise<(() => void) | undefined> {
	switch (kind) {
		case 'store-refuses': {
			return setStoreFault(platform, storeFaults, {kind: 'refuse', statusCode: 503});
		}

		case 'store-resets': {
			return setStoreFault(platform, storeFaults, {kind: 'reset'});
		}

		case 'store-silent': {
			return setStoreFault(platform, storeFaults, {kind: 'silent'});
		}

		case 'store-slow': {
			return setStoreFault(platform, storeFaults, {kind: 'slow', milliseconds: slowStoreMilliseconds});
		}

		case 'store-returns-older': {
			const span: TimeSpan = {from: performance.now(), to: Number.POSITIVE_INFINITY};
			storeFaults.push(span);
			await platform.store.returnFromCopy({
				awayMilliseconds: target, lostMilliseconds: lostMilliseconds[target % lostMilliseconds.length]!, rewriteMilliseconds: heartbeatMilliseconds,
			});
			span.to = performance.now();
			return undefined;
		}

		case 'store-forgets': {
			platform.store.expireHistory('keyed.servers');
			platform.store.expireHistory('keyed.op');
			return undefined;
		}

		default: {
			return assertNever(kind);
		}
	}
}

function setStoreFault({store}: SoakPlatform, storeFaults: TimeSpan[], fault: storeStandIn.StoreFault): () => void {
	const span: TimeSpan = {from: performance.now(), to: Number.POSITIVE_INFINITY};
	storeFaults.push(span);
	store.setFault(fault);
	return () => {
		store.setFault({kind: 'none'});
		span.to = performance.now();
	};
}

/** Formats a verdict as one line. */
export function formatSoakVerdict(seed: number, {violations, requests, served, statuses}: SoakVerdict): string {
	const counts = Object.entries(statuses).map(([status, count]) => `${status}=${count}`).join(' ');
	return `${violations.length === 0 ? 'PASS' : 'FAIL'} seed=${seed} requests=${requests} served=${served} ${counts}`;
}
