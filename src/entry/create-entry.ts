/** Joins the parts of an entry: servers, table, instances, services, and the order in which they start and stop. */
import * as timers from 'node:timers/promises';
import * as crypto from 'node:crypto';
import * as neverthrow from 'neverthrow';
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
import {createClaims} from './claims.ts';
import {createLifeCycle} from './life-cycle.ts';
import {drainCallers, listenForCallers, listenForPeers} from './listeners.ts';
import {createEntryMembership, createIncarnation, type EntryMembership} from './membership.ts';
import {createPlainRoutes} from './plain-routes.ts';
import {createReviewRollUp} from './review-roll-up.ts';
import {createReviewWriter} from './review-writer.ts';
import {createServices} from './services.ts';
import {type CallEnd} from './running-call.ts';
import {type Execution} from './service-runner.ts';
import {type EntrySettings} from './settings.ts';
import {createMeasurement, getPolledUpstreams, type Measurement} from './measurement.ts';
import {startOverloadMonitor} from './overload-monitor.ts';
import {createTableExchange} from './table-exchange.ts';
import {createTableReader} from './table-reader.ts';

/** The world outside of an entry. */
export type EntryHost = {
	readonly log: LogHost;
	readonly instanceList: InstanceListHost;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly tracing: Tracing;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	/** Milliseconds since the epoch. */
	getWallTime(): number;
	/** Another process with this name started later; this one should leave. */
	onSuperseded(): void;
};

export type Entry = {
	readonly name: string;
	readonly incarnation: string;
	/** Host and port for callers. */
	readonly callerAddress: string;
	/** Host and port for other entries. */
	readonly peerAddress: string;
	/** Leaves the list of entries, finishes the calls in flight and stops; resolves when everything has ended. */
	leave(): Promise<void>;
};

/** Time for calls of other entries to end after this entry's own have. */
const peerGraceMilliseconds = 500;
const handoverMilliseconds = 3000;
/** Time for the last record of the review figures to reach the log. */
const reviewMilliseconds = 5000;
/** Time for which roll-ups of the review figures are kept. */
const reviewKeepMilliseconds = 62 * dayMilliseconds;
const largestSeed = 2 ** 31;

/** Starts an entry; resolves when its ports are open, which is before it has a table. */
export async function createEntry(settings: EntrySettings, host: EntryHost): Promise<neverthrow.Result<Entry, Diagnostic>> {
	const {logger, metrics, tracing} = host;
	const incarnation = createIncarnation();
	const startedAt = host.getNow();
	let view: TableView | undefined;

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
		incarnation, retentionMilliseconds: settings.platform.logRetentionMilliseconds, keepMilliseconds: reviewKeepMilliseconds,
	});
	const services = createServices({
		getNow: host.getNow,
		noteReport(_service, upstream, report) {
			membership.observe(upstream, report);
			measurement.noteReport(upstream, host.getNow());
		},
		noteAttempt(call, result) {
			metrics.resolveOperation(call.service, call.operation.operation).recordAttempt(result.kind);
		},
	}, {
		policy: settings.policy,
		seed: crypto.randomInt(largestSeed),
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
				reviewWriter.setBudget(service.service, service.probesPerSecondPerUpstream);
			}

			lifeCycle.take('table-known');
			membership.announceTable();
		},
	}, {name: `${settings.name}-${incarnation.slice(0, 8)}`, retentionMilliseconds: settings.platform.logRetentionMilliseconds});
	const membershipClient = createMembershipClient();
	const membership: EntryMembership = createEntryMembership({
		instanceList: host.instanceList,
		logger,
		random: createRandomSource(crypto.randomInt(largestSeed)),
		client: membershipClient,
		table: createTableExchange({tableReader, client: membershipClient, logger}),
		getNow: host.getNow,
		onFleet: services.setFleet,
		onUpstreams: services.setUpstreams,
		onReport(service, upstream, report, reportedAt) {
			measurement.noteReport(upstream, reportedAt);
			services.report(service, upstream, report, reportedAt);
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

	const measurement: Measurement = createMeasurement({
		log: host.log,
		logger,
		random: createRandomSource(crypto.randomInt(largestSeed)),
		getNow: host.getNow,
		getUpstreams: () => getPolledUpstreams(membership.getUpstreams(), view),
		countEntries: () => membership.getFleet().entries.length,
		onReport(service, upstream, report) {
			membership.observe(upstream, report);
			membership.share(service, upstream, report);
			services.report(service, upstream, report, host.getNow());
		},
		onMeasurement(observation) {
			const measured = {...observation, failureDomain: settings.failureDomain};
			metrics.recordMeasurement(measured);
			reviewWriter.recordMeasurement(measured);
		},
	}, incarnation);

	metrics.setGauges(() => ({
		tableVersion: view?.version ?? -1,
		members: membership.countStates(),
		services: services.getStatus(),
	}));

	const claims = createClaims({
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

	function handle(call: Call, sink: AnswerSink): Execution {
		const onEnd = (end: CallEnd) => {
			observer.end(call, end);
		};

		observer.start(call);
		return claims.isKeyed(call)
			? claims.execute(call, sink, onEnd)
			: services.execute(call, sink, {history: {kind: 'keyless'}, onEnd});
	}

	const isLeaving = () => lifeCycle.getState() === 'leaving' || lifeCycle.getState() === 'draining';
	const plainRoutes = createPlainRoutes({
		getState: lifeCycle.getState,
		getMetrics: metrics.getText,
		metricsContentType: metrics.contentType,
		getEntries(place) {
			const answer = membership.getEntries(place);
			return {
				...answer,
				entries: answer.entries.map(entry => ({...entry, incarnation: claims.createKeyPrefix(entry.incarnation)})),
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
			members: membership.getStatuses(),
			drains: membership.getDrains(),
			measurementPositions: measurement.getPositions(),
		}),
	});
	const callerServer = createCallerServer({
		entryName: settings.name,
		tracing,
		plainRoutes,
		getNow: host.getNow,
		getView: () => view,
		isLeaving,
		isEntriesAnswerOld: membership.isStale,
		handle,
	}, settings.limits);

	const callerListening = await listenForCallers(callerServer, settings.listen);
	if (callerListening.isErr()) {
		services.close();
		await claims.close();
		return neverthrow.err(callerListening.error);
	}

	const peerListening = await listenForPeers(settings.listen, [membership.routes, claims.routes]);
	if (peerListening.isErr()) {
		services.close();
		await claims.close();
		callerServer.server.close();
		return neverthrow.err(peerListening.error);
	}

	const callerAddress = callerListening.value;
	const {server: peerServer, address: peerAddress} = peerListening.value;
	tableReader.start();
	reviewWriter.start();
	reviewRollUp.start();
	await membership.start({address: callerAddress, peerAddress});
	measurement.start();
	const stopOverloadMonitor = startOverloadMonitor(membership.setWeight);
	logger.info('entry-started', {
		incarnation, address: callerAddress, peerAddress, failureDomain: settings.failureDomain,
	});

	async function leave(): Promise<void> {
		const leftAt = host.getNow();
		if (!lifeCycle.take('leave')) {
			return;
		}

		await membership.leave();
		if (lifeCycle.getState() === 'leaving') {
			await timers.setTimeout(settings.leaving.noticeMilliseconds);
			lifeCycle.take('notice-over');
		}

		const countCalls = () => callerServer.countOpen() + services.countCalls();
		logger.info('entry-draining', {calls: countCalls(), graceMilliseconds: settings.leaving.graceMilliseconds});
		await drainCallers(callerServer, {countCalls, graceMilliseconds: settings.leaving.graceMilliseconds, getNow: host.getNow});
		lifeCycle.take('calls-ended');
		stopOverloadMonitor();
		await measurement.stop();
		reviewRollUp.close();
		await Promise.all([claims.leave(handoverMilliseconds), reviewWriter.close(reviewMilliseconds)]);
		membership.stop();
		tableReader.stop();
		services.close();
		await peerServer.close(peerGraceMilliseconds);
		await claims.close();
		await tracing.close();
		logger.info('entry-stopped', {durationMilliseconds: Math.round(host.getNow() - leftAt), cutOff: callerServer.countOpen()});
	}

	return neverthrow.ok({
		name: settings.name, incarnation, callerAddress, peerAddress, leave,
	});
}
