/** Interfaces of the platform's services (log and instance list) and the schemas of their messages. */
import {type ResultAsync} from 'neverthrow';
import * as z from 'zod';

/**
Reason why a request to a platform service failed.

- `refused`: no connection was made, or the service rejected the request; the request had no effect.
- `lost`: no response arrived; the request may have taken effect.
- `invalid`: the response doesn't match its schema; the request may have taken effect.
*/
export type PlatformError = {
	readonly kind: 'refused' | 'lost' | 'invalid';
	readonly message: string;
};

export const logRecordSchema = z.object({
	offset: z.int(),
	/** ID set by the writer; a retried append carries the same ID. */
	id: z.string(),
	/** Milliseconds since the epoch by the clock of the log service. */
	appendedAt: z.number(),
	value: z.unknown(),
});

export const logPageSchema = z.object({
	/** Offset of the oldest retained record; larger than the requested offset when records have expired. */
	firstOffset: z.int(),
	/** Offset for the next read. */
	nextOffset: z.int(),
	records: z.array(logRecordSchema),
});

export type LogRecord = z.infer<typeof logRecordSchema>;
export type LogPage = z.infer<typeof logPageSchema>;

/** Client of the log service, which keeps append-only streams of records with offsets. */
export type LogHost = {
	/** Appends one record; resolves to its offset. */
	append(stream: string, id: string, value: unknown, timeoutMilliseconds: number): ResultAsync<number, PlatformError>;
	/** Reads records from an offset on; waits up to `waitMilliseconds` when there are none yet. */
	read(stream: string, fromOffset: number, options: LogReadOptions): ResultAsync<LogPage, PlatformError>;
};

export type LogReadOptions = {
	readonly limit: number;
	readonly waitMilliseconds: number;
	readonly timeoutMilliseconds: number;
};

export const instanceRecordSchema = z.object({
	name: z.string(),
	role: z.enum(['entry', 'upstream']),
	/** Service that an upstream belongs to. */
	service: z.string().optional(),
	region: z.string(),
	failureDomain: z.string(),
	/** Host and port for callers. */
	address: z.string(),
	/** Host and port for other entries. */
	peerAddress: z.string().optional(),
	state: z.enum(['live', 'leaving']),
});

export const instancePageSchema = z.object({instances: z.array(instanceRecordSchema)});

export type InstanceRecord = z.infer<typeof instanceRecordSchema>;

/** Client of the platform's list of live and leaving instances; the list lags behind the actual state. */
export type InstanceListHost = {
	list(timeoutMilliseconds: number): ResultAsync<readonly InstanceRecord[], PlatformError>;
};
