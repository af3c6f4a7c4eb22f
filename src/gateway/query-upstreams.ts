/** Queries the load of several upstreams in parallel. */
import {type CheckPurpose} from '../decisions/measurement/check-budget.ts';
import {type Connection} from '../entry/connection-pool.ts';
import {
	type CheckResult, type LoadCheck, type LoadCheckHost, startLoadCheck,
} from './load-check.ts';
import * as patientTimer from './patient-timer.ts';
import {type Upstream, type Upstreams} from './upstreams.ts';

/** Result for each upstream; undefined for one that was not checked. */
export type QueryResults = ReadonlyMap<Upstream, CheckResult | undefined>;

/** Dependencies of a load query. */
export type UpstreamQueryHost = LoadCheckHost & {
	readonly upstreams: Upstreams;
	/** Charges one load check of an upstream to the budget. Returns false if the budget doesn't allow it. */
	tryChargeCheck(upstream: Upstream, purpose: CheckPurpose, now: number): boolean;
	/** Records whether the upstreams of a service report their load. */
	recordLoadSupport(service: string, reportsLoad: boolean): void;
	/** Uses the connection of a healthy response that came after the end of its query. Returns whether it was used. */
	takeLate(upstream: Upstream, connection: Connection): boolean;
	/** Whether the upstreams of a service report their load; assumed to be true until a response shows otherwise. */
	reportsLoad(service: string): boolean;
};

/** Upstreams of one service to query, and the purpose of the checks. */
export type UpstreamQuery = {
	readonly service: string;
	readonly upstreams: readonly Upstream[];
	readonly purpose: CheckPurpose;
};

/** Maximum wait for the responses, in milliseconds: ten times the round trip to another failure domain. */
const waitMilliseconds = 25;
/** Wait for more responses after one from an upstream without delay, in milliseconds. */
const lingerMilliseconds = 2;
/** Maximum age of a load reading that replaces a new check, in milliseconds. */
export const maximumReadingAgeMilliseconds = 3;
/** Pace up to which an upstream with a free slot causes no delay; 1 is the usual time of work. */
const usualPace = 1;

/** Queries upstreams. The listener is called once, unless the returned function cancels the query, which calls `onCancel`. */
export function queryUpstreams(host: UpstreamQueryHost, {service, upstreams, purpose}: UpstreamQuery, listener: (results: QueryResults, checks: number) => void, onCancel: () => void = () => undefined): () => void {
	const results = new Map<Upstream, CheckResult | undefined>();
	const runningChecks = new Map<Upstream, LoadCheck>();
	let checks = 0;
	let timer: patientTimer.PatientTimer | undefined;
	let isOver = false;

	function end(): void {
		if (isOver) {
			return;
		}

		isOver = true;
		timer?.stop();
		for (const [upstream, check] of runningChecks) {
			check.detach(connection => host.takeLate(upstream, connection));
			results.set(upstream, {kind: 'silent'});
		}

		listener(results, checks);
	}

	function startCheck(upstream: Upstream): void {
		const now = host.getNow();
		const {reading} = upstream.record.getState(now);
		const isFresh = reading !== undefined && now - reading.readAt <= maximumReadingAgeMilliseconds;
		if (isFresh || !host.reportsLoad(service) || !host.tryChargeCheck(upstream, purpose, now)) {
			results.set(upstream, undefined);
			return;
		}

		checks++;
		runningChecks.set(upstream, startLoadCheck(host, upstream, result => {
			runningChecks.delete(upstream);
			results.set(upstream, result);
			handleResult(upstream, result);
		}));
	}

	function handleResult(upstream: Upstream, result: CheckResult): void {
		if (result.kind === 'healthy') {
			host.recordLoadSupport(service, upstream.record.getState(host.getNow()).reading !== undefined);
		} else if (result.kind === 'misdirected') {
			host.upstreams.exclude(upstream.registration.id);
		}

		if (runningChecks.size === 0) {
			end();
		} else if (result.kind === 'healthy' && isWithoutDelay(upstream)) {
			timer?.stop();
			timer = patientTimer.startPatientTimer(lingerMilliseconds, host.getNow, end);
		}
	}

	function isWithoutDelay(upstream: Upstream): boolean {
		const {reading} = upstream.record.getState(host.getNow());
		return reading !== undefined && reading.running + 1 < reading.slots && (reading.durationFactor ?? usualPace) <= usualPace;
	}

	for (const upstream of upstreams) {
		startCheck(upstream);
	}

	if (runningChecks.size === 0) {
		end();
	} else {
		timer = patientTimer.startPatientTimer(waitMilliseconds, host.getNow, end);
	}

	return () => {
		if (isOver) {
			return;
		}

		isOver = true;
		timer?.stop();
		for (const [upstream, check] of runningChecks) {
			check.detach(connection => host.takeLate(upstream, connection));
		}

		for (const [upstream, result] of results) {
			if (result?.kind === 'healthy') {
				upstream.pool.release(result.connection);
			}
		}

		onCancel();
	};
}
