/** The configuration in force: routes, services and what callers may send. Times are milliseconds. */
import * as z from 'zod';

/** What may be repeated: `idempotent` requests freely, `non-idempotent` ones only while they have not run. */
export const requestKindSchema = z.enum(['idempotent', 'non-idempotent']);

/** Part of a route's requests that goes to one service. */
export const destinationSchema = z.object({
	service: z.string(),
	/** Share relative to the other destinations of the route. */
	weight: z.number().nonnegative(),
});

export const routeSchema = z.object({
	name: z.string(),
	/** Host in lower case, without a port. */
	host: z.string(),
	/** Begins and ends with a slash. */
	pathPrefix: z.string(),
	kind: requestKindSchema,
	destinations: z.array(destinationSchema).min(1),
	/** Longest time that a request is kept waiting. */
	timeoutMilliseconds: z.number().positive(),
	/** Time within which an answer is worth its full value. */
	objectiveMilliseconds: z.number().positive(),
	/** Upstreams on which one request may run. */
	maximumAttempts: z.int().positive(),
	/** Rank; 0 goes first. */
	priority: z.int().nonnegative(),
});

export const serviceSchema = z.object({
	name: z.string(),
	/** Path of the health check. */
	healthPath: z.string(),
	/** Connections that one upstream accepts from all entries together. */
	maximumConnections: z.int().positive(),
});

export const callerLimitsSchema = z.object({
	headerBytes: z.int().positive(),
	bodyBytes: z.int().nonnegative(),
	headerTimeoutMilliseconds: z.number().positive(),
	idleTimeoutMilliseconds: z.number().positive(),
});

export const configurationSchema = z.object({
	/** Increases with each change, in uneven steps. */
	version: z.int().nonnegative(),
	routes: z.array(routeSchema),
	services: z.array(serviceSchema),
	limits: callerLimitsSchema,
});

export type RequestKind = z.infer<typeof requestKindSchema>;
export type Destination = z.infer<typeof destinationSchema>;
export type Route = z.infer<typeof routeSchema>;
export type ServiceDescription = z.infer<typeof serviceSchema>;
export type CallerLimits = z.infer<typeof callerLimitsSchema>;
export type Configuration = z.infer<typeof configurationSchema>;
