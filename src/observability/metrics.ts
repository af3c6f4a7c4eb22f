/** Metrics of an entry in the Prometheus text format. Durations are in seconds, as the metric names show. */
import * as prometheus from 'prom-client';
import {type Outcome} from '../decisions/outcomes/types.ts';
import {type MeasurementObservation, type CallObservation} from '../decisions/review/observation.ts';
import {type AttemptResult, type RefusalReason} from '../decisions/routing/types.ts';
import {createCells} from './metric-cells.ts';
import {createGaugeWriter, type EntryGauges} from './entry-gauges.ts';

const secondsPerMillisecond = 0.001;
/** Bucket limits of call durations, in seconds. */
const callBuckets = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30];
/** Bucket limits of queue times, in seconds. */
const queueBuckets = [0.0001, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];

/** Records the calls of one operation; callers resolve it once and keep it, to avoid the lookup on each call. */
export type OperationMetrics = {
	/** Records the start of a call. */
	startCall(): void;
	/** Records the end of a call; must be called exactly once for each started call. */
	finishCall(observation: CallObservation): void;
	/** Records why a call was refused; must be called before `finishCall`. */
	recordRefusal(reason: RefusalReason): void;
	/** Records the end of one attempt at an upstream. */
	recordAttempt(result: AttemptResult['kind']): void;
};

/** Records the metrics of an entry. */
export type Metrics = {
	/** Content type of `getText`. */
	readonly contentType: string;
	resolveOperation(service: string, operation: string): OperationMetrics;
	/** Counts a request that was sent to measure an upstream. */
	recordMeasurement(observation: MeasurementObservation): void;
	/** Counts an append to or a read from a stream of the log. */
	recordLogRequest(stream: string, kind: 'append' | 'read', result: 'ok' | 'refused' | 'lost' | 'invalid'): void;
	/** Counts a request whose handler threw an error. */
	recordFailedHandler(port: string): void;
	/** Sets the function that reads the state for the gauges whenever the metrics are collected. */
	setGaugeReader(read: () => EntryGauges): void;
	getText(): Promise<string>;
};

/** Caches the child of a metric for each value of a label. */
function createChildCache<Key extends string, Child>(resolve: (key: Key) => Child): (key: Key) => Child {
	const children = new Map<Key, Child>();
	return key => {
		const existing = children.get(key);
		if (existing) {
			return existing;
		}

		const child = resolve(key);
		children.set(key, child);
		return child;
	};
}

/** Creates the metrics of one process, with their own registry. */
export function createMetrics(): Metrics {
	const registry = new prometheus.Registry();
	const registers = [registry];
	prometheus.collectDefaultMetrics({register: registry});
	const calls = createCells(new prometheus.Counter({
		name: 'fescuering_calls_total',
		help: 'Calls that ended, by result and by the outcome told to the caller.',
		labelNames: ['service', 'operation', 'result', 'outcome'] as const,
		registers,
	}));
	const callDuration = new prometheus.Histogram({
		name: 'fescuering_call_duration_seconds',
		help: 'Time from the first byte received to the last byte of the answer.',
		labelNames: ['service', 'operation'] as const,
		buckets: callBuckets,
		registers,
	});
	const queueDuration = new prometheus.Histogram({
		name: 'fescuering_call_queue_seconds',
		help: 'Time that calls waited for a slot.',
		labelNames: ['service', 'operation'] as const,
		buckets: queueBuckets,
		registers,
	});
	const behindLong = createCells(new prometheus.Counter({
		name: 'fescuering_call_behind_long_seconds_total',
		help: 'Time that short calls waited while long work held all usable slots.',
		labelNames: ['service', 'operation'] as const,
		registers,
	}));
	const inFlight = createCells(new prometheus.Gauge({
		name: 'fescuering_calls_in_flight',
		help: 'Calls that came in and have not ended.',
		labelNames: ['service', 'operation'] as const,
		registers,
	}));
	const attempts = createCells(new prometheus.Counter({
		name: 'fescuering_upstream_attempts_total',
		help: 'Attempts at upstreams that ended, by result.',
		labelNames: ['service', 'operation', 'result'] as const,
		registers,
	}));
	const refusals = createCells(new prometheus.Counter({
		name: 'fescuering_refusals_total',
		help: 'Calls refused before they went out, by reason.',
		labelNames: ['service', 'operation', 'reason'] as const,
		registers,
	}));
	const measurements = new prometheus.Counter({
		name: 'fescuering_measurement_requests_total',
		help: 'Requests sent to upstreams to measure them, by kind.',
		labelNames: ['service', 'kind'] as const,
		registers,
	});
	const logRequests = new prometheus.Counter({
		name: 'fescuering_log_requests_total',
		help: 'Requests to the log service, by stream, kind and result.',
		labelNames: ['stream', 'kind', 'result'] as const,
		registers,
	});
	const failedHandlers = new prometheus.Counter({
		name: 'fescuering_failed_handlers_total', help: 'Requests that ended with an error of their handler, by port.', labelNames: ['port'] as const, registers,
	});
	const cells = [calls, behindLong, inFlight, attempts, refusals];
	const writeGauges = createGaugeWriter(registry);
	let readGauges: (() => EntryGauges) | undefined;

	function createOperation(service: string, operation: string): OperationMetrics {
		const labels = {service, operation};
		const duration = callDuration.labels(labels);
		const queued = queueDuration.labels(labels);
		const behind = behindLong.create(labels);
		const running = inFlight.create(labels);
		const ended = createChildCache((result: CallObservation['result']) =>
			createChildCache((outcome: Outcome) => calls.create({...labels, result, outcome})));
		const refused = createChildCache((reason: RefusalReason) => refusals.create({...labels, reason}));
		const attempted = createChildCache((result: AttemptResult['kind']) => attempts.create({...labels, result}));
		return {
			startCall() {
				running.value++;
			},
			finishCall(observation) {
				running.value--;
				ended(observation.result)(observation.outcome).value++;
				duration.observe(observation.totalMilliseconds * secondsPerMillisecond);
				if (observation.result !== 'refused') {
					queued.observe(observation.queuedMilliseconds * secondsPerMillisecond);
				}

				behind.value += observation.behindLongMilliseconds * secondsPerMillisecond;
			},
			recordRefusal(reason) {
				refused(reason).value++;
			},
			recordAttempt(result) {
				attempted(result).value++;
			},
		};
	}

	const operations = new Map<string, OperationMetrics>();
	return {
		contentType: registry.contentType,
		resolveOperation(service, operation) {
			const key = `${service} ${operation}`;
			const existing = operations.get(key);
			if (existing) {
				return existing;
			}

			const created = createOperation(service, operation);
			operations.set(key, created);
			return created;
		},
		recordMeasurement(observation) {
			measurements.inc({service: observation.service, kind: observation.kind});
		},
		recordFailedHandler(port) {
			failedHandlers.inc({port});
		},
		recordLogRequest(stream, kind, result) {
			logRequests.inc({stream, kind, result});
		},
		setGaugeReader(read) {
			readGauges = read;
		},
		async getText() {
			for (const metric of cells) {
				metric.write();
			}

			if (readGauges) {
				writeGauges(readGauges());
			}

			return registry.metrics();
		},
	};
}
