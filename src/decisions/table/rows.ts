/**
Rows of the table of weights and limits.

A row is identified by its kind and its key fields; the types derive from the schemas.
*/
import * as z from 'zod';

const name = z.string().regex(/^[a-z0-9][a-z0-9\-]{0,62}$/v, 'use lower-case letters, digits and hyphens');
const share = z.number().min(0).max(1);
const positiveInteger = z.int().min(1);

/** A service: a set of upstreams that answer the same operations. */
export const serviceRowSchema = z.strictObject({
	kind: z.literal('service'),
	service: name,
	/** Calls that one upstream runs at once. */
	slotsPerUpstream: positiveInteger.max(10_000),
	/** Connections to one upstream, over all entries. */
	connectionsPerUpstream: positiveInteger.max(100_000).default(200),
	/** Probes and polls of one upstream in any second, over all entries. */
	probesPerSecondPerUpstream: z.number().min(0).max(1000).default(10),
	/** Largest share of the slots that long operations hold. */
	longShare: share.default(0.5),
	/** Retries as a share of first attempts. */
	retryShare: share.default(0.1),
	/** Largest share of the upstreams that are ejected at once. */
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
	/** Time allowed when the caller names none. */
	timeoutMilliseconds: positiveInteger.max(3_600_000).default(10_000),
	/** Smaller numbers are admitted first under overload. */
	priority: z.int().min(0).max(9).default(5),
});

/** A place: what one failure domain gets of a service. */
export const placeRowSchema = z.strictObject({
	kind: z.literal('place'),
	service: name,
	failureDomain: name,
	/** Relative share of the calls that go to upstreams of this failure domain. */
	weight: z.number().min(0).max(1000).default(1),
	/** Calls per second from this failure domain's entries, over all of them; absent means no limit. */
	callsPerSecond: z.number().min(0).max(10_000_000).optional(),
	/** Calls in flight from this failure domain's entries, over all of them; absent means no limit. */
	callsInFlight: positiveInteger.max(10_000_000).optional(),
});

/** A limit of a service over the whole fleet. */
export const limitRowSchema = z.strictObject({
	kind: z.literal('limit'),
	service: name,
	callsPerSecond: z.number().min(0).max(10_000_000).optional(),
	callsInFlight: positiveInteger.max(10_000_000).optional(),
});

/** The weight of one upstream, where it differs from 1; 0 takes it out of service. */
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

/** Text that identifies a row within the table, e.g. `place/payout-office/riverside`. */
export type RowKey = string;

/** The rows in force and the version that they belong to. */
export type Table = {
	/** Offset of the log record that made this version; -1 before the first. */
	readonly version: number;
	readonly rows: ReadonlyMap<RowKey, Row>;
};

export const emptyTable: Table = {version: -1, rows: new Map()};
