/** Draws from a seed which faults happen when. */
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
	readonly endsAt: number;
};

export type FaultPlanOptions = {
	readonly seed: number;
	readonly seconds: number;
	readonly entries: number;
	readonly upstreams: number;
};

const entryKinds = ['entry-killed', 'entry-paused', 'entry-left', 'entry-cut-off', 'entry-cut-from-log'] as const;
const upstreamKinds = ['upstream-killed', 'upstream-cuts', 'upstream-silent', 'upstream-loses-answers', 'upstream-refuses'] as const;
const platformKinds = ['log-down', 'log-slow', 'log-silent', 'log-loses-answers', 'instances-stale'] as const;
const allKinds: readonly FaultKind[] = [...entryKinds, ...upstreamKinds, ...platformKinds];

const roundMilliseconds = 2500;
const quietMilliseconds = 600;

/** A paused entry stays so beyond its round, until every timeout of its calls and of its peers has passed. */
const pauseExtraMilliseconds = 4000;

/**
Creates the plan of one run. Rounds follow each other with a quiet time between them; in every other round two
faults happen at once, and in every third round a fault of the round before happens again.
*/
export function createFaultPlan(options: FaultPlanOptions): readonly PlannedFault[] {
	const random = pureRand.xoroshiro128plus(options.seed);
	const draw = (count: number): number => pureRand.unsafeUniformIntDistribution(0, count - 1, random);
	let kinds: FaultKind[] = [];
	const drawKind = (): FaultKind => {
		if (kinds.length === 0) {
			kinds = [...allKinds];
		}

		return kinds.splice(draw(kinds.length), 1)[0]!;
	};

	const createFault = (kind: FaultKind): Fault => {
		if (isOneOf(entryKinds, kind)) {
			return {kind, entry: draw(options.entries)};
		}

		return isOneOf(upstreamKinds, kind) ? {kind, upstream: draw(options.upstreams)} : {kind};
	};

	const plan: PlannedFault[] = [];
	let last: Fault | undefined;
	const rounds = Math.floor(options.seconds * 1000 / roundMilliseconds);
	for (let round = 0; round < rounds; round++) {
		const faults = [round % 3 === 2 && last ? last : createFault(drawKind())];
		if (round % 2 === 1) {
			faults.push(createFault(drawKind()));
		}

		last = faults.at(-1);
		for (const fault of faults) {
			const startsAt = (round * roundMilliseconds) + draw(300);
			const extraMilliseconds = fault.kind === 'entry-paused' ? pauseExtraMilliseconds : 0;
			plan.push({fault, startsAt, endsAt: ((round + 1) * roundMilliseconds) - quietMilliseconds + extraMilliseconds});
		}
	}

	return plan;
}

/** Describes a planned fault in one line. */
export function formatPlannedFault({fault, startsAt, endsAt}: PlannedFault): string {
	const target = 'entry' in fault ? ` entry-${fault.entry + 1}` : ('upstream' in fault ? ` upstream-${fault.upstream + 1}` : '');
	return `${startsAt}-${endsAt} ms ${fault.kind}${target}`;
}

function isOneOf<Kind extends FaultKind>(list: readonly Kind[], kind: FaultKind): kind is Kind {
	return (list as readonly FaultKind[]).includes(kind);
}
