/** Records metrics of the requests to the log service. */
import {type ResultAsync} from 'neverthrow';
import {type Metrics} from '../observability/metrics.ts';
import {type LogHost, type PlatformError} from './types.ts';

/** Wraps a log client so that each request is counted by stream, kind and result. */
export function createMeteredLog(log: LogHost, metrics: Pick<Metrics, 'recordLogRequest'>): LogHost {
	const count = <Value>(stream: string, kind: 'append' | 'read', result: ResultAsync<Value, PlatformError>): ResultAsync<Value, PlatformError> =>
		result
			.andTee(() => {
				metrics.recordLogRequest(stream, kind, 'ok');
			})
			.orTee(error => {
				metrics.recordLogRequest(stream, kind, error.kind);
			});

	return {
		append: (stream, id, value, timeoutMilliseconds) => count(stream, 'append', log.append(stream, id, value, timeoutMilliseconds)),
		read: (stream, fromOffset, options) => count(stream, 'read', log.read(stream, fromOffset, options)),
	};
}
