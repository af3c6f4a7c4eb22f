/** Plans the faults of a fault run and their times from a seed. */
import * as pureRand from 'pure-rand';

export type Fault
	= | {readonly kind: 'entry-killed' | 'entry-paused' | 'entry-left' | 'entry-cut-off' | 'entry-cut-from-log'; readonly entry: number}
		| {readonly kind: 'upstream-killed' | 'upstream-cuts' | 'upstream-silent' | 'upstream-loses-answers' | 'upstream-refuses'; readonly upstream: number}
		| {readonly kind: 'log-down' | 'log-slow' | 'log-silent' | 'log-loses-answers' | 'instances-stale'};

export type FaultKind = Fault['kind'];

export type PlannedFault = {
	readonly fault: Fault;
	/** Milliseconds from the start of the load. */
	readonly startsAt: number;
	/** Milliseconds from the start of the load. */
	readonly endsAt: number;
};

export type FaultPlanOptions = {
	readonly seed: number;
	/** Duration of the load. */
	readonly seconds: number;
	/** Number of entries. */
	readonly entries: number;
	/** Number of upstreams. */
	readonly upstreams: number;
};

const entryKinds = ['entry-killed', 'entry-paused', 'entry-left', 'entry-cut-off', 'entry-cut-from-log'] as const;
const upstreamKinds = ['upstream-killed', 'upstream-cuts', 'upstream-silent', 'upstream-loses-answers', 'upstream-refuses'] as const;
const platformKinds = ['log-down', 'log-slow', 'log-silent', 'log-loses-answers', 'instances-stale'] as const;
const allKinds: readonly FaultKind[] = [...entryKinds, ...upstreamKinds, ...platformKinds];

const roundMilliseconds = 2500;
/** Time without faults at the end of each round. */
const quietMillisecondsPerRound = 600;

/** An entry stays paused beyond its round, until all timeouts of its calls and of its peers have expired. */
const extraPauseMilliseconds = 4000;

/**
Creates the plan of one run. The run consists of rounds, each of which ends with a time without faults. Every second
round has two concurrent faults, and every third round repeats the last fault of the previous round.
*/
export function createFaultPlan(options: FaultPlanOptions): readonly PlannedFault[] {
	const random = pureRand.xoroshiro128plus(options.seed);
	const drawInteger = (count: number): number => pureRand.unsafeUniformIntDistribution(0, count - 1, random);
	let remainingKinds: FaultKind[] = [];
	const drawKind = (): FaultKind => {
		if (remainingKinds.length === 0) {
			remainingKinds = [...allKinds];
		}

		return remainingKinds.splice(drawInteger(remainingKinds.length), 1)[0]!;
	};

	const createFault = (kind: FaultKind): Fault => {
		if (isOneOf(entryKinds, kind)) {
			return {kind, entry: drawInteger(options.entries)};
		}

		return isOneOf(upstreamKinds, kind) ? {kind, upstream: drawInteger(options.upstreams)} : {kind};
	};

	const plan: PlannedFault[] = [];
	let previousFault: Fault | undefined;
	const roundCount = Math.floor(options.seconds * 1000 / roundMilliseconds);
	for (let round = 0; round < roundCount; round++) {
		const faults = [round % 3 === 2 && previousFault ? previousFault : createFault(drawKind())];
		if (round % 2 === 1) {
			faults.push(createFault(drawKind()));
		}

		previousFault = faults.at(-1);
		for (const fault of faults) {
			const startsAt = (round * roundMilliseconds) + drawInteger(300);
			const extraMilliseconds = fault.kind === 'entry-paused' ? extraPauseMilliseconds : 0;
			plan.push({fault, startsAt, endsAt: ((round + 1) * roundMilliseconds) - quietMillisecondsPerRound + extraMilliseconds});
		}
	}

	return plan;
}

/** Formats a planned fault as one line. */
export function formatPlannedFault({fault, startsAt, endsAt}: PlannedFault): string {
	const target = 'entry' in fault ? ` entry-${fault.entry + 1}` : ('upstream' in fault ? ` upstream-${fault.upstream + 1}` : '');
	return `${startsAt}-${endsAt} ms ${fault.kind}${target}`;
}

function isOneOf<Kind extends FaultKind>(list: readonly Kind[], kind: FaultKind): kind is Kind {
	return (list as readonly FaultKind[]).includes(kind);
}
