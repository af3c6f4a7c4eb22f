/** Joins the parts of an entry: servers, table, instances, services, and the order in which they start and stop. */
import type * as net from 'node:net';
import * as crypto from 'node:crypto';
import * as neverthrow from 'neverthrow';
import {createDiagnostic, diagnostics, type Diagnostic} from '../decisions/diagnostics.ts';
import {type FleetView, type UpstreamDescription} from '../decisions/routing/types.ts';
import {createTableView, type TableView} from '../decisions/table/service-view.ts';
import {type Logger} from '../observability/logger.ts';
import {type Metrics} from '../observability/metrics.ts';
import {type Tracing} from '../observability/tracing.ts';
import {type InstanceListHost, type InstanceRecord, type LogHost} from '../platform/types.ts';
import {type Call, type AnswerSink} from './call.ts';
import {
	type CallerServer, createCallerServer, type PlainAnswer, type PlainRoute,
} from './caller-server.ts';
import {createLifeCycle} from './life-cycle.ts';
import {createServices} from './services.ts';
import {type CallEnd, type Execution} from './service-runner.ts';
import {type EntrySettings} from './settings.ts';
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
};

export type Entry = {
	readonly name: string;
	readonly incarnation: string;
	/** Host and port for callers. */
	readonly callerAddress: string;
	/** Leaves the list of entries, finishes the calls in flight and stops; resolves when everything has ended. */
	leave(): Promise<void>;
};

/** Interval at which a draining entry looks for calls that have not ended. */
const drainCheckMilliseconds = 20;
const callersKeepMilliseconds = 5000;
const largestSeed = 2 ** 31;

/** Starts an entry; resolves when its ports are open, which is before it has a table. */
export async function createEntry(settings: EntrySettings, host: EntryHost): Promise<neverthrow.Result<Entry, Diagnostic>> {
	const {logger, metrics, tracing} = host;
	const incarnation = crypto.randomUUID();
	const startedAt = host.getNow();
	let view: TableView | undefined;
	let instances: readonly InstanceRecord[] = [];
	let callerAddress = '';

	const lifeCycle = createLifeCycle(state => {
		logger.info('entry-state', {state});
	});
	const services = createServices({
		getNow: host.getNow,
		noteReport: () => undefined,
		noteAttempt(call, result) {
			metrics.resolveOperation(call.service, call.operation.operation).recordAttempt(result.kind);
		},
	}, {
		policy: settings.policy,
		seed: crypto.randomInt(largestSeed),
		fleet: createFleetView(settings, []),
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
			lifeCycle.take('table-known');
		},
	}, {name: `${settings.name}-${incarnation.slice(0, 8)}`, retentionMilliseconds: settings.platform.logRetentionMilliseconds});

	metrics.setGauges(() => ({
		tableVersion: view?.version ?? -1,
		members: {live: instances.filter(instance => instance.role === 'entry' && instance.state === 'live').length},
		services: services.getStatus(),
	}));

	function handle(call: Call, sink: AnswerSink): Execution {
		const operationMetrics = metrics.resolveOperation(call.service, call.operation.operation);
		operationMetrics.startCall();
		return services.execute(call, sink, {
			history: {kind: 'keyless'},
			onEnd(end) {
				observe(call, end);
			},
		});
	}

	function observe(call: Call, end: CallEnd): void {
		const {refusalReason, ...rest} = end;
		const operationMetrics = metrics.resolveOperation(call.service, call.operation.operation);
		if (refusalReason) {
			operationMetrics.recordRefusal(refusalReason);
		}

		operationMetrics.finishCall({
			...rest,
			service: call.service,
			operation: call.operation.operation,
			failureDomain: settings.failureDomain,
			totalMilliseconds: host.getNow() - call.receivedAt,
		});
		call.hop.end(end.result === 'answered' ? undefined : end.result);
	}

	const isLeaving = () => lifeCycle.getState() === 'leaving' || lifeCycle.getState() === 'draining';
	const plainRoutes = new Map<string, PlainRoute>([
		['/healthz', () => createTextAnswer(200, 'ok\n')],
		['/readyz', () => lifeCycle.getState() === 'serving' ? createTextAnswer(200, 'ready\n') : createTextAnswer(503, `${lifeCycle.getState()}\n`)],
		['/metrics', async () => ({statusCode: 200, contentType: metrics.contentType, body: await metrics.getText()})],
		['/v1/status', () => createJsonAnswer({
			name: settings.name,
			incarnation,
			failureDomain: settings.failureDomain,
			state: lifeCycle.getState(),
			uptimeMilliseconds: Math.round(host.getNow() - startedAt),
			tableVersion: view?.version ?? null,
			calls: services.countCalls(),
			services: services.getStatus(),
		})],
		['/v1/entries', () => createJsonAnswer({
			keepMilliseconds: callersKeepMilliseconds,
			entries: getEntries(settings, instances, isLeaving()),
		})],
	]);
	const callerServer = createCallerServer({
		entryName: settings.name,
		tracing,
		plainRoutes,
		getNow: host.getNow,
		getView: () => view,
		isLeaving,
		handle,
	}, settings.limits);

	const listening = await listen(callerServer, settings);
	if (listening.isErr()) {
		services.close();
		return neverthrow.err(listening.error);
	}

	callerAddress = listening.value;
	tableReader.start();
	const instanceTimer = setInterval(() => {
		void pollInstances();
	}, settings.platform.instanceListPollMilliseconds);
	await pollInstances();
	logger.info('entry-started', {incarnation, address: callerAddress, failureDomain: settings.failureDomain});

	async function pollInstances(): Promise<void> {
		const result = await host.instanceList.list(settings.platform.timeoutMilliseconds);
		if (result.isErr()) {
			logger.warn('instance-list-failed', {reason: result.error.message});
			return;
		}

		if (JSON.stringify(instances) === JSON.stringify(result.value)) {
			return;
		}

		instances = result.value;
		services.setFleet(createFleetView(settings, instances));
		services.setUpstreams(groupUpstreams(instances));
	}

	async function leave(): Promise<void> {
		const leftAt = host.getNow();
		if (!lifeCycle.take('leave')) {
			return;
		}

		if (lifeCycle.getState() === 'leaving') {
			await wait(settings.leaving.noticeMilliseconds);
			lifeCycle.take('notice-over');
		}

		await drain(callerServer, host, settings.leaving.graceMilliseconds);
		lifeCycle.take('calls-ended');
		clearInterval(instanceTimer);
		tableReader.stop();
		services.close();
		await tracing.close();
		logger.info('entry-stopped', {durationMilliseconds: Math.round(host.getNow() - leftAt), cutOff: callerServer.countOpen()});
	}

	return neverthrow.ok({
		name: settings.name, incarnation, callerAddress, leave,
	});
}

/** Stops listening, waits until all answers have left and closes the connections. */
async function drain(callerServer: CallerServer, host: EntryHost, graceMilliseconds: number): Promise<void> {
	const {server} = callerServer;
	const graceEndsAt = host.getNow() + graceMilliseconds;
	server.close();
	host.logger.info('entry-draining', {calls: callerServer.countOpen(), graceMilliseconds});
	while (callerServer.countOpen() > 0 && host.getNow() < graceEndsAt) {
		await wait(drainCheckMilliseconds);
	}

	server.closeAllConnections();
}

async function listen(callerServer: CallerServer, settings: EntrySettings): Promise<neverthrow.Result<string, Diagnostic>> {
	const {server} = callerServer;
	const {host, callerPort} = settings.listen;
	return new Promise(resolve => {
		server.once('error', (error: NodeJS.ErrnoException) => {
			resolve(neverthrow.err(createDiagnostic(diagnostics.settingsAddressUnavailable, `${host}:${callerPort}`, error.code ?? error.message)));
		});
		server.listen(callerPort, host, () => {
			resolve(neverthrow.ok(formatAddress(server.address() ?? undefined, settings)));
		});
	});
}

function formatAddress(address: string | net.AddressInfo | undefined, settings: EntrySettings): string {
	const port = typeof address === 'object' ? address.port : settings.listen.callerPort;
	return `${settings.listen.announcedHost ?? settings.listen.host}:${port}`;
}

function createFleetView(settings: EntrySettings, instances: readonly InstanceRecord[]): FleetView {
	const others = instances.filter(instance => instance.role === 'entry' && instance.state === 'live' && instance.name !== settings.name);
	return {
		self: settings.name,
		selfFailureDomain: settings.failureDomain,
		entries: [{name: settings.name, failureDomain: settings.failureDomain}, ...others],
	};
}

function groupUpstreams(instances: readonly InstanceRecord[]): ReadonlyMap<string, readonly UpstreamDescription[]> {
	const groups = new Map<string, UpstreamDescription[]>();
	for (const instance of instances) {
		if (instance.role === 'upstream' && instance.service !== undefined) {
			const group = groups.get(instance.service) ?? [];
			group.push(instance);
			groups.set(instance.service, group);
		}
	}

	return groups;
}

function getEntries(settings: EntrySettings, instances: readonly InstanceRecord[], isSelfLeaving: boolean) {
	return instances
		.filter(instance => instance.role === 'entry' && instance.state === 'live' && !(isSelfLeaving && instance.name === settings.name))
		.map(({name, address, failureDomain}) => ({
			name, address, failureDomain, weight: 1,
		}))
		.toSorted((left, right) => Number(right.failureDomain === settings.failureDomain) - Number(left.failureDomain === settings.failureDomain));
}

function createTextAnswer(statusCode: number, body: string): PlainAnswer {
	return {statusCode, contentType: 'text/plain; charset=utf-8', body};
}

function createJsonAnswer(value: unknown): PlainAnswer {
	return {statusCode: 200, contentType: 'application/json', body: JSON.stringify(value)};
}

async function wait(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
