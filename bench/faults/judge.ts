/** Judges a fault run: what callers were told against what ran. */
import {type Outcome} from '../../src/decisions/outcomes/types.ts';

/** One call as its caller saw it. */
export type Attempt = {
	readonly key: string;
	readonly path: 'bound' | 'caller-made';
	readonly entry: string;
	/** `none`: no whole answer arrived. */
	readonly outcome: Outcome | 'none';
	readonly statusCode: number;
	/** What the entry, or else the caller, says of the reason. */
	readonly cause: string;
	/** Whether the answer is to another call or not whole. */
	readonly isWrongAnswer: boolean;
	readonly durationMilliseconds: number;
};

export type Verdict = {
	readonly operations: number;
	readonly attempts: number;
	readonly ranOperations: number;
	readonly violations: readonly string[];
	readonly ranTwice: number;
	readonly falseNotRun: number;
	readonly falseRan: number;
	readonly wrongAnswers: number;
	/** Operations by what their caller knows in the end: `ran`, `not-run`, `unknown`, `none`. */
	readonly known: Readonly<Record<string, number>>;
	/** Causes of the operations that stay `unknown` or `none`. */
	readonly unknownCauses: Readonly<Record<string, number>>;
};

/** Judges all attempts against the run counters of the upstreams. */
export function judge(attempts: readonly Attempt[], runs: ReadonlyMap<string, number>): Verdict {
	const byKey = groupByKey(attempts);
	const violations: string[] = [];
	const counts = {
		ranTwice: 0, falseNotRun: 0, falseRan: 0, wrongAnswers: 0,
	};
	const known: Record<string, number> = {};
	const unknownCauses: Record<string, number> = {};
	const report = (kind: keyof typeof counts, key: string) => {
		counts[kind]++;
		violations.push(`${kind} ${key} runs=${runs.get(key) ?? 0}: ${formatAttempts(byKey.get(key) ?? [])}`);
	};

	for (const [key, count] of runs) {
		if (count > 1) {
			report('ranTwice', key);
		}
	}

	for (const [key, list] of byKey) {
		const hasRun = runs.has(key);
		if (hasRun && list.some(attempt => attempt.outcome === 'not-run')) {
			report('falseNotRun', key);
		}

		if (!hasRun && list.some(attempt => attempt.outcome === 'ran')) {
			report('falseRan', key);
		}

		if (list.some(attempt => attempt.isWrongAnswer)) {
			report('wrongAnswers', key);
		}

		const summary = summarize(list);
		known[summary.outcome] = (known[summary.outcome] ?? 0) + 1;
		if (summary.outcome === 'unknown' || summary.outcome === 'none') {
			unknownCauses[summary.cause] = (unknownCauses[summary.cause] ?? 0) + 1;
		}
	}

	return {
		operations: byKey.size, attempts: attempts.length, ranOperations: runs.size, violations, ...counts, known, unknownCauses,
	};
}

function groupByKey(attempts: readonly Attempt[]): ReadonlyMap<string, readonly Attempt[]> {
	const groups = new Map<string, Attempt[]>();
	for (const attempt of attempts) {
		const group = groups.get(attempt.key) ?? [];
		group.push(attempt);
		groups.set(attempt.key, group);
	}

	return groups;
}

/** Gets what a caller knows after all of its attempts: a definite outcome goes before `unknown`. */
function summarize(attempts: readonly Attempt[]): Pick<Attempt, 'outcome' | 'cause'> {
	return attempts.find(attempt => attempt.outcome === 'ran')
		?? attempts.find(attempt => attempt.outcome === 'not-run')
		?? attempts.findLast(attempt => attempt.outcome === 'unknown')
		?? attempts.at(-1)!;
}

function formatAttempts(attempts: readonly Attempt[]): string {
	return attempts.map(attempt => `${attempt.entry}=${attempt.statusCode}/${attempt.outcome}/${attempt.cause}`).join(' ');
}

/** Formats a verdict as one line. */
export function formatVerdict(seed: number, verdict: Verdict): string {
	const unknown = (verdict.known.unknown ?? 0) + (verdict.known.none ?? 0);
	const share = (100 * unknown / Math.max(1, verdict.operations)).toFixed(1);
	return [
		verdict.violations.length === 0 ? 'PASS' : 'FAIL',
		`seed=${seed}`,
		`operations=${verdict.operations}`,
		`attempts=${verdict.attempts}`,
		`ran=${verdict.ranOperations}`,
		`ran-twice=${verdict.ranTwice}`,
		`false-not-run=${verdict.falseNotRun}`,
		`false-ran=${verdict.falseRan}`,
		`wrong-answers=${verdict.wrongAnswers}`,
		`told-ran=${verdict.known.ran ?? 0}`,
		`told-not-run=${verdict.known['not-run'] ?? 0}`,
		`unknown=${unknown} (${share}%)`,
		...Object.entries(verdict.unknownCauses).map(([cause, count]) => `unknown-${cause}=${count}`),
	].join(' ');
}
