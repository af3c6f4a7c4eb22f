/** The platform's services as the entry sees them, and the messages they exchange. */
import {type ResultAsync} from 'neverthrow';
import * as z from 'zod';

/** Why a call to the platform failed. `lost` means that the effect may have happened all the same. */
export type PlatformError = {
	readonly kind: 'refused' | 'lost' | 'invalid';
	readonly message: string;
};

export const logRecordSchema = z.object({
	offset: z.int(),
	/** Identity given by the writer; a repeated append carries the same. */
	id: z.string(),
	/** Milliseconds since the epoch by the clock of the log service. */
	appendedAt: z.number(),
	value: z.unknown(),
});

export const logPageSchema = z.object({
	/** Offset of the oldest record still kept; larger than the one asked for when records have expired. */
	firstOffset: z.int(),
	/** Offset to ask for next. */
	nextOffset: z.int(),
	records: z.array(logRecordSchema),
});

export type LogRecord = z.infer<typeof logRecordSchema>;
export type LogPage = z.infer<typeof logPageSchema>;

/** The append-only log with offsets. */
export type LogHost = {
	/** Appends one record; resolves to its offset. */
	append(stream: string, id: string, value: unknown, timeoutMilliseconds: number): ResultAsync<number, PlatformError>;
	/** Reads records from an offset on; waits up to the given time when there are none yet. */
	read(stream: string, fromOffset: number, options: ReadOptions): ResultAsync<LogPage, PlatformError>;
};

export type ReadOptions = {
	readonly limit: number;
	readonly waitMilliseconds: number;
	readonly timeoutMilliseconds: number;
};

export const instanceRecordSchema = z.object({
	name: z.string(),
	role: z.enum(['entry', 'upstream']),
	/** Service of an upstream. */
	service: z.string().optional(),
	region: z.string(),
	failureDomain: z.string(),
	/** Host and port for calls. */
	address: z.string(),
	/** Host and port for other entries. */
	peerAddress: z.string().optional(),
	state: z.enum(['live', 'leaving']),
});

export const instancePageSchema = z.object({instances: z.array(instanceRecordSchema)});

export type InstanceRecord = z.infer<typeof instanceRecordSchema>;

/** The list of live and leaving instances, which lags. */
export type InstanceListHost = {
	list(timeoutMilliseconds: number): ResultAsync<readonly InstanceRecord[], PlatformError>;
};
