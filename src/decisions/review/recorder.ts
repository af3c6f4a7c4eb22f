/** Aggregates the observations of one entry into one record per interval. Times are milliseconds since the epoch. */
import {recordDuration} from './duration-histogram.ts';
import {addCount} from './varint-list.ts';
import {type MeasurementObservation, type CallObservation} from './observation.ts';
import {hourMilliseconds, type IntervalRecord} from './records.ts';
import {
	createTally, encodeTally, getCell, getMeasurement, getUpstream, raiseBudget, type ServiceTally,
} from './tally.ts';

const secondMilliseconds = 1000;
const microsecondsPerMillisecond = 1000;

/** The entry that writes the records. */
export type RecorderOptions = {
	readonly entry: string;
	/** Random ID that the entry chooses at each start. */
	readonly incarnation: string;
	readonly failureDomain: string;
};

export type ReviewRecorder = {
	/** Records a call that ended at `now`. */
	recordCall(observation: CallObservation, now: number): void;
	/** Records a measurement request that ended at `now`. */
	recordMeasurement(observation: MeasurementObservation, now: number): void;
	/** Sets the limit of measurement requests per second to one upstream of a service. */
	setMeasurementBudget(service: string, requestsPerSecond: number): void;
	/** Ends the interval and returns the records since the last call of this method, one for each hour that the interval overlaps. */
	endInterval(now: number, isFinal: boolean): readonly IntervalRecord[];
};

/** Creates the recorder of one incarnation of an entry. */
export function createReviewRecorder(options: RecorderOptions, startedAt: number): ReviewRecorder {
	const finishedRecords: IntervalRecord[] = [];
	const budgets = new Map<string, number>();
	let sequence = 0;
	let from = startedAt;
	let tallies = new Map<string, ServiceTally>();

	function finishRecord(to: number, isFinal: boolean): void {
		finishedRecords.push({
			kind: 'interval',
			id: `${options.incarnation}/${sequence}`,
			holding: {
				...options,
				isFinal,
				ranges: [{
					first: sequence, last: sequence, from, to,
				}],
			},
			services: [...tallies.values()].map(tally => encodeTally(tally)),
		});
		sequence++;
		from = to;
		tallies = new Map();
	}

	/** Finishes the current record if it began in an earlier hour, so that no record spans two hours. */
	function finishPastHour(now: number): void {
		const hourStart = getHourStart(now);
		if (getHourStart(from) < hourStart) {
			finishRecord(hourStart, false);
		}
	}

	function getTally(service: string): ServiceTally {
		const existing = tallies.get(service);
		if (existing) {
			return existing;
		}

		const created = createTally(service);
		raiseBudget(created, budgets.get(service));
		tallies.set(service, created);
		return created;
	}

	return {
		recordCall(observation, now) {
			finishPastHour(now);
			addObservation(getTally(observation.service), observation, now);
		},
		recordMeasurement(observation, now) {
			finishPastHour(now);
			addMeasurement(getTally(observation.service), observation, now);
		},
		setMeasurementBudget(service, requestsPerSecond) {
			budgets.set(service, requestsPerSecond);
			raiseBudget(tallies.get(service), requestsPerSecond);
		},
		endInterval(now, isFinal) {
			finishPastHour(now);
			finishRecord(Math.max(now, from), isFinal);
			return finishedRecords.splice(0);
		},
	};
}

/** Gets the start of the hour that contains a time. */
export function getHourStart(time: number): number {
	return time - (time % hourMilliseconds);
}

function getSecondOfHour(time: number): number {
	return Math.floor((time - getHourStart(time)) / secondMilliseconds);
}

function addObservation(tally: ServiceTally, observation: CallObservation, now: number): void {
	const cell = getCell(tally, observation.failureDomain, observation.operation);
	addCount(cell.calls, `${observation.result}/${observation.outcome}`, 1);
	cell.attempts += observation.attempts;
	if (observation.result !== 'refused') {
		recordDuration(cell.total, observation.totalMilliseconds);
		recordDuration(cell.queued, observation.queuedMilliseconds);
		if (!observation.isLong) {
			recordDuration(cell.behindLong, observation.behindLongMilliseconds);
		}
	}

	if (observation.result === 'answered') {
		recordDuration(cell.upstream, observation.upstreamMilliseconds);
	}

	const arrivedAt = now - Math.max(0, observation.totalMilliseconds);
	if (getHourStart(arrivedAt) !== getHourStart(now)) {
		tally.callsAcrossHours++;
		return;
	}

	const second = getSecondOfHour(arrivedAt);
	addCount(cell.offered, second, 1);
	if (observation.result === 'answered') {
		addCount(cell.answered, second, 1);
	}
}

function addMeasurement(tally: ServiceTally, observation: MeasurementObservation, now: number): void {
	const upstream = getUpstream(tally, observation.upstream);
	const measurement = getMeasurement(upstream, observation.failureDomain);
	measurement.microseconds += Math.round(Math.max(0, observation.durationMilliseconds) * microsecondsPerMillisecond);
	if (observation.kind === 'probe') {
		measurement.probes++;
	} else {
		measurement.polls++;
	}

	addCount(upstream.requests, getSecondOfHour(now), 1);
}
