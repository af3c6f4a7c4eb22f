/** Schemas and types of the upstream registry. */
import * as z from 'zod';

/** Registration that an upstream publishes about itself, renewed by heartbeats. */
export const registrationSchema = z.object({
	id: z.string(),
	service: z.string(),
	/** Host and port. */
	address: z.string(),
	failureDomain: z.string(),
	/** Number of requests that the upstream runs concurrently. */
	slots: z.int().positive(),
	state: z.enum(['ready', 'draining']),
	/** Duration of the warm-up period in which the upstream is slow, in milliseconds from the registration. */
	warmUpMilliseconds: z.number().nonnegative(),
	/** Start of the upstream, in milliseconds since the epoch by its own clock; a later start is a new incarnation. */
	incarnation: z.number(),
	/** Sequence number of the heartbeat within one incarnation. */
	sequence: z.number(),
});

export type Registration = z.infer<typeof registrationSchema>;

/** A record of the registry: a registration, a removal, or a record that can't be used for the given reason. */
export type RegistryRecord
	= | {readonly kind: 'registered'; readonly id: string; readonly registration: Registration}
		| {readonly kind: 'removed'; readonly id: string}
		| {readonly kind: 'unusable'; readonly id: string; readonly reason: string};
