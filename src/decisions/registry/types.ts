/** What upstreams register of themselves. */
import * as z from 'zod';

export const registrationSchema = z.object({
	id: z.string(),
	service: z.string(),
	/** Host and port. */
	address: z.string(),
	failureDomain: z.string(),
	/** Requests that run at the same time. */
	slots: z.int().positive(),
	state: z.enum(['ready', 'draining']),
	/** Time for which the upstream stays slow after its start, in milliseconds from the registration. */
	warmUpMilliseconds: z.number().nonnegative(),
	/** Start of the upstream, in milliseconds since the epoch by its own clock; a later start is another incarnation. */
	incarnation: z.number(),
	/** Counts the heartbeats of one incarnation. */
	sequence: z.number(),
});

export type Registration = z.infer<typeof registrationSchema>;

/** One record of the registry: what an upstream says, that its entry was removed, or that the record can't be used. */
export type RegistryRecord
	= | {readonly kind: 'registered'; readonly id: string; readonly registration: Registration}
		| {readonly kind: 'removed'; readonly id: string}
		| {readonly kind: 'unusable'; readonly id: string; readonly reason: string};
