/** One fault run: a fleet, its callers, the faults of a seed, and the verdict. */
import {startCallers} from './callers.ts';
import {
	entryCount, serviceName, startCluster, upstreamCount,
} from './cluster.ts';
import {createFaultPlan, formatPlannedFault, type PlannedFault} from './fault-plan.ts';
import {judge, type Verdict} from './judge.ts';

export type FaultRunOptions = {
	readonly seed: number;
	readonly seconds: number;
	readonly concurrency?: number;
	/** Takes progress, one line at a time. */
	readonly print: (line: string) => void;
};

const defaultConcurrency = 24;
const callTimeoutMilliseconds = 1500;

/** Time after the last fault in which open calls end and runs are reported. */
const settleMilliseconds = 1000;

/** Runs the fleet under the faults that the seed draws. */
export async function runFaults(options: FaultRunOptions): Promise<Verdict> {
	const plan = createFaultPlan({
		seed: options.seed, seconds: options.seconds, entries: entryCount, upstreams: upstreamCount,
	});
	for (const planned of plan) {
		options.print(`planned ${formatPlannedFault(planned)}`);
	}

	const cluster = await startCluster();
	options.print(`logs ${cluster.logFolder}`);
	try {
		const callers = startCallers({
			seed: options.seed,
			service: serviceName,
			entries: cluster.entries,
			concurrency: options.concurrency ?? defaultConcurrency,
			timeoutMilliseconds: callTimeoutMilliseconds,
		});
		await Promise.all([sleep(options.seconds * 1000), ...plan.map(async planned => bringAbout(planned, cluster))]);
		const attempts = await callers.stop();
		await sleep(settleMilliseconds);
		return judge(attempts, cluster.runs);
	} finally {
		await cluster.close();
	}
}

async function bringAbout(planned: PlannedFault, cluster: Awaited<ReturnType<typeof startCluster>>): Promise<void> {
	await sleep(planned.startsAt);
	const startedAt = Date.now();
	await cluster.start(planned.fault);
	await sleep(Math.max(0, planned.endsAt - planned.startsAt - (Date.now() - startedAt)));
	await cluster.end(planned.fault);
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
