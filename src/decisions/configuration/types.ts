/** Schemas and types of the gateway configuration: routes, services and limits on caller requests. Times are in milliseconds. */
import * as z from 'zod';

/** Retry safety of a request: `idempotent` requests may always be retried, `non-idempotent` ones only if they have not run. */
export const requestKindSchema = z.enum(['idempotent', 'non-idempotent']);

/** A service that receives a share of a route's requests. */
export const destinationSchema = z.object({
	service: z.string(),
	/** Weight relative to the other destinations of the route. */
	weight: z.number().nonnegative(),
});

export const routeSchema = z.object({
	name: z.string(),
	/** Host name in lower case, without a port. */
	host: z.string(),
	/** Begins and ends with a slash. */
	pathPrefix: z.string(),
	kind: requestKindSchema,
	destinations: z.array(destinationSchema).min(1),
	/** Maximum time that a request may wait for its answer. */
	timeoutMilliseconds: z.number().positive(),
	/** Latency objective: an answer within this time has its full value. */
	objectiveMilliseconds: z.number().positive(),
	/** Maximum number of upstreams on which one request may run. */
	maximumAttempts: z.int().positive(),
	/** Priority rank; 0 is the highest. */
	priority: z.int().nonnegative(),
	/** Whether callers need no key, if the configuration has workspaces. */
	isPublic: z.boolean().default(false),
});

/** A workspace, whose requests carry one of its keys. */
export const workspaceSchema = z.object({
	name: z.string(),
	keys: z.array(z.string()),
	/** Priority rank, which goes before that of the route; 0 is the highest. */
	priority: z.int().nonnegative(),
	/** Requests over all entries; absent if the workspace has no limit. */
	allowance: z.object({requestsPerSecond: z.number().positive(), burst: z.number().nonnegative()}).optional(),
});

export const serviceSchema = z.object({
	name: z.string(),
	/** Path of the health check endpoint. */
	healthPath: z.string(),
	/** Maximum number of connections that one upstream accepts from all entries together. */
	maximumConnections: z.int().positive(),
	/** Requests per second that a cold upstream accepts from all entries together; absent if the service has no such limit. */
	coldRequestsPerSecond: z.number().positive().optional(),
});

export const callerLimitsSchema = z.object({
	headerBytes: z.int().positive(),
	bodyBytes: z.int().nonnegative(),
	headerTimeoutMilliseconds: z.number().positive(),
	idleTimeoutMilliseconds: z.number().positive(),
});

export const configurationSchema = z.object({
	/** Increases with each change, but not necessarily by 1. */
	version: z.int().nonnegative(),
	routes: z.array(routeSchema),
	services: z.array(serviceSchema),
	/** Workspaces; without any, callers need no keys. */
	workspaces: z.array(workspaceSchema).default([]),
	limits: callerLimitsSchema,
});

export type RequestKind = z.infer<typeof requestKindSchema>;
export type Destination = z.infer<typeof destinationSchema>;
export type Route = z.infer<typeof routeSchema>;
export type ServiceDescription = z.infer<typeof serviceSchema>;
export type Workspace = z.infer<typeof workspaceSchema>;
export type CallerLimits = z.infer<typeof callerLimitsSchema>;
export type Configuration = z.infer<typeof configurationSchema>;
