/** Schemas of the review records stored in the log. All times are milliseconds since the epoch; hours and days are UTC. */
import * as z from 'zod';

/** Log stream of the interval records, which each entry appends. */
export const intervalStream = 'review';
/** Log stream of the hourly roll-ups. */
export const hourStream = 'review-hours';
/** Log stream of the daily roll-ups and the checkpoints. */
export const dayStream = 'review-days';

export const hourMilliseconds = 3_600_000;
export const dayMilliseconds = 24 * hourMilliseconds;

/** Pseudo-service under which the interval records of all services are tracked, including records without a call. */
export const allIntervalsService = '';

const time = z.number();
const count = z.int().min(0);

/** Figures of one operation at the entries of one failure domain. Histograms and counts per second are encoded as text. */
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
	/** Calls by the second of the hour in which they arrived. */
	offered: z.string(),
	/** Calls answered within their deadline, by the second of the hour in which they arrived. */
	answered: z.string(),
});

/** Measurement requests to one upstream. */
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
	/** Limit of measurement requests per second to one upstream, over all entries; the highest limit that was in effect. */
	budgetPerSecond: z.number().optional(),
	/** Calls that arrived and ended in different hours; the counts per second exclude them. */
	callsAcrossHours: count,
	cells: z.array(cellSchema),
	upstreams: z.array(upstreamCellSchema),
	/** Number of seconds by the call rate over all entries; `offered` and `answered` are in the order of `cells`. */
	rates: z.array(z.strictObject({
		rate: count, seconds: count, offered: z.array(count), answered: z.array(count),
	})),
	/** Number of seconds, summed over the upstreams, by the number of measurement requests in the second. */
	requestRates: z.array(z.strictObject({requests: count, upstreamSeconds: count})),
});

const sequenceRangeSchema = z.strictObject({
	first: count, last: count, from: time, to: time,
});

/** Ranges of sequence numbers that identify interval records of one incarnation of an entry; stored as `holding` or `holdings`. */
export const recordRangesSchema = z.strictObject({
	entry: z.string(),
	incarnation: z.string(),
	failureDomain: z.string(),
	/** Whether the ranges include the final record, which the entry writes at a graceful shutdown. */
	isFinal: z.boolean(),
	ranges: z.array(sequenceRangeSchema).min(1),
});

/** Figures of one entry in one interval, or in several intervals of the same hour. */
export const intervalRecordSchema = z.strictObject({
	kind: z.literal('interval'),
	id: z.string(),
	holding: recordRangesSchema,
	services: z.array(serviceFiguresSchema),
});

/** Figures of one service over all entries in one hour or day; replaces exactly the interval records in `holdings`. */
export const rollUpSchema = z.strictObject({
	kind: z.enum(['hour', 'day']),
	id: z.string(),
	start: time,
	holdings: z.array(recordRangesSchema),
	figures: serviceFiguresSchema,
});

/** Offsets at which readers may start, since roll-ups include every record before them. */
export const checkpointSchema = z.strictObject({
	kind: z.literal('mark'), id: z.string(), intervalOffset: z.int(), hourOffset: z.int(),
});

export const dayStreamSchema = z.discriminatedUnion('kind', [rollUpSchema, checkpointSchema]);

export type CellFigures = z.infer<typeof cellSchema>;
export type ServiceFigures = z.infer<typeof serviceFiguresSchema>;
export type RecordRanges = z.infer<typeof recordRangesSchema>;
export type SequenceRange = z.infer<typeof sequenceRangeSchema>;
export type IntervalRecord = z.infer<typeof intervalRecordSchema>;
export type RollUp = z.infer<typeof rollUpSchema>;
export type Checkpoint = z.infer<typeof checkpointSchema>;
