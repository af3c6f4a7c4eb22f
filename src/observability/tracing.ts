/** Distributed traces with one span for each hop of a call, propagated in the W3C `traceparent` header. */
import * as opentelemetry from '@opentelemetry/api';
import * as core from '@opentelemetry/core';
import * as otlp from '@opentelemetry/exporter-trace-otlp-http';
import * as resources from '@opentelemetry/resources';
import * as traceBase from '@opentelemetry/sdk-trace-base';

/** Name of the header with the trace context. */
export const traceparentHeader = 'traceparent';

const exportIntervalMilliseconds = 2000;
const exportTimeoutMilliseconds = 5000;
/** Maximum number of spans that wait for export; further spans are dropped. */
const maximumQueuedSpans = 4096;
const maximumBatchSpans = 512;

/** One hop of a call from a sender to a receiver; `-sent` and `-received` show which end records the span. */
export type HopKind
	= | 'caller-to-entry'
		| 'entry-to-entry-sent'
		| 'entry-to-entry-received'
		| 'entry-to-upstream';

/** Span attributes of a hop. */
export type HopAttributes = Readonly<Record<string, string | number | boolean>>;

/** A hop in progress. */
export type Hop = {
	/** Value of the `traceparent` header of the messages that this hop sends. */
	readonly traceparent: string;
	readonly isSampled: boolean;
	/** Starts a hop whose span is a child of this one. */
	startChild(kind: Exclude<HopKind, 'caller-to-entry'>, attributes?: HopAttributes): Hop;
	setAttributes(attributes: HopAttributes): void;
	/** Ends the hop; an error marks its span as failed. */
	end(error?: string): void;
};

/** Creates and exports the spans of one process. */
export type Tracing = {
	/** Starts the first hop of a call in this process; it joins the trace of the header if that is valid. */
	startHop(kind: 'caller-to-entry' | 'entry-to-entry-received', traceparent: string | undefined, attributes?: HopAttributes): Hop;
	/** Exports the queued spans. */
	flush(): Promise<void>;
	/** Exports the queued spans and stops. */
	close(): Promise<void>;
};

/** Sampling and export options. */
export type TracingOptions = {
	/** OTLP endpoint to which spans are exported, e.g. `http://127.0.0.1:4318/v1/traces`. */
	readonly otlpUrl?: string | undefined;
	/** Share of the traces started here that are recorded, 0 to 1; a trace started elsewhere keeps its sampling decision. */
	readonly sampleShare: number;
	readonly serviceName: string;
	readonly failureDomain: string;
	/** Exporter that replaces the one for `otlpUrl`. */
	readonly exporter?: traceBase.SpanExporter | undefined;
};

/** Creates an exporter that keeps spans in memory. */
export function createMemoryExporter(): traceBase.InMemorySpanExporter {
	return new traceBase.InMemorySpanExporter();
}

/** Creates the tracing of one process. Without an exporter, no spans are recorded and headers are propagated unchanged. */
export function createTracing(options: TracingOptions): Tracing {
	const exporter = options.exporter ?? createOtlpExporter(options.otlpUrl);
	const processors = exporter
		? [new traceBase.BatchSpanProcessor(exporter, {
			maxQueueSize: maximumQueuedSpans,
			maxExportBatchSize: maximumBatchSpans,
			scheduledDelayMillis: exportIntervalMilliseconds,
			exportTimeoutMillis: exportTimeoutMilliseconds,
		})]
		: [];
	const ids = new traceBase.RandomIdGenerator();
	const provider = new traceBase.BasicTracerProvider({
		resource: resources.resourceFromAttributes(Object.fromEntries([
			['service.name', options.serviceName],
			['fescuering.failure_domain', options.failureDomain],
		])),
		sampler: new traceBase.ParentBasedSampler({root: new traceBase.AlwaysOnSampler()}),
		spanProcessors: processors,
	});
	const tracer = provider.getTracer('fescuering');
	const rootSampler = new traceBase.TraceIdRatioBasedSampler(exporter ? options.sampleShare : 0);
	const isRootSampled = (traceId: string) =>
		rootSampler.shouldSample(opentelemetry.ROOT_CONTEXT, traceId).decision === traceBase.SamplingDecision.RECORD_AND_SAMPLED;

	return {
		startHop(kind, traceparent, attributes) {
			const received = traceparent === undefined ? undefined : core.parseTraceParent(traceparent) ?? undefined;
			if (received) {
				return exporter && isSampledContext(received) ? createSampledHop(tracer, kind, received, attributes) : createUnsampledHop(formatTraceparent(received));
			}

			const traceId = ids.generateTraceId();
			const parent = {traceId, spanId: ids.generateSpanId(), traceFlags: opentelemetry.TraceFlags.NONE};
			return isRootSampled(traceId) ? createSampledHop(tracer, kind, undefined, attributes) : createUnsampledHop(formatTraceparent(parent));
		},
		flush: async () => provider.forceFlush(),
		close: async () => provider.shutdown(),
	};
}

function createOtlpExporter(url: string | undefined): traceBase.SpanExporter | undefined {
	return url === undefined ? undefined : new otlp.OTLPTraceExporter({url, timeoutMillis: exportTimeoutMilliseconds});
}

function isSampledContext(context: opentelemetry.SpanContext): boolean {
	return (context.traceFlags & opentelemetry.TraceFlags.SAMPLED) !== 0; // eslint-disable-line no-bitwise
}

function formatTraceparent(context: opentelemetry.SpanContext): string {
	return `00-${context.traceId}-${context.spanId}-${isSampledContext(context) ? '01' : '00'}`;
}

/** Replaces the methods of a hop that is not recorded. */
const doNothing = () => undefined;

function createUnsampledHop(traceparent: string): Hop {
	const hop: Hop = {
		traceparent,
		isSampled: false,
		startChild: () => hop,
		setAttributes: doNothing,
		end: doNothing,
	};
	return hop;
}

const spanKinds: Readonly<Record<HopKind, opentelemetry.SpanKind>> = {
	'caller-to-entry': opentelemetry.SpanKind.SERVER,
	'entry-to-entry-sent': opentelemetry.SpanKind.CLIENT,
	'entry-to-entry-received': opentelemetry.SpanKind.SERVER,
	'entry-to-upstream': opentelemetry.SpanKind.CLIENT,
};

function createSampledHop(tracer: opentelemetry.Tracer, kind: HopKind, parent: opentelemetry.SpanContext | undefined, attributes: HopAttributes = {}): Hop {
	const context = parent ? opentelemetry.trace.setSpanContext(opentelemetry.ROOT_CONTEXT, parent) : opentelemetry.ROOT_CONTEXT;
	const span = tracer.startSpan(kind, {kind: spanKinds[kind], attributes}, context);
	const spanContext = span.spanContext();
	return {
		traceparent: formatTraceparent(spanContext),
		isSampled: true,
		startChild: (childKind, childAttributes) => createSampledHop(tracer, childKind, spanContext, childAttributes),
		setAttributes(more) {
			span.setAttributes(more);
		},
		end(error) {
			if (error !== undefined) {
				span.setStatus({code: opentelemetry.SpanStatusCode.ERROR, message: error});
			}

			span.end();
		},
	};
}
