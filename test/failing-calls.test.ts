/** Tests that an error thrown while an entry handles one request ends that request and nothing else. */
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import * as rowKey from '../src/decisions/table/row-key.ts';
import * as rows from '../src/decisions/table/rows.ts';
import * as serviceView from '../src/decisions/table/service-view.ts';
import * as builtInRoutes from '../src/entry/built-in-routes.ts';
import type * as call from '../src/entry/call.ts';
import * as callerServer from '../src/entry/caller-server.ts';
import * as tracing from '../src/observability/tracing.ts';
import * as gateways from './support/gateways.ts';
import * as rawCaller from './support/raw-caller.ts';

const {afterEach, expect, test} = vitest;

const row = rows.rowSchema.parse({
	kind: 'operation', service: 'desk', operation: 'any', method: 'GET', pathPrefix: '/', idempotent: true,
});
const serviceRow = rows.rowSchema.parse({kind: 'service', service: 'desk', slotsPerUpstream: 4});
const view = serviceView.createTableView({version: 1, rows: new Map([row, serviceRow].map(one => [rowKey.getRowKey(one), one]))});
const limits = {
	bodyBytes: 1000, bufferedBodyBytes: 1000, headerBytes: 8192, headersTimeoutMilliseconds: 3000, requestTimeoutMilliseconds: 10_000, keepAliveMilliseconds: 5000, connections: 100, heldBodyBytes: 100_000,
};
const workMilliseconds = 200;

let server: callerServer.CallerServer | undefined;

afterEach(() => {
	server?.server.closeAllConnections();
	server?.server.close();
});

type Place = 'table' | 'trace' | 'call' | 'call-begun' | 'answer' | 'status' | 'metrics';

/** Starts a server whose handler throws once at a place, for the request that is named there. */
async function start(place: Place): Promise<{readonly address: string; readonly failures: unknown[]; readonly cancelled: string[]; arm(): void}> {
	let isArmed = false;
	const failures: unknown[] = [];
	const cancelled: string[] = [];
	const fire = (name: Place) => {
		if (name === place && isArmed) {
			isArmed = false;
			throw new Error('injected');
		}
	};

	async function answer(sink: call.AnswerSink, headers: call.HeaderPairs): Promise<void> {
		await timers.setTimeout(workMilliseconds);
		sink.start({statusCode: 200, headers: [['content-length', '2'], ...headers], outcome: 'ran'});
		sink.write(new TextEncoder().encode('ok'));
		sink.end();
	}

	const traces = tracing.createTracing({
		otlpUrl: undefined, sampleShare: 0, serviceName: 'test', failureDomain: 'north',
	});
	server = callerServer.createCallerServer({
		entryName: 'entry-1',
		tracing: {
			...traces, startHop(...values) {
				fire('trace');
				return traces.startHop(...values);
			},
		},
		builtInRoutes: builtInRoutes.createBuiltInRoutes({
			metricsContentType: 'text/plain',
			getEntries() {
				throw new Error('not used');
			},
			getState: () => 'serving',
			async getMetrics() {
				fire('metrics');
				return '';
			},
			getStatus() {
				fire('status');
				return {};
			},
		}),
		getNow: () => performance.now(),
		getView() {
			fire('table');
			return view;
		},
		isLeaving: () => false,
		isEntryListStale: () => false,
		canFinish: () => true,
		recordFailure(error, id) {
			failures.push([String(error), id]);
		},
		handle({path}, sink) {
			const isFailing = path === '/thrown';
			if (isFailing) {
				fire('call');
			}

			void answer(sink, isFailing && place === 'answer' ? [['x', 'line\nfeed']] : []);
			if (isFailing) {
				fire('call-begun');
			}

			return {
				cancel() {
					cancelled.push(path);
				},
			};
		},
	}, limits);
	await new Promise<void>(resolve => {
		server!.server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.server.address() as net.AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	return {
		address: `127.0.0.1:${port}`, failures, cancelled, arm() {
			isArmed = true;
		},
	};
}

const createRequest = (target: string) => `GET ${target} HTTP/1.1\r\nHost: desk\r\n\r\n`;

// Guards against an entry that one failing request ends, and all others with it.
test.each<{place: Place; target: string; status: number; outcome: string; id: number | undefined; cancelled: readonly string[]}>([
	{
		place: 'table', target: '/desk/thrown', status: 500, outcome: 'not-run', id: undefined, cancelled: [],
	},
	{
		place: 'trace', target: '/desk/thrown', status: 500, outcome: 'not-run', id: undefined, cancelled: [],
	},
	{
		place: 'call', target: '/desk/thrown', status: 502, outcome: 'unknown', id: 3, cancelled: [],
	},
	{
		place: 'call-begun', target: '/desk/thrown', status: 502, outcome: 'unknown', id: 3, cancelled: [],
	},
	{
		place: 'answer', target: '/desk/thrown', status: 502, outcome: 'unknown', id: 3, cancelled: ['/thrown'],
	},
	{
		place: 'status', target: '/v1/status', status: 500, outcome: '', id: undefined, cancelled: [],
	},
	{
		place: 'metrics', target: '/metrics', status: 500, outcome: '', id: undefined, cancelled: [],
	},
])('an error at $place ends one request', async ({place, target, status, outcome, id, cancelled}) => {
	const entry = await start(place);
	const caller = rawCaller.connect(entry.address);
	const other = rawCaller.connect(entry.address);
	caller.socket.write(createRequest('/desk/before'));
	other.socket.write(createRequest('/desk/other'));
	await gateways.waitUntil(() => server!.countOpenRequests() === 2);
	entry.arm();
	caller.socket.write(createRequest(target) + createRequest('/desk/after'));
	await gateways.waitUntil(() => caller.listStatuses().length === 3 || caller.socket.destroyed);
	await gateways.waitUntil(() => other.listStatuses().length === 1 || other.socket.destroyed);
	expect(caller.listStatuses()).toEqual([200, status, 200]);
	expect(other.listStatuses()).toEqual([200]);
	const outcomes = [...caller.getText().matchAll(/^fescuering-outcome: (?<outcome>\S+)\r$/gimv)].map(match => match.groups!.outcome);
	expect(outcomes).toEqual(['ran', ...(outcome === '' ? [] : [outcome]), 'ran']);
	expect(entry.failures).toEqual([[expect.stringMatching(place === 'answer' ? /Invalid character/v : /injected/v), id]]);
	expect(entry.cancelled).toEqual(cancelled);
	await gateways.waitUntil(() => server!.countOpenRequests() === 0);
	caller.socket.destroy();
	other.socket.destroy();
});
