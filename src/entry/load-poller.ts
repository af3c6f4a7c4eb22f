/** Polls the load of upstreams without a recent report, within the request budget of the whole fleet. */
import * as crypto from 'node:crypto';
import * as undici from 'undici';
import {
	createPollPlan, type PlannedPoll, type PolledUpstream, roundMilliseconds,
} from '../decisions/measurement/poll-plan.ts';
import {
	positionClaimSchema, type PositionClaimRecord, createPositionHolder, positionCount, positionStream,
} from '../decisions/measurement/position-leases.ts';
import {type RandomSource} from '../decisions/random.ts';
import {type MeasurementObservation} from '../decisions/review/observation.ts';
import {type LoadReport} from '../decisions/routing/types.ts';
import {type TableView} from '../decisions/table/service-view.ts';
import {type Logger} from '../observability/logger.ts';
import {type LogHost, type LogPage} from '../platform/types.ts';
import {tryParseLoadJson} from './load-report.ts';
import {type UpstreamsByService} from './membership.ts';

export type LoadPollerHost = {
	readonly log: LogHost;
	readonly logger: Logger;
	readonly random: RandomSource;
	/** Current time in milliseconds of a monotonic clock. */
	getNow(): number;
	/** Gets the upstreams of all services, each with its budget. */
	getUpstreams(): readonly PolledUpstream[];
	/** Counts the entries of the fleet; affects how many positions this entry claims, but not the total number of polls. */
	countEntries(): number;
	/** Called with each load report that this entry polled. */
	onReport(service: string, upstream: string, report: LoadReport): void;
	/** Called after each poll, also a failed one. */
	onMeasurement(observation: Omit<MeasurementObservation, 'failureDomain'>): void;
};

/** Load polling of one entry. */
export type LoadPoller = {
	start(): void;
	stop(): Promise<void>;
	/** Records that a load report arrived without a poll. */
	recordReport(upstream: string, reportedAt: number): void;
	/** Gets the measurement positions that this entry may use now. */
	getUsablePositions(): readonly number[];
};

const pollTimeoutMilliseconds = 1000;
const appendTimeoutMilliseconds = 2000;
const readWaitMilliseconds = 5000;
const readTimeoutMilliseconds = 7000;
const recordsPerRead = 200;
const readRetryMilliseconds = 1000;

/** Creates the load polling of an incarnation; call `start` to begin. */
export function createLoadPoller(host: LoadPollerHost, incarnation: string): LoadPoller {
	const positionHolder = createPositionHolder(incarnation, host.random);
	const pollPlan = createPollPlan();
	const agent = new undici.Agent({connections: 1, pipelining: 1, connect: {timeout: pollTimeoutMilliseconds}});
	let nextOffset = 0;
	let isStopped = false;
	let roundTimer: NodeJS.Timeout | undefined;
	let readTimer: NodeJS.Timeout | undefined;

	async function readPositionClaims(): Promise<void> {
		const result = await host.log.read(positionStream, nextOffset, {
			limit: recordsPerRead, waitMilliseconds: readWaitMilliseconds, timeoutMilliseconds: readTimeoutMilliseconds,
		});
		if (isStopped) {
			return;
		}

		if (result.isOk()) {
			applyPage(result.value);
		}

		readTimer = setTimeout(() => {
			void readPositionClaims();
		}, result.isOk() ? 0 : readRetryMilliseconds);
	}

	function applyPage(page: LogPage): void {
		if (page.firstOffset > nextOffset) {
			positionHolder.reset(false);
		}

		nextOffset = page.nextOffset;
		const records: PositionClaimRecord[] = [];
		for (const {id, appendedAt, value} of page.records) {
			const parsedClaim = positionClaimSchema.safeParse(value);
			if (parsedClaim.success) {
				records.push({id, appendedAt, claim: parsedClaim.data});
			}
		}

		positionHolder.applyRecords(records, host.getNow());
	}

	async function claimPositions(): Promise<void> {
		const id = crypto.randomUUID();
		const positionsWanted = Math.ceil(positionCount / Math.max(1, host.countEntries()));
		const plannedClaim = positionHolder.tryPlanClaim(id, positionsWanted, host.getNow());
		if (!plannedClaim) {
			return;
		}

		const result = await host.log.append(positionStream, id, plannedClaim, appendTimeoutMilliseconds);
		if (result.isErr()) {
			host.logger.debug('position-claim-failed', {kind: result.error.kind, reason: result.error.message});
		}
	}

	function runRound(): void {
		void claimPositions();
		const now = host.getNow();
		for (const poll of pollPlan.planRound(host.getUpstreams(), positionHolder.listUsable(now), now)) {
			void runPoll(poll);
		}

		roundTimer = setTimeout(runRound, roundMilliseconds);
	}

	async function runPoll(poll: PlannedPoll): Promise<void> {
		const startedAt = host.getNow();
		const report = await fetchLoad(poll.address);
		const now = host.getNow();
		pollPlan.end(poll, report !== undefined, now);
		const {service, upstream} = poll;
		host.onMeasurement({
			service, upstream, kind: 'poll', durationMilliseconds: now - startedAt,
		});
		if (report) {
			pollPlan.recordReport(upstream, now);
			host.onReport(service, upstream, report);
		}
	}

	async function fetchLoad(address: string): Promise<LoadReport | undefined> {
		try {
			const response = await undici.request(`http://${address}/load`, {dispatcher: agent, signal: AbortSignal.timeout(pollTimeoutMilliseconds)});
			const text = await response.body.text();
			return response.statusCode === 200 ? tryParseLoadJson(JSON.parse(text)) : undefined;
		} catch {
			return undefined;
		}
	}

	return {
		start() {
			void readPositionClaims();
			runRound();
		},
		async stop() {
			isStopped = true;
			clearTimeout(roundTimer);
			clearTimeout(readTimer);
			await agent.destroy();
		},
		recordReport: pollPlan.recordReport,
		getUsablePositions: () => positionHolder.listUsable(host.getNow()),
	};
}

/** Gets the upstreams to poll; draining ones are included, because polls detect the end of a drain. */
export function getPolledUpstreams(upstreams: UpstreamsByService, view: TableView | undefined): readonly PolledUpstream[] {
	return [...upstreams].flatMap(([service, descriptions]) => {
		const budgetPerSecond = view?.services.get(service)?.service.probesPerSecondPerUpstream ?? 0;
		return descriptions.map(({name, address}) => ({
			service, upstream: name, address, budgetPerSecond,
		}));
	});
}
