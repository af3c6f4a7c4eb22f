/** Creates the parts of a gateway, connects them, and starts and stops them in order. */
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as shutdownAdmission from '../decisions/admission/shutdown-admission.ts';
import * as smallChunks from '../decisions/admission/small-chunks.ts';
import * as stopTimes from '../decisions/admission/stop-times.ts';
import * as trafficMemory from '../decisions/admission/traffic-memory.ts';
import * as workBounds from '../decisions/admission/work-bounds.ts';
import {createCheckBudget} from '../decisions/measurement/check-budget.ts';
import {createRandomSource} from '../decisions/random.ts';
import {createFleetRetryBudget} from '../decisions/retries/fleet-retry-budget.ts';
import {createWorkEstimator} from '../decisions/routing/work-estimator.ts';
import * as demandMeter from '../decisions/sharing/demand-meter.ts';
import * as entrySelection from '../decisions/sharing/entry-selection.ts';
import {staleMilliseconds} from '../decisions/sharing/source-selector.ts';
import {type Member} from '../decisions/sharing/types.ts';
import {splitAddress} from '../entry/address.ts';
import * as bodyCollector from '../entry/body-collector.ts';
import {createLifeCycle} from '../entry/life-cycle.ts';
import {type GatewayMetrics} from '../observability/gateway-metrics.ts';
import {type Logger} from '../observability/logger.ts';
import * as peerAllowances from '../peers/allowances.ts';
import * as peerPermits from '../peers/permits.ts';
import {createPeerServer} from '../peers/peer-server.ts';
import {createSharingClient, createSharingRoutes} from '../peers/sharing.ts';
import * as allowancesModule from './allowances.ts';
import * as callLog from './call-log.ts';
import {startCall} from './call-runner.ts';
import {createDirectory, type Directory} from './directory.ts';
import * as fleetSize from './fleet-size.ts';
import {createFrontServer} from './front-server.ts';
import type * as loadCheck from './load-check.ts';
import * as lastReading from './last-reading.ts';
import * as latenessWatch from './lateness-watch.ts';
import * as guardedRequests from './guarded-requests.ts';
import * as messageLimits from './message-limits.ts';
import * as openPorts from './open-port.ts';
import * as permitsModule from './permits.ts';
import * as portLimits from './port-limits.ts';
import * as reachabilityMonitor from './reachability-monitor.ts';
import * as relaysModule from './relays.ts';
import * as runningCallsModule from './running-calls.ts';
import {createPlatformState} from './platform-state.ts';
import {createSelector} from './selection.ts';
import {type GatewaySettings} from './settings.ts';
import {createSharingLoop} from './sharing-loop.ts';
import {createStoreReader} from './store-reader.ts';
import {type GatewayRequest, type HeaderHost, type StoreHost} from './types.ts';
import * as statementRecorder from './statement-recorder.ts';
import {createUpstreams} from './upstreams.ts';

/** Functions of the platform that a gateway uses. */
export type PlatformHost = {
	readonly store: StoreHost;
	readonly headers: HeaderHost;
	createDirectoryServer(directory: Directory): http.Server;
	createReadinessServer(directory: Directory): http.Server;
	close(): Promise<void>;
};

/** Dependencies of a gateway. */
export type GatewayHost = {
	readonly platform: PlatformHost;
	readonly logger: Logger;
	readonly metrics: GatewayMetrics;
	/** Port on which the metrics are served; 0 selects a free one. */
	readonly metricsPort: number;
	/** Local address of the connections to upstreams; the system chooses one if it is undefined. */
	readonly localAddress?: string | undefined;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	/** Milliseconds since the epoch. */
	getWallTime(): number;
};

/** A running gateway. */
export type Gateway = {
	/** Applies the seeds of new settings; all other settings stay as they were at the start. */
	reload(settings: GatewaySettings): void;
	/** Announces the stop, finishes the requests in flight, and stops; the signal to stop may have arrived some time ago, 0 by default. */
	leave(lateMilliseconds?: number): Promise<void>;
	/** Stops without notice: accepts no new connections from now on, finishes the requests in flight, and stops. */
	leaveAtOnce(): Promise<void>;
};

/** Time from the signal to stop until the gateway accepts no new connections, in milliseconds: the longest time for which callers keep an address. */
const noticeMilliseconds = 3200;
const drainCheckIntervalMilliseconds = 20;
const maintenanceIntervalMilliseconds = 1000;
const peerGraceMilliseconds = 30;
/** Time after which a stop no longer waits for connections to other entries and the store, in milliseconds. */
const longestCloseMilliseconds = 50;
/** Time for which a computed share of a budget is used, in milliseconds; the demand that it depends on changes less often. */
const shareLifetimeMilliseconds = 200;
/** Share of the memory of the instance for what callers and upstreams send; the rest is for the program, its state and garbage. */
const trafficMemoryShare = 0.2;
const bytesPerMegabyte = 1_000_000;
/** Descriptors that are kept for files and for the runtime. */
const reservedDescriptors = 200;
const minimumSockets = 64;
const maximumRandomSeed = 2 ** 31;
const defaultHealthPath = '/healthz';
/** Connection limit of an upstream whose service has no configured limit: the lowest limit among the users' services. */
const defaultMaximumConnections = 100;
/** Age of the platform state above which an unknown route may exist, in milliseconds; configurations must take effect within 2 s. */
const staleRouteMilliseconds = 2000;

/** Starts a gateway; resolves when its ports are open, which is before it has received a configuration. */
export async function createGateway(settings: GatewaySettings, host: GatewayHost): Promise<Gateway> {
	const {logger, metrics, platform, getNow} = host;
	let {seeds} = settings;
	const incarnation = crypto.randomBytes(8).toString('hex');
	const startedAt = host.getWallTime();
	const random = createRandomSource(crypto.randomInt(maximumRandomSeed));
	const demand = demandMeter.createDemandMeter(getNow());
	const lifeCycle = createLifeCycle(state => {
		logger.info('gateway-state', {state});
	});
	const getSelf = (): Member => ({
		name: settings.name,
		incarnation,
		startedAt,
		failureDomain: settings.failureDomain,
		region: settings.region,
		callerAddress: settings.listen.callers,
		peerAddress: settings.listen.peers,
		isReady: lifeCycle.getState() === 'serving',
		canRead: reader.canRead(),
		isCutOff: reachability.isCutOff(),
		linkMegabits: settings.linkMegabits,
		cores: settings.cores,
		requestsPerSecond: demand.getReportedRate(getNow()),
	});
	const recorder = statementRecorder.createStatementRecorder({
		logger,
		getNow,
		getColdRate: service => platformState.getActiveConfiguration()?.routes.getService(service)?.coldRequestsPerSecond,
		onChange() {
			upstreams.refresh();
		},
	});
	const upstreams = createUpstreams({
		getMaximumConnections: service => platformState.getActiveConfiguration()?.routes.getService(service)?.maximumConnections ?? defaultMaximumConnections,
		countEntries: () => sharing.members.count(),
		getAccess: recorder.statements.getAccess,
		isEvacuated: failureDomain => platformState.evacuations.isEvacuated(failureDomain),
		getNow,
		localAddress: host.localAddress,
	}, settings.failureDomain);
	const checks: loadCheck.LoadCheckHost = {
		headers: platform.headers,
		getNow,
		getHealthPath: service => platformState.getActiveConfiguration()?.routes.getService(service)?.healthPath ?? defaultHealthPath,
		recordCheck(upstream, result, milliseconds) {
			metrics.recordCheck(result, milliseconds);
			reachability.recordCheck(upstream, result);
		},
		recordStatements: recorder.recordResponse,
	};
	const reachability = reachabilityMonitor.createReachabilityMonitor({
		logger,
		random,
		checks,
		upstreams,
		getNow,
		onChange() {
			sharing.announce();
		},
	});
	const platformState = createPlatformState({
		logger,
		getNow,
		onConfiguration(configuration) {
			frontServer.setLimits(configuration.limits);
			updateReadiness();
		},
		onEvacuations() {
			upstreams.refresh();
		},
		onUpstreams(events) {
			for (const {kind, registration} of events) {
				if (kind === 'joined' || kind === 'restarted' || kind === 'changed') {
					recorder.recordRegistration(registration);
				}
			}

			const registrations = platformState.registry.list();
			const ids = new Set(registrations.map(({id}) => id));
			upstreams.update(registrations);
			recorder.retain(id => ids.has(id));
			permits.retain(id => ids.has(id));
			updateReadiness();
		},
	});
	const reader = createStoreReader({
		store: platform.store,
		platformState,
		logger,
		getNow,
		onReachabilityChange() {
			sharing.announce();
		},
		catchUp: async () => sharing.catchUp(),
	});
	const sharing = createSharingLoop({
		logger,
		platformState,
		reader,
		statements: recorder,
		client: createSharingClient(),
		getSelf,
		getSeeds: () => seeds,
		isFirstStart: settings.isFirstStart,
		random,
		getNow,
		recordLateness(milliseconds) {
			lateness.record(milliseconds);
		},
	});
	const lateness = latenessWatch.createLatenessWatch({logger, countOpen: () => frontServer.countOpen()});
	const size = fleetSize.createFleetSize({
		countMembers: () => sharing.members.count(),
		hasOtherSeeds: () => seeds.some(seed => seed !== settings.listen.peers),
		getNow,
	});
	const permits = permitsModule.createPermits({
		client: peerPermits.createPermitClient(),
		recorder,
		random,
		name: settings.name,
		listByPermit: upstreams.listByPermit,
		listMembers: sharing.members.list,
		getVisibleShare: size.getVisibleShare,
		getNow,
		recordPermit: metrics.recordPermit,
	});
	const allowances = allowancesModule.createAllowances({
		client: peerAllowances.createAllowanceClient(),
		logger,
		random,
		name: settings.name,
		failureDomain: settings.failureDomain,
		listWorkspaces: () => platformState.getActiveConfiguration()?.configuration.workspaces ?? [],
		listMembers: sharing.members.list,
		getVisibleShare: size.getVisibleShare,
		getNow,
		recordAdmissions: metrics.recordAdmissions,
	});
	let checkShare = {value: 0, expiresAt: Number.NEGATIVE_INFINITY};
	/** Gets the part of the fleet's load checks that this entry may make. */
	function getCheckShare(now: number): number {
		if (now >= checkShare.expiresAt) {
			checkShare = {value: size.getVisibleShare() * entrySelection.getBudgetShare(settings.name, sharing.members.list()), expiresAt: now + shareLifetimeMilliseconds};
		}

		return checkShare.value;
	}

	const checkBudget = createCheckBudget(settings.checksPerSecondPerUpstream);
	const servicesWithoutLoad = new Set<string>();
	const relays = relaysModule.createRelays({
		name: settings.name,
		failureDomain: settings.failureDomain,
		random,
		isCutOff: reachability.isCutOff,
		listMembers: sharing.members.list,
		getNow,
	});
	const selector = createSelector({
		...checks,
		upstreams,
		permits,
		relays,
		random,
		getHoldEnd: () => stop?.refusesAt ?? Number.POSITIVE_INFINITY,
		tryChargeCheck: ({registration: {id, service}}, purpose, now) => checkBudget.tryCharge({id, service, serviceUpstreamCount: upstreams.listUsable(service).length}, purpose, getCheckShare(now), now),
		recordLoadSupport(service, reportsLoad) {
			if (reportsLoad) {
				servicesWithoutLoad.delete(service);
			} else if (!servicesWithoutLoad.has(service)) {
				servicesWithoutLoad.add(service);
				logger.info('service-tells-no-load', {service});
			}
		},
		reportsLoad: service => !servicesWithoutLoad.has(service),
	});
	let stop: stopTimes.StopTimes | undefined;
	const getResetTime = () => stop?.resetsAt ?? Number.POSITIVE_INFINITY;
	function getShutdownPhase(): shutdownAdmission.ShutdownPhase {
		switch (lifeCycle.getState()) {
			case 'starting':
			case 'serving': {
				return {kind: 'running'};
			}

			case 'leaving': {
				return {kind: 'notice', stopsAt: getResetTime()};
			}

			case 'draining':
			case 'stopped': {
				return {kind: 'draining', stopsAt: getResetTime()};
			}
		}
	}

	const memory = trafficMemory.createTrafficMemory(trafficMemoryShare * settings.memoryMegabytes * bytesPerMegabyte);
	const ports = portLimits.createPortLimits({
		memory,
		maximumSockets: Math.max(minimumSockets, settings.descriptors - reservedDescriptors),
		getNow,
		onClosed(port) {
			logger.warn('connection-closed-for-room', {port, claimedBytes: memory.getUsed()});
			metrics.recordClosedConnection(port);
		},
	});
	const runningCalls = runningCallsModule.createRunningCalls({logger, getNow});
	const bounds = workBounds.createWorkBounds();
	const canFinish = ({deadlineAt, route, service}: Pick<GatewayRequest, 'deadlineAt' | 'route' | 'service'>) => {
		const now = getNow();
		return shutdownAdmission.shouldAcceptRequest(getShutdownPhase(), {kind: route.kind, deadlineAt, getSeen: () => bounds.getSeen(route.name, service, now)}, now);
	};

	const learner = createWorkEstimator();
	const requestGuard = {logger, recordFailedHandler: metrics.recordFailedHandler};
	const recordFailure = guardedRequests.createFailureRecorder(requestGuard, 'callers', 'id');
	const callRunnerHost = {
		recordFailure,
		selector,
		headers: platform.headers,
		memory,
		blocks: bodyCollector.createBlockPool(),
		recordStatements: recorder.recordResponse,
		learner,
		bounds,
		canFinish,
		budget: createFleetRetryBudget(settings.retries, getNow()),
		countEntries: size.count,
		observeAttempt: reachability.recordAttempt,
		getNow,
		beginCall: runningCalls.begin,
		onEnd: callLog.createCallRecorder({logger, metrics, getKnowledgeAge: () => getRoundedAge()}),
	};
	const frontServer = createFrontServer({
		headers: platform.headers,
		random,
		memory,
		ports,
		smallChunks: smallChunks.createSmallChunkWatch(),
		getActiveConfiguration: platformState.getActiveConfiguration,
		isStale: () => platformState.getAge(getNow()) > staleRouteMilliseconds,
		isLeaving: () => lifeCycle.getState() === 'leaving' || lifeCycle.getState() === 'draining',
		canFinish,
		getExpectedMilliseconds: ({route}) => learner.getRouteMilliseconds(route.name),
		getNow,
		admit: (workspace, listener) => allowances.admit(workspace, admission => {
			if (admission !== 'admitted') {
				metrics.recordWorkspaceRequest(workspace.name, admission);
			}

			listener(admission);
		}),
		getAllowanceRetryMilliseconds: allowances.getRetryMilliseconds,
		startCall(request, target) {
			demand.countRequest(getNow());
			return startCall(callRunnerHost, request, target);
		},
		recordRefusal(reason, id, statusCode) {
			logger.warn('request-refused', {
				id, status: statusCode, reason, configuration: platformState.getActiveConfiguration()?.configuration.version, knowledgeAge: getRoundedAge(),
			});
			metrics.recordRequest('none', 'refused', reason, 0, 0);
		},
		recordFailure,
		recordRequestAhead: metrics.recordRequestAhead,
		recordCut(cut) {
			logger.warn('connection-cut', {...cut});
			metrics.recordCut(cut.reason, cut.passedOn);
		},
	});

	function updateReadiness(): void {
		if (platformState.getActiveConfiguration() && platformState.registry.list().length > 0 && lifeCycle.send('table-known')) {
			sharing.announce();
		}
	}

	const getRoundedAge = () => Math.round(Math.min(platformState.getAge(getNow()), Number.MAX_SAFE_INTEGER));

	const directory = createDirectory({
		listMembers: sharing.members.list,
		isReady: () => lifeCycle.getState() === 'serving',
	}, settings.longestAddressLifetimeSeconds);
	const directoryServer = platform.createDirectoryServer(directory);
	const readinessServer = platform.createReadinessServer(directory);
	guardedRequests.guardRequests(requestGuard, 'directory', directoryServer);
	guardedRequests.guardRequests(requestGuard, 'readiness', readinessServer);
	const metricsServer = http.createServer(guardedRequests.createGuardedListener(requestGuard, 'metrics', async (request, response) => {
		request.resume();
		await writeMetrics(response);
	}));

	ports.limitBodylessPort(directoryServer, 'directory');
	ports.limitBodylessPort(readinessServer, 'readiness');
	ports.limitBodylessPort(metricsServer, 'metrics');

	async function writeMetrics(response: http.ServerResponse): Promise<void> {
		const text = await metrics.getText({
			configurationVersion: platformState.getActiveConfiguration()?.configuration.version ?? -1,
			knowledgeAgeMilliseconds: getRoundedAge(),
			members: sharing.members.count(),
			openRequests: frontServer.countOpen(),
			runningCalls: runningCalls.count(),
			waitingForAdmission: allowances.countWaiting(),
			connections: ports.countConnections(),
			deferredConnections: frontServer.countDeferred(),
			isCutOff: reachability.isCutOff(),
			claimedBytes: memory.getUsed(),
			largestLatenessMilliseconds: lateness.takeLargest(),
			coldUpstreams: upstreams.countCold(),
			evacuatedFailureDomains: platformState.evacuations.getSet().failureDomains.length,
		});
		response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'}).end(text);
	}

	const peers = splitAddress(settings.listen.peers);
	const peerServer = await openPorts.openPort(host, 'peers', async () => {
		const result = await createPeerServer({
			...peers, routes: [createSharingRoutes({handleFollow: sharing.respond}), peerPermits.createPermitRoutes({handleRequest: permits.handleRequest}), peerAllowances.createAllowanceRoutes(allowances)], ...messageLimits.createMessageLimits(memory, getNow), recordFailure: guardedRequests.createFailureRecorder(requestGuard, 'peers', 'method'),
		});
		if (result.isErr()) {
			throw result.error.cause;
		}

		ports.limitPort(result.value.server, 'peers');
		return result.value;
	});
	openPorts.listen(host, 'metrics', metricsServer, {host: peers.host, port: host.metricsPort}).catch((error: unknown) => {
		logger.error('metrics-unavailable', {reason: String(error)});
	});
	await Promise.all([
		openPorts.listen(host, 'directory', directoryServer, splitAddress(settings.listen.directory)),
		openPorts.listen(host, 'readiness', readinessServer, splitAddress(settings.listen.readiness)),
	]);
	// The last one, so that nothing is accepted before the gateway can be stopped in order.
	await openPorts.listen(host, 'callers', frontServer.server, splitAddress(settings.listen.callers));
	sharing.start();
	const maintenanceTimer = setInterval(() => {
		upstreams.closeIdle();
		relays.closeIdle();
		allowances.maintain();
		size.count();
		runningCalls.logOverdue();
	}, maintenanceIntervalMilliseconds);
	logger.info('gateway-started', {
		incarnation, address: settings.listen.callers, failureDomain: settings.failureDomain, startMilliseconds: Math.round(getNow()), staleMilliseconds,
	});

	async function leave(longestNoticeMilliseconds: number, signalLateMilliseconds: number): Promise<void> {
		if (!lifeCycle.send('leave')) {
			return;
		}

		const handledAt = getNow();
		// Callers hear of the stop from now on, so the notice is as long as it would be.
		const times = stopTimes.getStopTimes(handledAt - signalLateMilliseconds, settings.graceMilliseconds, signalLateMilliseconds + longestNoticeMilliseconds);
		stop = times;
		const waitUntil = async (time: number) => timers.setTimeout(Math.max(0, time - getNow()));

		logger.info('gateway-leaving', {openRequests: frontServer.countOpen(), lateMilliseconds: Math.round(lateness.getLargest())});
		sharing.announce();
		const reportTimer = setTimeout(runningCalls.logOutlasting, times.reportsAt - handledAt, handledAt);
		const refusalTimer = setInterval(frontServer.refuseUnstarted, drainCheckIntervalMilliseconds);
		if (lifeCycle.getState() === 'leaving') {
			await waitUntil(times.noticeEndsAt);
			lifeCycle.send('notice-over');
		}

		await frontServer.stop();
		while ((frontServer.countOpen() > 0 || frontServer.countClosing() > 0) && getNow() < times.resetsAt) {
			await waitUntil(Math.min(times.resetsAt, getNow() + drainCheckIntervalMilliseconds));
		}

		const lateMilliseconds = Math.round(Math.max(0, getNow() - times.resetsAt));
		await lastReading.readArrived({
			countOpen: frontServer.countOpen, countWritten: frontServer.countWritten, countReceivedBytes: runningCalls.countReceivedBytes, getNow,
		}, times.closesAt);
		logger.info('gateway-stopped', {cutOff: frontServer.countOpen(), milliseconds: Math.round(getNow() - handledAt), lateMilliseconds});
		clearInterval(refusalTimer);
		clearTimeout(reportTimer);
		frontServer.reset();
		lifeCycle.send('calls-ended');
		clearInterval(maintenanceTimer);
		sharing.stop();
		selector.close();
		reachability.close();
		upstreams.close();
		relays.close();
		permits.close();
		allowances.close();
		recorder.close();
		ports.close();
		directoryServer.close();
		readinessServer.close();
		metricsServer.close();
		const closed = Promise.all([peerServer.close(peerGraceMilliseconds), platform.close()]);
		await Promise.race([closed, waitUntil(Math.min(times.closesAt, getNow() + longestCloseMilliseconds))]);
	}

	return {
		reload(next) {
			seeds = next.seeds;
			logger.info('settings-reloaded', {seeds: seeds.length});
		},
		leave: async (lateMilliseconds = 0) => leave(noticeMilliseconds, lateMilliseconds),
		leaveAtOnce: async () => leave(0, 0),
	};
}
