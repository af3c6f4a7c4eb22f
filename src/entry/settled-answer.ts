/** Creates the answers to calls that the claim stage settled without a dispatch. */
import {assertNever} from '../decisions/assert-never.ts';
import {type CallEvidence} from '../decisions/outcomes/resolve-outcome.ts';
import {type Outcome} from '../decisions/outcomes/types.ts';
import {type BufferedAnswer} from '../peers/forwarding-types.ts';
import {type SettledCall} from './claim-stage-types.ts';
import {createProblemAnswer, type ProblemKind} from './problem.ts';

const retryAfterMilliseconds = 1000;

/** Temporary problems: the caller may repeat the call with the same key. */
const retryableProblems: ReadonlySet<ProblemKind> = new Set(['key-in-use', 'key-owner-unavailable', 'key-owner-left', 'claim-undecided']);

/** Creates the answer to a settled call: the stored answer of the first call, or a problem with the outcome and a remedy. */
export function createSettledAnswer(settled: SettledCall): BufferedAnswer {
	const {answer, outcome} = settled;
	if (answer) {
		return {...answer, outcome};
	}

	const kind = getProblemKind(settled.evidence, outcome);
	const {head, body} = createProblemAnswer({
		kind, outcome, retryAfterMilliseconds: retryableProblems.has(kind) ? retryAfterMilliseconds : undefined,
	});
	return {...head, body};
}

function getProblemKind(evidence: CallEvidence, outcome: Outcome): ProblemKind {
	switch (evidence.kind) {
		case 'recorded': {
			return getRecordedProblemKind(outcome);
		}

		case 'in-flight': {
			return 'key-in-use';
		}

		case 'owner-silent':
		case 'owner-not-connected':
		case 'owner-gone': {
			return 'key-owner-unavailable';
		}

		case 'claim-undecided': {
			return 'claim-undecided';
		}

		case 'refused-before-dispatch': {
			return 'key-owner-left';
		}

		case 'key-expired':
		case 'log-gap':
		case 'never-connected':
		case 'refused-by-upstream':
		case 'written-in-part':
		case 'written-whole':
		case 'answered-in-part':
		case 'answered-whole': {
			return 'key-forgotten';
		}

		default: {
			return assertNever(evidence);
		}
	}
}

function getRecordedProblemKind(outcome: Outcome): ProblemKind {
	switch (outcome) {
		case 'ran': {
			return 'key-ran';
		}

		case 'not-run': {
			return 'key-refused';
		}

		case 'unknown': {
			return 'key-unknown';
		}

		default: {
			return assertNever(outcome);
		}
	}
}
