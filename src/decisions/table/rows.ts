/**
Schemas and types of the rows of the table of weights and limits.

A row is identified by its kind and its key fields.
*/
import * as z from 'zod';

const name = z.string().regex(/^[a-z0-9][a-z0-9\-]{0,62}$/v, 'use lower-case letters, digits and hyphens');
const share = z.number().min(0).max(1);
const positiveInteger = z.int().min(1);

/** A service: a set of upstreams that provide the same operations. */
export const serviceRowSchema = z.strictObject({
	kind: z.literal('service'),
	service: name,
	/** Maximum number of calls that one upstream runs concurrently. */
	slotsPerUpstream: positiveInteger.max(10_000),
	/** Maximum number of connections to one upstream, across all entries. */
	connectionsPerUpstream: positiveInteger.max(100_000).default(200),
	/** Maximum number of probes and polls of one upstream in any second, across all entries. */
	probesPerSecondPerUpstream: z.number().min(0).max(1000).default(10),
	/** Maximum share of the slots that long operations occupy. */
	longShare: share.default(0.5),
	/** Maximum number of retries as a share of the first attempts. */
	retryShare: share.default(0.1),
	/** Maximum share of the upstreams that are ejected at the same time. */
	ejectionShare: share.default(0.3),
});

/** An operation of a service: a method and a path prefix below the service. */
export const operationRowSchema = z.strictObject({
	kind: z.literal('operation'),
	service: name,
	operation: name,
	method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
	/** Prefix of the path below `/{service}`, starting with a slash. */
	pathPrefix: z.string().regex(/^\/[\u0021-\u007E]*$/v, 'start with a slash and use printable characters'),
	idempotent: z.boolean(),
	duration: z.enum(['short', 'long', 'learned']).default('learned'),
	/** Timeout for calls whose caller specifies none. */
	timeoutMilliseconds: positiveInteger.max(3_600_000).default(10_000),
	/** Admission priority under overload; calls with a lower number are admitted first. */
	priority: z.int().min(0).max(9).default(5),
});

/** A place: the weight and the limits of one failure domain for a service. */
export const placeRowSchema = z.strictObject({
	kind: z.literal('place'),
	service: name,
	failureDomain: name,
	/** Relative share of the calls that go to upstreams of this failure domain. */
	weight: z.number().min(0).max(1000).default(1),
	/** Maximum calls per second from all entries of this failure domain together; absent means no limit. */
	callsPerSecond: z.number().min(0).max(10_000_000).optional(),
	/** Maximum calls in flight from all entries of this failure domain together; absent means no limit. */
	callsInFlight: positiveInteger.max(10_000_000).optional(),
});

/** Limits of a service across the whole fleet. */
export const limitRowSchema = z.strictObject({
	kind: z.literal('limit'),
	service: name,
	callsPerSecond: z.number().min(0).max(10_000_000).optional(),
	callsInFlight: positiveInteger.max(10_000_000).optional(),
});

/** Weight and slots of one upstream, where they differ from weight 1 and from the slots of the service. Weight 0 takes the upstream out of service. */
export const upstreamRowSchema = z.strictObject({
	kind: z.literal('upstream'),
	service: name,
	upstream: name,
	weight: z.number().min(0).max(1000).default(1),
	slots: positiveInteger.max(10_000).optional(),
});

export const rowSchema = z.discriminatedUnion('kind', [
	serviceRowSchema,
	operationRowSchema,
	placeRowSchema,
	limitRowSchema,
	upstreamRowSchema,
]);

export type ServiceRow = z.infer<typeof serviceRowSchema>;
export type OperationRow = z.infer<typeof operationRowSchema>;
export type PlaceRow = z.infer<typeof placeRowSchema>;
export type LimitRow = z.infer<typeof limitRowSchema>;
export type UpstreamRow = z.infer<typeof upstreamRowSchema>;
export type Row = z.infer<typeof rowSchema>;

/** Key that identifies a row within the table, e.g. `place/payout-office/riverside`. */
export type RowKey = string;

/** The rows of one version of the table. */
export type Table = {
	/** Offset of the log record that created this version; -1 before the first. */
	readonly version: number;
	readonly rows: ReadonlyMap<RowKey, Row>;
};

/** The table before the first edit. */
export const emptyTable: Table = {version: -1, rows: new Map()};
