/** Learns how long the work of each route takes at usual pace. */

export type WorkLearner = {
	/** An answer of a route came after `milliseconds` of work at a pace. */
	note(route: string, service: string, milliseconds: number, pace: number): void;
	/** Time of the route's work, in milliseconds. */
	getRoute(route: string): number;
	/** Mean time of all work of a service, in milliseconds. */
	getService(service: string): number;
};

/** Assumed before the first answers, in milliseconds. */
const initialMilliseconds = 100;
const weight = 0.05;
/** The first answers weigh more, so that the assumption is soon forgotten. */
const firstAnswers = 20;

type Mean = {milliseconds: number; answers: number};

/** Creates a learner that knows nothing. */
export function createWorkLearner(): WorkLearner {
	const routes = new Map<string, Mean>();
	const services = new Map<string, Mean>();

	function learn(means: Map<string, Mean>, key: string, milliseconds: number): void {
		const mean = means.get(key) ?? {milliseconds: initialMilliseconds, answers: 0};
		means.set(key, mean);
		mean.answers++;
		const share = mean.answers <= firstAnswers ? 1 / mean.answers : weight;
		mean.milliseconds += share * (milliseconds - mean.milliseconds);
	}

	return {
		note(route, service, milliseconds, pace) {
			learn(routes, route, milliseconds / pace);
			learn(services, service, milliseconds / pace);
		},
		getRoute: route => routes.get(route)?.milliseconds ?? initialMilliseconds,
		getService: service => services.get(service)?.milliseconds ?? initialMilliseconds,
	};
}
