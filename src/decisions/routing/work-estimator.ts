/** Estimates how long the work of each route and service takes at nominal speed. */

/** Moving averages of the work per route and per service. */
export type WorkEstimator = {
	/**
	Records an answer that arrived after `milliseconds`.

	`pace` is the reported duration of work at the upstream relative to nominal speed; 2 means twice as long.
	*/
	recordAnswer(route: string, service: string, milliseconds: number, pace: number): void;
	/** Returns the expected work of a route, in milliseconds at nominal speed. */
	getRouteMilliseconds(route: string): number;
	/** Returns the mean work of all requests of a service, in milliseconds at nominal speed. */
	getServiceMilliseconds(service: string): number;
};

/** Work that is assumed before the first answer, in milliseconds. */
const initialMilliseconds = 100;
/** Weight of a new answer in the moving average, after the first answers. */
const sampleWeight = 0.05;
/** Number of first answers that are averaged with equal weights, so that the assumption soon has no effect. */
const equallyWeightedAnswers = 20;

type MovingAverage = {milliseconds: number; answers: number};

/** Creates an estimator without any observations. */
export function createWorkEstimator(): WorkEstimator {
	const routes = new Map<string, MovingAverage>();
	const services = new Map<string, MovingAverage>();

	function updateAverage(averages: Map<string, MovingAverage>, key: string, milliseconds: number): void {
		const average = averages.get(key) ?? {milliseconds: initialMilliseconds, answers: 0};
		averages.set(key, average);
		average.answers++;
		const weight = average.answers <= equallyWeightedAnswers ? 1 / average.answers : sampleWeight;
		average.milliseconds += weight * (milliseconds - average.milliseconds);
	}

	return {
		recordAnswer(route, service, milliseconds, pace) {
			updateAverage(routes, route, milliseconds / pace);
			updateAverage(services, service, milliseconds / pace);
		},
		getRouteMilliseconds: route => routes.get(route)?.milliseconds ?? initialMilliseconds,
		getServiceMilliseconds: service => services.get(service)?.milliseconds ?? initialMilliseconds,
	};
}
