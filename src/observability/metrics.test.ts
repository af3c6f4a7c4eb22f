import * as vitest from 'vitest';
import {type CallObservation} from '../decisions/review/observation.ts';
import {createMetrics} from './metrics.ts';

const {expect, test} = vitest;

const observation: CallObservation = {
	service: 'desk',
	operation: 'price',
	failureDomain: 'riverside',
	isLong: false,
	result: 'answered',
	outcome: 'ran',
	attempts: 1,
	totalMilliseconds: 20,
	queuedMilliseconds: 4,
	behindLongMilliseconds: 2,
	upstreamMilliseconds: 15,
};

test('a finished call is counted once and its durations are recorded in seconds', async () => {
	const metrics = createMetrics();
	const operation = metrics.resolveOperation('desk', 'price');
	operation.startCall();
	operation.startCall();
	operation.recordAttempt('answered');
	operation.finishCall(observation);
	expect(metrics.resolveOperation('desk', 'price')).toBe(operation);
	const text = await metrics.getText();
	const lines = text.split('\n');
	expect(lines).toContain('fescuering_calls_total{service="desk",operation="price",result="answered",outcome="ran"} 1');
	expect(lines).toContain('fescuering_call_duration_seconds_sum{service="desk",operation="price"} 0.02');
	expect(lines).toContain('fescuering_call_queue_seconds_sum{service="desk",operation="price"} 0.004');
	expect(lines).toContain('fescuering_call_behind_long_seconds_total{service="desk",operation="price"} 0.002');
	expect(lines).toContain('fescuering_calls_in_flight{service="desk",operation="price"} 1');
});

test('gauges show the state at the time of collection and drop removed upstreams', async () => {
	const metrics = createMetrics();
	const upstream = {
		state: 'live', reason: 'answers', inFlight: 2, slots: 4, connections: 3,
	};
	let upstreams = [{...upstream, upstream: 'desk-1'}, {...upstream, upstream: 'desk-2'}];
	metrics.setGaugeReader(() => ({tableVersion: 7, members: {live: 3}, services: [{service: 'desk', waiting: 1, upstreams}]}));
	const before = await metrics.getText();
	expect(before).toContain('fescuering_upstream_connections{service="desk",upstream="desk-2"} 3');
	upstreams = upstreams.slice(0, 1);
	const text = await metrics.getText();
	expect(text).not.toContain('desk-2');
	expect(text).toContain('fescuering_upstream_state{service="desk",upstream="desk-1",state="live"} 1');
	expect(text).toContain('fescuering_table_version 7');
	expect(text).toContain('fescuering_members{state="live"} 3');
});
