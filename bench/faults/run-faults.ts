/** Runs a cluster and its callers under the faults of a seed, and returns the verdict. */
import {startCallers} from './callers.ts';
import {
	entryCount, serviceName, startCluster, upstreamCount,
} from './cluster.ts';
import {createFaultPlan, formatPlannedFault, type PlannedFault} from './fault-plan.ts';
import {judgeFaultRun, type FaultRunVerdict} from './judge.ts';

export type FaultRunOptions = {
	readonly seed: number;
	/** Duration of the load. */
	readonly seconds: number;
	/** Number of concurrent callers. */
	readonly concurrency?: number;
	/** Prints one line of progress. */
	readonly print: (line: string) => void;
};

const defaultConcurrency = 24;
const callTimeoutMilliseconds = 1500;

/** Time after the load in which upstreams finish open calls and report their runs. */
const settlingMilliseconds = 1000;

/** Runs a cluster under the faults of the plan for the seed. */
export async function runFaults(options: FaultRunOptions): Promise<FaultRunVerdict> {
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
			entries: cluster.entryAddresses,
			concurrency: options.concurrency ?? defaultConcurrency,
			timeoutMilliseconds: callTimeoutMilliseconds,
		});
		await Promise.all([sleep(options.seconds * 1000), ...plan.map(async planned => runPlannedFault(planned, cluster))]);
		const attempts = await callers.stop();
		await sleep(settlingMilliseconds);
		return judgeFaultRun(attempts, cluster.runCounts);
	} finally {
		await cluster.close();
	}
}

async function runPlannedFault(planned: PlannedFault, cluster: Awaited<ReturnType<typeof startCluster>>): Promise<void> {
	await sleep(planned.startsAt);
	const startedAt = Date.now();
	await cluster.startFault(planned.fault);
	await sleep(Math.max(0, planned.endsAt - planned.startsAt - (Date.now() - startedAt)));
	await cluster.endFault(planned.fault);
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
