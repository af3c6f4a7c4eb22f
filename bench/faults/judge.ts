/** Verifies a fault run: compares the outcomes that callers received with the executions that upstreams counted. */
import {type Outcome} from '../../src/decisions/outcomes/types.ts';

/** One attempt at an operation, as observed by its caller. */
export type Attempt = {
	/** Idempotency key, which identifies the operation. */
	readonly key: string;
	/** Origin of the key: bound to the incarnation of an entry, or made by the caller alone. */
	readonly path: 'bound' | 'caller-made';
	readonly entry: string;
	/** `none`: no complete answer with an outcome arrived. */
	readonly outcome: Outcome | 'none';
	readonly statusCode: number;
	/** Problem type of the answer or, without an answer, the error of the caller. */
	readonly cause: string;
	/** Whether a successful answer is incomplete or belongs to another call. */
	readonly isWrongAnswer: boolean;
	readonly durationMilliseconds: number;
};

export type FaultRunVerdict = {
	readonly operations: number;
	readonly attempts: number;
	/** Operations that ran at least once. */
	readonly ranOperations: number;
	readonly violations: readonly string[];
	readonly ranTwice: number;
	readonly falseNotRun: number;
	readonly falseRan: number;
	readonly wrongAnswers: number;
	/** Number of operations by the final outcome at their caller: `ran`, `not-run`, `unknown`, `none`. */
	readonly operationsByOutcome: Readonly<Record<string, number>>;
	/** Number of operations that end as `unknown` or `none`, by cause. */
	readonly unknownCauses: Readonly<Record<string, number>>;
};

/** Compares all attempts with the number of runs of each key at the upstreams. */
export function judgeFaultRun(attempts: readonly Attempt[], runCounts: ReadonlyMap<string, number>): FaultRunVerdict {
	const attemptsByKey = groupByKey(attempts);
	const violations: string[] = [];
	const counts = {
		ranTwice: 0, falseNotRun: 0, falseRan: 0, wrongAnswers: 0,
	};
	const operationsByOutcome: Record<string, number> = {};
	const unknownCauses: Record<string, number> = {};
	const recordViolation = (kind: keyof typeof counts, key: string) => {
		counts[kind]++;
		violations.push(`${kind} ${key} runs=${runCounts.get(key) ?? 0}: ${formatAttempts(attemptsByKey.get(key) ?? [])}`);
	};

	for (const [key, count] of runCounts) {
		if (count > 1) {
			recordViolation('ranTwice', key);
		}
	}

	for (const [key, keyAttempts] of attemptsByKey) {
		const hasRun = runCounts.has(key);
		if (hasRun && keyAttempts.some(attempt => attempt.outcome === 'not-run')) {
			recordViolation('falseNotRun', key);
		}

		if (!hasRun && keyAttempts.some(attempt => attempt.outcome === 'ran')) {
			recordViolation('falseRan', key);
		}

		if (keyAttempts.some(attempt => attempt.isWrongAnswer)) {
			recordViolation('wrongAnswers', key);
		}

		const finalOutcome = getFinalOutcome(keyAttempts);
		operationsByOutcome[finalOutcome.outcome] = (operationsByOutcome[finalOutcome.outcome] ?? 0) + 1;
		if (finalOutcome.outcome === 'unknown' || finalOutcome.outcome === 'none') {
			unknownCauses[finalOutcome.cause] = (unknownCauses[finalOutcome.cause] ?? 0) + 1;
		}
	}

	return {
		operations: attemptsByKey.size, attempts: attempts.length, ranOperations: runCounts.size, violations, ...counts, operationsByOutcome, unknownCauses,
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

/** Gets the final outcome of an operation at its caller; a definite outcome takes precedence over `unknown`. */
function getFinalOutcome(attempts: readonly Attempt[]): Pick<Attempt, 'outcome' | 'cause'> {
	return attempts.find(attempt => attempt.outcome === 'ran')
		?? attempts.find(attempt => attempt.outcome === 'not-run')
		?? attempts.findLast(attempt => attempt.outcome === 'unknown')
		?? attempts.at(-1)!;
}

function formatAttempts(attempts: readonly Attempt[]): string {
	return attempts.map(attempt => `${attempt.entry}=${attempt.statusCode}/${attempt.outcome}/${attempt.cause}`).join(' ');
}

/** Formats a verdict as one line. */
export function formatFaultRunVerdict(seed: number, verdict: FaultRunVerdict): string {
	const unknown = (verdict.operationsByOutcome.unknown ?? 0) + (verdict.operationsByOutcome.none ?? 0);
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
		`told-ran=${verdict.operationsByOutcome.ran ?? 0}`,
		`told-not-run=${verdict.operationsByOutcome['not-run'] ?? 0}`,
		`unknown=${unknown} (${share}%)`,
		...Object.entries(verdict.unknownCauses).map(([cause, count]) => `unknown-${cause}=${count}`),
	].join(' ');
}
