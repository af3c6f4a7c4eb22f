/** Routes of the caller port that the entry itself serves: health, readiness, metrics, status and the entry list. */
import {type BuiltInAnswer, type BuiltInRoute} from './caller-server.ts';
import {type LifeCycleState} from './life-cycle.ts';
import {type EntryMembership} from './membership.ts';

/** Sources of the answers of the routes. */
export type BuiltInRoutesHost = {
	readonly metricsContentType: string;
	readonly getEntries: EntryMembership['getEntries'];
	getState(): LifeCycleState;
	getMetrics(): Promise<string>;
	/** State of this entry, of the instances and of the upstreams, as a JSON value. */
	getStatus(): unknown;
};

/** Creates the routes, by path. */
export function createBuiltInRoutes(host: BuiltInRoutesHost): ReadonlyMap<string, BuiltInRoute> {
	return new Map<string, BuiltInRoute>([
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

function createTextAnswer(statusCode: number, body: string): BuiltInAnswer {
	return {statusCode, contentType: 'text/plain; charset=utf-8', body};
}

function createJsonAnswer(value: unknown): BuiltInAnswer {
	return {statusCode: 200, contentType: 'application/json', body: JSON.stringify(value)};
}
