/** Assembles an entry from its servers, table, membership and services, and starts and stops them in order. */
import * as timers from 'node:timers/promises';
import * as crypto from 'node:crypto';
import * as neverthrow from 'neverthrow';
import * as shutdownAdmission from '../decisions/admission/shutdown-admission.ts';
import * as workBounds from '../decisions/admission/work-bounds.ts';
import {type Diagnostic} from '../decisions/diagnostics.ts';
import {createRandomSource} from '../decisions/random.ts';
import {dayMilliseconds} from '../decisions/review/records.ts';
import {createTableView, type TableView} from '../decisions/table/service-view.ts';
import {type Logger} from '../observability/logger.ts';
import {type Metrics} from '../observability/metrics.ts';
import {type Tracing} from '../observability/tracing.ts';
import {createMembershipClient} from '../peers/membership-client.ts';
import {type InstanceListHost, type LogHost} from '../platform/types.ts';
import {type Call, type AnswerSink} from './call.ts';
import {createCallObserver} from './call-observer.ts';
import {createCallerServer} from './caller-server.ts';
import {createKeyedCallExecutor} from './keyed-call-executor.ts';
import {createLifeCycle} from './life-cycle.ts';
import {drainCallers, listenForCallers, listenForPeers} from './listeners.ts';
import {createEntryMembership, createIncarnation, type EntryMembership} from './membership.ts';
import {createBuiltInRoutes} from './built-in-routes.ts';
import {createReviewRollUp} from './review-roll-up.ts';
import {createReviewWriter} from './review-writer.ts';
import {createServices} from './services.ts';
import {type CallEnd} from './running-call.ts';
import {type CallExecution} from './service-runner.ts';
import {type EntrySettings} from './settings.ts';
import {createLoadPoller, getPolledUpstreams, type LoadPoller} from './load-poller.ts';
import {startOverloadMonitor} from './overload-monitor.ts';
import {createTableExchange} from './table-exchange.ts';
import {createTableReader} from './table-reader.ts';

/** External dependencies of an entry. */
export type EntryHost = {
	readonly log: LogHost;
	readonly instanceList: InstanceListHost;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly tracing: Tracing;
	/** Current time of a monotonic clock, in milliseconds. */
	getNow(): number;
	/** Milliseconds since the epoch. */
	getWallTime(): number;
	/** Called when another process with this name has started later; this process should leave. */
	onSuperseded(): void;
};

/** Entry that is running. */
export type Entry = {
	readonly name: string;
	readonly incarnation: string;
	/** Host and port that callers connect to. */
	readonly callerAddress: string;
	/** Host and port that other entries connect to. */
	readonly peerAddress: string;
	/** Withdraws the entry from the entry list, finishes the calls in flight and stops; resolves when all parts have stopped. */
	leave(): Promise<void>;
	/** Stops without notice: accepts no new connections from now on, finishes the calls in flight, and stops. */
	leaveAtOnce(): Promise<void>;
};

/** Time allowed for requests of other entries to end after the calls of this entry have ended. */
const peerGraceMilliseconds = 500;
/** Number of other deployments that are logged, each once. */
const maximumForeignDeployments = 16;
/** Time allowed for keyed calls to end and for their keys to be handed over to other entries. */
const handoverTimeoutMilliseconds = 3000;
/** Time allowed for the last review record to be appended to the log. */
const reviewCloseTimeoutMilliseconds = 5000;
/** Time for which roll-ups of review records are kept. */
const rollUpRetentionMilliseconds = 62 * dayMilliseconds;
/** Interval at which a stop looks for calls that wait and that it leaves no time for, in milliseconds. */
const refusalIntervalMilliseconds = 20;
const seedLimit = 2 ** 31;

/** Starts an entry. Resolves when its ports are open, which is before its first table is loaded. */
export async function createEntry(settings: EntrySettings, host: EntryHost): Promise<neverthrow.Result<Entry, Diagnostic>> {
	const {logger, metrics, tracing} = host;
	const incarnation = createIncarnation();
	const startedAt = host.getNow();
	const bounds = workBounds.createWorkBounds();
	let view: TableView | undefined;
	let stopsAt = Number.POSITIVE_INFINITY;

	const lifeCycle = createLifeCycle(state => {
		logger.info('entry-state', {state});
	});
	const reviewHost = {
		log: host.log, logger, now: host.getWallTime, random: Math.random,
	};
	const reviewWriter = createReviewWriter(reviewHost, {
		entry: settings.name, incarnation, failureDomain: settings.failureDomain, intervalMilliseconds: settings.observability.reviewIntervalMilliseconds,
	});
	const reviewRollUp = createReviewRollUp(reviewHost, {
		incarnation, retentionMilliseconds: settings.platform.logRetentionMilliseconds, keepMilliseconds: rollUpRetentionMilliseconds,
	});
	const services = createServices({
		getNow: host.getNow,
		canFinish,
		onLoadReport(_service, upstream, report) {
			membership.recordUpstreamReport(upstream, report);
			loadPoller.recordReport(upstream, host.getNow());
		},
		onAttemptResult(call, result) {
			metrics.resolveOperation(call.service, call.operation.operation).recordAttempt(result.kind);
		},
	}, {
		policy: settings.policy,
		seed: crypto.randomInt(seedLimit),
		fleet: {self: settings.name, selfFailureDomain: settings.failureDomain, entries: [{name: settings.name, failureDomain: settings.failureDomain}]},
		...settings.upstreamConnections,
	});
	const tableReader = createTableReader({
		log: host.log,
		logger,
		now: host.getWallTime,
		random: Math.random,
		setTimer(milliseconds, callback) {
			const timer = setTimeout(callback, milliseconds);
			return () => {
				clearTimeout(timer);
			};
		},
		onChange(table) {
			view = createTableView(table);
			services.setTable(view);
			for (const {service} of view.services.values()) {
				reviewWriter.setMeasurementBudget(service.service, service.probesPerSecondPerUpstream);
			}

			lifeCycle.send('table-known');
			membership.announceTable();
		},
	}, {name: `${settings.name}-${incarnation.slice(0, 8)}`, retentionMilliseconds: settings.platform.logRetentionMilliseconds});
	const membershipClient = createMembershipClient(settings.deployment);
	const membership: EntryMembership = createEntryMembership({
		instanceList: host.instanceList,
		logger,
		random: createRandomSource(crypto.randomInt(seedLimit)),
		client: membershipClient,
		tableExchange: createTableExchange({tableReader, client: membershipClient, logger}),
		getNow: host.getNow,
		onFleetChange: services.setFleet,
		onUpstreamsChange: services.setUpstreams,
		onReport(service, upstream, report, reportedAt) {
			loadPoller.recordReport(upstream, reportedAt);
			services.applyLoadReport(service, upstream, report, reportedAt);
		},
		onSuperseded: host.onSuperseded,
	}, {
		name: settings.name,
		incarnation,
		generation: Math.floor(host.getWallTime()),
		region: settings.region,
		failureDomain: settings.failureDomain,
		intervalMilliseconds: settings.platform.instanceListPollMilliseconds,
		timeoutMilliseconds: settings.platform.timeoutMilliseconds,
	});

	const loadPoller: LoadPoller = createLoadPoller({
		log: host.log,
		logger,
		random: createRandomSource(crypto.randomInt(seedLimit)),
		getNow: host.getNow,
		getUpstreams: () => getPolledUpstreams(membership.getUpstreams(), view),
		countEntries: () => membership.getFleet().entries.length,
		onReport(service, upstream, report) {
			membership.recordUpstreamReport(upstream, report);
			membership.shareReport(service, upstream, report);
			services.applyLoadReport(service, upstream, report, host.getNow());
		},
		onMeasurement(observation) {
			const measurementObservation = {...observation, failureDomain: settings.failureDomain};
			metrics.recordMeasurement(measurementObservation);
			reviewWriter.recordMeasurement(measurementObservation);
		},
	}, incarnation);

	metrics.setGaugeReader(() => ({
		tableVersion: view?.version ?? -1,
		members: membership.countMembersByState(),
		services: services.getStatus(),
	}));

	const keyedCallExecutor = createKeyedCallExecutor({
		...settings.keys,
		incarnation,
		keyLifetimeMilliseconds: Math.min(settings.keys.lifetimeMilliseconds, settings.platform.logRetentionMilliseconds / 2),
	}, {
		...host,
		directory: membership.directory,
		getView: () => view,
		run: services.execute,
	});

	const observer = createCallObserver({
		metrics, reviewWriter, failureDomain: settings.failureDomain, getNow: host.getNow,
	});

	function getShutdownPhase(): shutdownAdmission.ShutdownPhase {
		switch (lifeCycle.getState()) {
			case 'starting':
			case 'serving': {
				return {kind: 'running'};
			}

			case 'leaving': {
				return {kind: 'notice', stopsAt};
			}

			case 'draining':
			case 'stopped': {
				return {kind: 'draining', stopsAt};
			}
		}
	}

	function canFinish({service, operation, deadlineAt}: Pick<Call, 'service' | 'operation' | 'deadlineAt'>): boolean {
		const now = host.getNow();
		const kind = operation.idempotent ? 'idempotent' : 'non-idempotent';
		return shutdownAdmission.shouldAcceptRequest(getShutdownPhase(), {kind, deadlineAt, getSeen: () => bounds.getSeen(operation.operation, service, now)}, now);
	}

	function handle(call: Call, sink: AnswerSink): CallExecution {
		const started = bounds.start(call.operation.operation, call.service, host.getNow());
		const onEnd = (end: CallEnd) => {
			if (end.result === 'refused') {
				started.discard();
			} else {
				started.recordEnd(end.result === 'answered' ? 'finished' : 'unfinished', host.getNow());
			}

			observer.end(call, end);
		};

		observer.start(call);
		return keyedCallExecutor.isKeyed(call)
			? keyedCallExecutor.execute(call, sink, onEnd)
			: services.execute(call, sink, {history: {kind: 'keyless'}, onEnd});
	}

	const isLeaving = () => lifeCycle.getState() === 'leaving' || lifeCycle.getState() === 'draining';
	const builtInRoutes = createBuiltInRoutes({
		getState: lifeCycle.getState,
		getMetrics: metrics.getText,
		metricsContentType: metrics.contentType,
		getEntries(place) {
			const answer = membership.getEntries(place);
			return {
				...answer,
				entries: answer.entries.map(entry => ({...entry, incarnation: keyedCallExecutor.createKeyPrefix(entry.incarnation)})),
			};
		},
		getStatus: () => ({
			name: settings.name,
			incarnation,
			failureDomain: settings.failureDomain,
			state: lifeCycle.getState(),
			uptimeMilliseconds: Math.round(host.getNow() - startedAt),
			tableVersion: view?.version ?? null,
			calls: services.countCalls(),
			services: services.getStatus(),
			members: membership.getMemberStatuses(),
			drains: membership.getDrains(),
			measurementPositions: loadPoller.getUsablePositions(),
		}),
	});
	const recordFailure = (port: string, error: unknown, fields: Parameters<Logger['error']>[1]) => {
		logger.error('handler-failed', {port, ...fields, reason: error instanceof Error ? error.stack ?? error.message : String(error)});
		metrics.recordFailedHandler(port);
	};

	const callerServer = createCallerServer({
		entryName: settings.name,
		tracing,
		builtInRoutes,
		getNow: host.getNow,
		getView: () => view,
		isLeaving,
		isEntryListStale: membership.isEntryListStale,
		recordFailure(error, id) {
			recordFailure('callers', error, {id});
		},
		canFinish,
		handle,
	}, settings.limits);

	const callerListening = await listenForCallers(callerServer, settings.listen);
	if (callerListening.isErr()) {
		services.close();
		await keyedCallExecutor.close();
		return neverthrow.err(callerListening.error);
	}

	const foreignDeployments = new Set<string>();
	const peerListening = await listenForPeers(settings.listen, {
		routes: [membership.routes, keyedCallExecutor.routes],
		deployment: {
			name: settings.deployment,
			onForeign(deployment) {
				if (foreignDeployments.size < maximumForeignDeployments && !foreignDeployments.has(deployment)) {
					foreignDeployments.add(deployment);
					logger.warn('foreign-entry', {deployment, own: settings.deployment});
				}
			},
		},
		recordFailure(error, method) {
			recordFailure('peers', error, {method});
		},
	});
	if (peerListening.isErr()) {
		services.close();
		await keyedCallExecutor.close();
		callerServer.server.close();
		return neverthrow.err(peerListening.error);
	}

	const callerAddress = callerListening.value;
	const {server: peerServer, address: peerAddress} = peerListening.value;
	tableReader.start();
	reviewWriter.start();
	reviewRollUp.start();
	await membership.start({address: callerAddress, peerAddress});
	loadPoller.start();
	const stopOverloadMonitor = startOverloadMonitor(membership.setWeight);
	logger.info('entry-started', {
		incarnation, address: callerAddress, peerAddress, failureDomain: settings.failureDomain,
	});

	async function leave(noticeMilliseconds: number): Promise<void> {
		const leaveStartedAt = host.getNow();
		if (!lifeCycle.send('leave')) {
			return;
		}

		stopsAt = leaveStartedAt + noticeMilliseconds + settings.leaving.graceMilliseconds;
		const refusalTimer = setInterval(services.refuseUnsent, refusalIntervalMilliseconds);
		await membership.leave();
		if (lifeCycle.getState() === 'leaving') {
			await timers.setTimeout(noticeMilliseconds);
			lifeCycle.send('notice-over');
		}

		const countCalls = () => callerServer.countOpenRequests() + services.countCalls();
		logger.info('entry-draining', {calls: countCalls(), graceMilliseconds: settings.leaving.graceMilliseconds});
		await drainCallers(callerServer, {countCalls, graceMilliseconds: settings.leaving.graceMilliseconds, getNow: host.getNow});
		clearInterval(refusalTimer);
		lifeCycle.send('calls-ended');
		stopOverloadMonitor();
		await loadPoller.stop();
		reviewRollUp.close();
		await Promise.all([keyedCallExecutor.leave(handoverTimeoutMilliseconds), reviewWriter.flushAndClose(reviewCloseTimeoutMilliseconds)]);
		membership.stop();
		tableReader.stop();
		services.close();
		await peerServer.close(peerGraceMilliseconds);
		await keyedCallExecutor.close();
		await tracing.close();
		logger.info('entry-stopped', {durationMilliseconds: Math.round(host.getNow() - leaveStartedAt), cutOff: callerServer.countOpenRequests()});
	}

	return neverthrow.ok({
		name: settings.name,
		incarnation,
		callerAddress,
		peerAddress,
		leave: async () => leave(settings.leaving.noticeMilliseconds),
		leaveAtOnce: async () => leave(0),
	});
}
