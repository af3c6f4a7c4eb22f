/** Runs all trials of the model in virtual time. */
import {isPolicyName} from '../policies.ts';
import {runTrial, trials} from '../model/trials.ts';
import {type ScenarioOptions} from './types.ts';

/** Runs each trial once and returns the results by name of the trial. */
export async function run(options: ScenarioOptions): Promise<Record<string, unknown>> {
	const {policy, deployment, seed, seconds} = options;
	if (!isPolicyName(policy)) {
		throw new Error(`Unknown routing policy ${policy}.`);
	}

	return Object.fromEntries(Object.keys(trials).map(name => [name, runTrial(name, {
		policy: {kind: policy}, deployment, seed, seconds,
	})]));
}
