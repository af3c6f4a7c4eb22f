/** Counts what one entry observes into one record for each interval. Times are milliseconds since the epoch. */
import {recordDuration} from './durations.ts';
import {addCount} from './number-list.ts';
import {type MeasurementObservation, type Observation} from './observation.ts';
import {hourMilliseconds, type IntervalRecord} from './records.ts';
import {
	createTally, encodeTally, getCell, getMeasurement, getUpstream, raiseBudget, type ServiceTally,
} from './tally.ts';

const secondMilliseconds = 1000;
const microsecondsPerMillisecond = 1000;

/** The entry whose records these are. */
export type RecorderOptions = {
	readonly entry: string;
	/** Random at each start of the entry. */
	readonly incarnation: string;
	readonly failureDomain: string;
};

export type ReviewRecorder = {
	/** Counts a call that ended now. */
	record(observation: Observation, now: number): void;
	/** Counts a request that measured an upstream and ended now. */
	recordMeasurement(observation: MeasurementObservation, now: number): void;
	/** States how many requests may measure one upstream of a service in a second. */
	setBudget(service: string, requestsPerSecond: number): void;
	/** Ends the interval and returns the records since the last cut, one for each hour that it touches. */
	cut(now: number, isFinal: boolean): readonly IntervalRecord[];
};

/** Creates the recorder of one incarnation of an entry. */
export function createReviewRecorder(options: RecorderOptions, startedAt: number): ReviewRecorder {
	const finished: IntervalRecord[] = [];
	const budgets = new Map<string, number>();
	let sequence = 0;
	let from = startedAt;
	let tallies = new Map<string, ServiceTally>();

	function finish(to: number, isFinal: boolean): void {
		finished.push({
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

	/** Ends the record of the hour before, so that no record spans two hours. */
	function finishHour(now: number): void {
		const hourStart = getHourStart(now);
		if (getHourStart(from) < hourStart) {
			finish(hourStart, false);
		}
	}

	function getTally(service: string): ServiceTally {
		const known = tallies.get(service);
		if (known) {
			return known;
		}

		const created = createTally(service);
		raiseBudget(created, budgets.get(service));
		tallies.set(service, created);
		return created;
	}

	return {
		record(observation, now) {
			finishHour(now);
			addObservation(getTally(observation.service), observation, now);
		},
		recordMeasurement(observation, now) {
			finishHour(now);
			addMeasurement(getTally(observation.service), observation, now);
		},
		setBudget(service, requestsPerSecond) {
			budgets.set(service, requestsPerSecond);
			raiseBudget(tallies.get(service), requestsPerSecond);
		},
		cut(now, isFinal) {
			finishHour(now);
			finish(Math.max(now, from), isFinal);
			return finished.splice(0);
		},
	};
}

/** Gets the start of the hour that holds a time. */
export function getHourStart(time: number): number {
	return time - (time % hourMilliseconds);
}

function getSecondOfHour(time: number): number {
	return Math.floor((time - getHourStart(time)) / secondMilliseconds);
}

function addObservation(tally: ServiceTally, observation: Observation, now: number): void {
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
	const place = getMeasurement(upstream, observation.failureDomain);
	place.microseconds += Math.round(Math.max(0, observation.durationMilliseconds) * microsecondsPerMillisecond);
	if (observation.kind === 'probe') {
		place.probes++;
	} else {
		place.polls++;
	}

	addCount(upstream.requests, getSecondOfHour(now), 1);
}
