/** Routes of the caller port that are no calls: health, metrics, status and the entries to use. */
import {type PlainAnswer, type PlainRoute} from './caller-server.ts';
import {type LifeCycleState} from './life-cycle.ts';
import {type EntryMembership} from './membership.ts';

export type PlainRoutesHost = {
	readonly metricsContentType: string;
	readonly getEntries: EntryMembership['getEntries'];
	getState(): LifeCycleState;
	getMetrics(): Promise<string>;
	/** State of this entry, of the instances and of the upstreams, as JSON. */
	getStatus(): unknown;
};

/** Creates the routes by their paths. */
export function createPlainRoutes(host: PlainRoutesHost): ReadonlyMap<string, PlainRoute> {
	return new Map<string, PlainRoute>([
		['/healthz', () => createTextAnswer(200, 'ok\n')],
		['/readyz', () => {
			const state = host.getState();
			return state === 'serving' ? createTextAnswer(200, 'ready\n') : createTextAnswer(503, `${state}\n`);
		}],
		['/metrics', async () => ({statusCode: 200, contentType: host.metricsContentType, body: await host.getMetrics()})],
		['/v1/status', () => createJsonAnswer(host.getStatus())],
		['/v1/entries', request => {
			const parameters = new URL(request.url ?? '/', 'http://entry').searchParams;
			return createJsonAnswer(host.getEntries({
				region: parameters.get('region') ?? undefined,
				failureDomain: parameters.get('failureDomain') ?? undefined,
			}));
		}],
	]);
}

function createTextAnswer(statusCode: number, body: string): PlainAnswer {
	return {statusCode, contentType: 'text/plain; charset=utf-8', body};
}

function createJsonAnswer(value: unknown): PlainAnswer {
	return {statusCode: 200, contentType: 'application/json', body: JSON.stringify(value)};
}
