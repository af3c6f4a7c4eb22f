/** Client of the instance list's HTTP interface. */
import {requestJson} from './http-client.ts';
import {instancePageSchema, type InstanceListHost} from './types.ts';

/** Creates a client of the instance list at a base URL such as `http://127.0.0.1:7001`. */
export function createHttpInstanceList(baseUrl: string): InstanceListHost {
	return {
		list: timeoutMilliseconds => requestJson({
			url: `${baseUrl}/instances`,
			method: 'GET',
			timeoutMilliseconds,
			schema: instancePageSchema,
		}).map(page => page.instances),
	};
}
