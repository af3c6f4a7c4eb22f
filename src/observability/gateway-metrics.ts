/** Metrics of a gateway in the Prometheus text format. Durations are in seconds, as the metric names show. */
import * as prometheus from 'prom-client';

const secondsPerMillisecond = 0.001;
/** Bucket limits of requests, in seconds. */
const requestBuckets = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5];
/** Bucket limits of load checks, in seconds. */
const checkBuckets = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.1, 0.3];

/** Number of workspaces that are counted by their names; the others are counted together. */
const maximumNamedWorkspaces = 200;
const otherWorkspaces = 'other';

/** State of a gateway, read when the metrics are collected. */
export type GatewayGauges = {
	readonly configurationVersion: number;
	readonly knowledgeAgeMilliseconds: number;
	readonly members: number;
	readonly openRequests: number;
	/** Calls that are not answered, or still have an attempt at an upstream. */
	readonly runningCalls: number;
	/** Requests of workspaces that wait for an admission. */
	readonly waitingForAdmission: number;
	/** Open connections of all ports. */
	readonly connections: number;
	/** Connections of callers that wait until they are read, because others are costly to read. */
	readonly deferredConnections: number;
	/** Whether this entry reaches no upstream. */
	readonly isCutOff: boolean;
	/** Memory that connections, requests and responses claim. */
	readonly claimedBytes: number;
	/** Largest lateness of a timer since the last collection; the event loop did nothing else for so long. */
	readonly largestLatenessMilliseconds: number;
	/** Upstreams that are cold, so that each request to them needs a permit. */
	readonly coldUpstreams: number;
	/** Failure domains whose upstreams receive nothing new. */
	readonly evacuatedFailureDomains: number;
};

/** Records the metrics of a gateway. */
export type GatewayMetrics = {
	recordRequest(route: string, outcome: string, reason: string, milliseconds: number, heldMilliseconds: number): void;
	recordAttempt(upstream: string, end: string): void;
	recordCheck(result: string, milliseconds: number): void;
	recordStoreCall(call: string, result: string, milliseconds: number): void;
	recordPermit(side: string, result: string): void;
	/** Records a question for admissions of a workspace that this entry asked or answered. */
	recordAdmissions(side: string, result: string, milliseconds: number): void;
	/** Records a request of a workspace that ended, or was refused because its allowance is used up (`limited`) or nobody who counts it answers (`undecided`). */
	recordWorkspaceRequest(workspace: string, outcome: string): void;
	/** Records a connection that was closed to make room for others. */
	recordClosedConnection(port: string): void;
	/** Records a request whose handler threw an error. */
	recordFailedHandler(port: string): void;
	/** Records a request that arrived while another one of its connection was in progress. */
	recordRequestAhead(): void;
	/** Records requests that were passed on and ended with their connection, although their caller had not left. */
	recordCut(reason: string, requests: number): void;
	getText(gauges: GatewayGauges): Promise<string>;
};

/** Creates the metrics of one process, with their own registry. */
export function createGatewayMetrics(): GatewayMetrics {
	const registry = new prometheus.Registry();
	const registers = [registry];
	const requests = new prometheus.Counter({
		name: 'fescuering_gateway_requests_total', help: 'Requests that ended, by route, outcome and reason.', labelNames: ['route', 'outcome', 'reason'] as const, registers,
	});
	const requestDuration = new prometheus.Histogram({
		name: 'fescuering_gateway_request_duration_seconds', help: 'Time from the request to its answer.', labelNames: ['route'] as const, buckets: requestBuckets, registers,
	});
	const heldDuration = new prometheus.Histogram({
		name: 'fescuering_gateway_held_seconds', help: 'Time until a request was sent to its first upstream.', buckets: requestBuckets, registers,
	});
	const attempts = new prometheus.Counter({
		name: 'fescuering_gateway_attempts_total', help: 'Attempts at upstreams, by upstream and end.', labelNames: ['upstream', 'end'] as const, registers,
	});
	const checks = new prometheus.Histogram({
		name: 'fescuering_gateway_check_seconds', help: 'Load checks of upstreams, by result.', labelNames: ['result'] as const, buckets: checkBuckets, registers,
	});
	const storeCalls = new prometheus.Histogram({
		name: 'fescuering_gateway_store_call_seconds', help: 'Calls to the store of the platform, by call and result.', labelNames: ['call', 'result'] as const, buckets: requestBuckets, registers,
	});
	const permits = new prometheus.Counter({
		name: 'fescuering_gateway_permits_total', help: 'Requests for permits to use an upstream with a rate limit, by side (asked or issued) and result.', labelNames: ['side', 'result'] as const, registers,
	});
	const admissions = new prometheus.Histogram({
		name: 'fescuering_gateway_admission_seconds', help: 'Questions for admissions of workspaces, by side (asked or answered) and result.', labelNames: ['side', 'result'] as const, buckets: checkBuckets, registers,
	});
	const workspaceRequests = new prometheus.Counter({
		name: 'fescuering_gateway_workspace_requests_total', help: 'Requests that ended, by workspace and outcome.', labelNames: ['workspace', 'outcome'] as const, registers,
	});
	const namedWorkspaces = new Set<string>();
	const closedConnections = new prometheus.Counter({
		name: 'fescuering_gateway_closed_connections_total', help: 'Connections that were closed to make room for others, by port.', labelNames: ['port'] as const, registers,
	});
	const failedHandlers = new prometheus.Counter({
		name: 'fescuering_gateway_failed_handlers_total', help: 'Requests that ended with an error of their handler, by port.', labelNames: ['port'] as const, registers,
	});
	const requestsAhead = new prometheus.Counter({
		name: 'fescuering_gateway_requests_ahead_total', help: 'Requests that arrived while another one of their connection was in progress.', registers,
	});
	const cutRequests = new prometheus.Counter({
		name: 'fescuering_gateway_cut_requests_total', help: 'Requests that were passed on and ended with their connection, by reason.', labelNames: ['reason'] as const, registers,
	});
	const gaugeNames = {
		configurationVersion: 'fescuering_gateway_configuration_version',
		knowledgeAgeMilliseconds: 'fescuering_gateway_knowledge_age_seconds',
		members: 'fescuering_gateway_members',
		openRequests: 'fescuering_gateway_open_requests',
		runningCalls: 'fescuering_gateway_running_calls',
		waitingForAdmission: 'fescuering_gateway_waiting_for_admission',
		connections: 'fescuering_gateway_connections',
		deferredConnections: 'fescuering_gateway_deferred_connections',
		isCutOff: 'fescuering_gateway_cut_off',
		claimedBytes: 'fescuering_gateway_claimed_bytes',
		largestLatenessMilliseconds: 'fescuering_gateway_largest_lateness_seconds',
		coldUpstreams: 'fescuering_gateway_cold_upstreams',
		evacuatedFailureDomains: 'fescuering_gateway_evacuated_failure_domains',
	};
	const gaugeMetrics = new Map(Object.values(gaugeNames).map(name => [name, new prometheus.Gauge({name, help: 'State of this entry.', registers})]));

	return {
		recordRequest(route, outcome, reason, milliseconds, heldMilliseconds) {
			requests.inc({route, outcome, reason});
			requestDuration.observe({route}, milliseconds * secondsPerMillisecond);
			heldDuration.observe(heldMilliseconds * secondsPerMillisecond);
		},
		recordAttempt(upstream, end) {
			attempts.inc({upstream, end});
		},
		recordCheck(result, milliseconds) {
			checks.observe({result}, milliseconds * secondsPerMillisecond);
		},
		recordStoreCall(call, result, milliseconds) {
			storeCalls.observe({call, result}, milliseconds * secondsPerMillisecond);
		},
		recordPermit(side, result) {
			permits.inc({side, result});
		},
		recordAdmissions(side, result, milliseconds) {
			admissions.observe({side, result}, milliseconds * secondsPerMillisecond);
		},
		recordWorkspaceRequest(workspace, outcome) {
			if (namedWorkspaces.size < maximumNamedWorkspaces) {
				namedWorkspaces.add(workspace);
			}

			workspaceRequests.inc({workspace: namedWorkspaces.has(workspace) ? workspace : otherWorkspaces, outcome});
		},
		recordClosedConnection(port) {
			closedConnections.inc({port});
		},
		recordFailedHandler(port) {
			failedHandlers.inc({port});
		},
		recordRequestAhead() {
			requestsAhead.inc();
		},
		recordCut(reason, count) {
			cutRequests.inc({reason}, count);
		},
		async getText(gauges) {
			gaugeMetrics.get(gaugeNames.configurationVersion)!.set(gauges.configurationVersion);
			gaugeMetrics.get(gaugeNames.knowledgeAgeMilliseconds)!.set(Math.min(gauges.knowledgeAgeMilliseconds, Number.MAX_SAFE_INTEGER) * secondsPerMillisecond);
			gaugeMetrics.get(gaugeNames.members)!.set(gauges.members);
			gaugeMetrics.get(gaugeNames.openRequests)!.set(gauges.openRequests);
			gaugeMetrics.get(gaugeNames.runningCalls)!.set(gauges.runningCalls);
			gaugeMetrics.get(gaugeNames.waitingForAdmission)!.set(gauges.waitingForAdmission);
			gaugeMetrics.get(gaugeNames.connections)!.set(gauges.connections);
			gaugeMetrics.get(gaugeNames.deferredConnections)!.set(gauges.deferredConnections);
			gaugeMetrics.get(gaugeNames.isCutOff)!.set(Number(gauges.isCutOff));
			gaugeMetrics.get(gaugeNames.claimedBytes)!.set(gauges.claimedBytes);
			gaugeMetrics.get(gaugeNames.largestLatenessMilliseconds)!.set(gauges.largestLatenessMilliseconds * secondsPerMillisecond);
			gaugeMetrics.get(gaugeNames.coldUpstreams)!.set(gauges.coldUpstreams);
			gaugeMetrics.get(gaugeNames.evacuatedFailureDomains)!.set(gauges.evacuatedFailureDomains);
			return registry.metrics();
		},
	};
}
