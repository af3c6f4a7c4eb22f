/** Records of the review figures as they are kept in the log. All times are milliseconds since the epoch, by UTC. */
import * as z from 'zod';

/** Log stream of the records that entries append each interval. */
export const intervalStream = 'review';
/** Log stream of the figures of whole hours. */
export const hourStream = 'review-hours';
/** Log stream of the figures of whole days and of the marks. */
export const dayStream = 'review-days';

export const hourMilliseconds = 3_600_000;
export const dayMilliseconds = 24 * hourMilliseconds;

/** Service name under which the records of all intervals are held, also of those without a call. */
export const presenceService = '';

const time = z.number();
const count = z.int().min(0);

/** Figures of one operation at the entries of one failure domain. Histograms and counts per second are encoded. */
export const cellSchema = z.strictObject({
	failureDomain: z.string(),
	operation: z.string(),
	total: z.string(),
	queued: z.string(),
	behindLong: z.string(),
	upstream: z.string(),
	/** Calls by result and outcome, e.g. `answered/ran`. */
	calls: z.record(z.string(), count),
	attempts: count,
	/** Calls by the second of the hour in which they came in. */
	offered: z.string(),
	/** Those of them that were answered within their deadline. */
	answered: z.string(),
});

/** Requests that measured one upstream. */
export const upstreamCellSchema = z.strictObject({
	upstream: z.string(),
	places: z.array(z.strictObject({
		failureDomain: z.string(), probes: count, polls: count, microseconds: count,
	})),
	/** Requests by the second of the hour. */
	requests: z.string(),
});

/** Figures of one service. */
export const serviceFiguresSchema = z.strictObject({
	service: z.string(),
	/** Requests that may measure one upstream in a second, over all entries; the largest that was in force. */
	budgetPerSecond: z.number().optional(),
	/** Calls that began in another hour than they ended in; the counts per second leave them out. */
	callsAcrossHours: count,
	cells: z.array(cellSchema),
	upstreams: z.array(upstreamCellSchema),
	/** Seconds by the rate of calls over all entries; `offered` and `answered` follow the order of the cells. */
	rates: z.array(z.strictObject({
		rate: count, seconds: count, offered: z.array(count), answered: z.array(count),
	})),
	/** Seconds of single upstreams by the number of requests that measured them. */
	requestRates: z.array(z.strictObject({requests: count, upstreamSeconds: count})),
});

const rangeSchema = z.strictObject({
	first: count, last: count, from: time, to: time,
});

/** Records of one incarnation of an entry, by their sequence numbers. */
export const holdingSchema = z.strictObject({
	entry: z.string(),
	incarnation: z.string(),
	failureDomain: z.string(),
	/** Whether the record that the entry wrote at its graceful end is among them. */
	isFinal: z.boolean(),
	ranges: z.array(rangeSchema).min(1),
});

/** What one entry saw in one interval, or in several within one hour. */
export const intervalRecordSchema = z.strictObject({
	kind: z.literal('interval'),
	id: z.string(),
	holding: holdingSchema,
	services: z.array(serviceFiguresSchema),
});

/** What all entries saw of one service in one hour or day; it stands for exactly the records that it holds. */
export const rollUpSchema = z.strictObject({
	kind: z.enum(['hour', 'day']),
	id: z.string(),
	start: time,
	holdings: z.array(holdingSchema),
	figures: serviceFiguresSchema,
});

/** Offsets before which every record is held by a roll-up, so that readers may start there. */
export const markSchema = z.strictObject({
	kind: z.literal('mark'), id: z.string(), intervalOffset: z.int(), hourOffset: z.int(),
});

export const dayStreamSchema = z.discriminatedUnion('kind', [rollUpSchema, markSchema]);

export type CellFigures = z.infer<typeof cellSchema>;
export type ServiceFigures = z.infer<typeof serviceFiguresSchema>;
export type Holding = z.infer<typeof holdingSchema>;
export type Range = z.infer<typeof rangeSchema>;
export type IntervalRecord = z.infer<typeof intervalRecordSchema>;
export type RollUp = z.infer<typeof rollUpSchema>;
export type Mark = z.infer<typeof markSchema>;
