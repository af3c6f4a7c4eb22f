/** What the scenarios of the bench share. */

export type Deployment = 'county' | 'consortium';

/** Options of one run, from the command line. */
export type ScenarioOptions = {
	readonly deployment: Deployment;
	/** Name of a routing policy. */
	readonly policy: string;
	readonly seed: number;
	/** Length of the load. */
	readonly seconds: number;
};

/** Runs a scenario; the result is printed as one line of JSON. */
export type Scenario = (options: ScenarioOptions) => Promise<Record<string, unknown>>;
