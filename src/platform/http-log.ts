/** Client of the log service's HTTP interface. */
import * as z from 'zod';
import {requestJson} from './http-client.ts';
import {logPageSchema, type LogHost} from './types.ts';

const appendResponseSchema = z.object({offset: z.int()});

/** Creates a client of the log service at a base URL such as `http://127.0.0.1:7000`. */
export function createHttpLog(baseUrl: string): LogHost {
	return {
		append: (stream, id, value, timeoutMilliseconds) => requestJson({
			url: `${baseUrl}/streams/${stream}/records`,
			method: 'POST',
			body: {id, value},
			timeoutMilliseconds,
			schema: appendResponseSchema,
		}).map(response => response.offset),
		read: (stream, fromOffset, options) => requestJson({
			url: `${baseUrl}/streams/${stream}/records?from=${fromOffset}&limit=${options.limit}&waitMilliseconds=${options.waitMilliseconds}`,
			method: 'GET',
			timeoutMilliseconds: options.timeoutMilliseconds,
			schema: logPageSchema,
		}),
	};
}
