/** Polls the load of upstreams from which no fresh report is known, within the budget of the whole fleet. */
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

export type MeasurementHost = {
	readonly log: LogHost;
	readonly logger: Logger;
	readonly random: RandomSource;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	/** Upstreams of all services, with the budget of each. */
	getUpstreams(): readonly PolledUpstream[];
	/** Entries in the fleet; it decides how many positions this entry asks for, but not how much is polled. */
	countEntries(): number;
	/** Takes a report that this entry has measured. */
	onReport(service: string, upstream: string, report: LoadReport): void;
	onMeasurement(observation: Omit<MeasurementObservation, 'failureDomain'>): void;
};

export type Measurement = {
	start(): void;
	stop(): Promise<void>;
	/** Takes note of a report that came without a poll. */
	noteReport(upstream: string, reportedAt: number): void;
	/** Positions in use now. */
	getPositions(): readonly number[];
};

const pollTimeoutMilliseconds = 1000;
const appendTimeoutMilliseconds = 2000;
const readWaitMilliseconds = 5000;
const readTimeoutMilliseconds = 7000;
const recordsPerRead = 200;
const readRetryMilliseconds = 1000;

/** Creates the measurement of an incarnation; call `start` to begin. */
export function createMeasurement(host: MeasurementHost, incarnation: string): Measurement {
	const holder = createPositionHolder(incarnation, host.random);
	const plan = createPollPlan();
	const agent = new undici.Agent({connections: 1, pipelining: 1, connect: {timeout: pollTimeoutMilliseconds}});
	let nextOffset = 0;
	let isStopped = false;
	let roundTimer: NodeJS.Timeout | undefined;
	let readTimer: NodeJS.Timeout | undefined;

	async function read(): Promise<void> {
		const result = await host.log.read(positionStream, nextOffset, {
			limit: recordsPerRead, waitMilliseconds: readWaitMilliseconds, timeoutMilliseconds: readTimeoutMilliseconds,
		});
		if (isStopped) {
			return;
		}

		if (result.isOk()) {
			takePage(result.value);
		}

		readTimer = setTimeout(() => {
			void read();
		}, result.isOk() ? 0 : readRetryMilliseconds);
	}

	function takePage(page: LogPage): void {
		if (page.firstOffset > nextOffset) {
			holder.reset(false);
		}

		nextOffset = page.nextOffset;
		const records: PositionClaimRecord[] = [];
		for (const {id, appendedAt, value} of page.records) {
			const claim = positionClaimSchema.safeParse(value);
			if (claim.success) {
				records.push({id, appendedAt, claim: claim.data});
			}
		}

		holder.applyRecords(records, host.getNow());
	}

	async function claim(): Promise<void> {
		const id = crypto.randomUUID();
		const wanted = Math.ceil(positionCount / Math.max(1, host.countEntries()));
		const planned = holder.tryPlanClaim(id, wanted, host.getNow());
		if (!planned) {
			return;
		}

		const result = await host.log.append(positionStream, id, planned, appendTimeoutMilliseconds);
		if (result.isErr()) {
			host.logger.debug('position-claim-failed', {kind: result.error.kind, reason: result.error.message});
		}
	}

	function runRound(): void {
		void claim();
		const now = host.getNow();
		for (const poll of plan.planRound(host.getUpstreams(), holder.listUsable(now), now)) {
			void runPoll(poll);
		}

		roundTimer = setTimeout(runRound, roundMilliseconds);
	}

	async function runPoll(poll: PlannedPoll): Promise<void> {
		const startedAt = host.getNow();
		const report = await readLoad(poll.address);
		const now = host.getNow();
		plan.end(poll, report !== undefined, now);
		const {service, upstream} = poll;
		host.onMeasurement({
			service, upstream, kind: 'poll', durationMilliseconds: now - startedAt,
		});
		if (report) {
			plan.recordReport(upstream, now);
			host.onReport(service, upstream, report);
		}
	}

	async function readLoad(address: string): Promise<LoadReport | undefined> {
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
			void read();
			runRound();
		},
		async stop() {
			isStopped = true;
			clearTimeout(roundTimer);
			clearTimeout(readTimer);
			await agent.destroy();
		},
		noteReport: plan.recordReport,
		getPositions: () => holder.listUsable(host.getNow()),
	};
}

/** Gets the upstreams to poll; those that drain are polled too, since that is how the end of a drain is seen. */
export function getPolledUpstreams(upstreams: UpstreamsByService, view: TableView | undefined): readonly PolledUpstream[] {
	return [...upstreams].flatMap(([service, descriptions]) => {
		const budgetPerSecond = view?.services.get(service)?.service.probesPerSecondPerUpstream ?? 0;
		return descriptions.map(({name, address}) => ({
			service, upstream: name, address, budgetPerSecond,
		}));
	});
}
