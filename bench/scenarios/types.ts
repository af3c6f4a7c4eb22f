/** Types that all scenarios of the bench share. */

/** Name of a deployment whose sizes a scenario uses. */
export type Deployment = 'county' | 'consortium';

/** Options of one run, from the command line of the bench. */
export type ScenarioOptions = {
	readonly deployment: Deployment;
	/** Name of a routing policy. */
	readonly policy: string;
	readonly seed: number;
	/** Duration of the load. */
	readonly seconds: number;
};

/** Runs one scenario. The program prints the result as one line of JSON. */
export type Scenario = (options: ScenarioOptions) => Promise<Record<string, unknown>>;
