import * as vitest from 'vitest';
import {createMemoryExporter, createTracing} from './tracing.ts';

const {expect, test} = vitest;

const traceId = '0af7651916cd43dd8448eb211c80319c';

function createTestTracing(sampleShare: number) {
	const exporter = createMemoryExporter();
	return {
		exporter, tracing: createTracing({
			sampleShare, serviceName: 'fescuering-entry', failureDomain: 'riverside', exporter,
		}),
	};
}

test('the span of each hop is a child of the span of the previous hop', async () => {
	const {exporter, tracing} = createTestTracing(0);
	const received = tracing.startHop('caller-to-entry', `00-${traceId}-b7ad6b7169203331-01`, {service: 'desk'});
	const forwarded = received.startChild('entry-to-entry-sent');
	const peer = tracing.startHop('entry-to-entry-received', forwarded.traceparent);
	const attempt = peer.startChild('entry-to-upstream');
	attempt.end('timed-out');
	peer.end();
	forwarded.end();
	received.end();
	await tracing.flush();
	const spans = exporter.getFinishedSpans();
	expect(spans.map(span => span.name)).toEqual(['entry-to-upstream', 'entry-to-entry-received', 'entry-to-entry-sent', 'caller-to-entry']);
	expect(spans.map(span => span.parentSpanContext?.spanId)).toEqual([...spans.slice(1).map(span => span.spanContext().spanId), 'b7ad6b7169203331']);
	expect(new Set(spans.map(span => span.spanContext().traceId))).toEqual(new Set([traceId]));
	await tracing.close();
});

test('a trace that the caller does not sample is propagated unchanged and not recorded', async () => {
	const {exporter, tracing} = createTestTracing(1);
	const header = `00-${traceId}-b7ad6b7169203331-00`;
	const hop = tracing.startHop('caller-to-entry', header);
	expect(hop.startChild('entry-to-upstream').traceparent).toBe(header);
	hop.end();
	await tracing.flush();
	expect(exporter.getFinishedSpans()).toEqual([]);
	await tracing.close();
});

test('the sample share decides whether a trace without a valid header is sampled', async () => {
	const always = createTestTracing(1);
	const never = createTestTracing(0);
	expect(always.tracing.startHop('caller-to-entry', 'nonsense').traceparent).toMatch(/^00-[\da-f]{32}-[\da-f]{16}-01$/v);
	expect(never.tracing.startHop('caller-to-entry', undefined).traceparent).toMatch(/^00-[\da-f]{32}-[\da-f]{16}-00$/v);
	await always.tracing.close();
	await never.tracing.close();
});
