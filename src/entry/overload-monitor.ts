/** Watches the delay of the event loop and tells the weight that the entry wants. */
import * as performanceHooks from 'node:perf_hooks';
import {createOverloadDetector} from '../decisions/membership/overload.ts';

const sampleMilliseconds = 1000;
const resolutionMilliseconds = 10;
const nanosecondsPerMillisecond = 1_000_000;

/** Starts watching; returns the function that stops it. */
export function startOverloadMonitor(onWeight: (weight: number) => void): () => void {
	const detector = createOverloadDetector();
	const histogram = performanceHooks.monitorEventLoopDelay({resolution: resolutionMilliseconds});
	histogram.enable();
	const timer = setInterval(() => {
		const mean = histogram.count === 0 ? 0 : histogram.mean / nanosecondsPerMillisecond;
		histogram.reset();
		onWeight(detector.recordSample(mean - resolutionMilliseconds));
	}, sampleMilliseconds);
	return () => {
		clearInterval(timer);
		histogram.disable();
	};
}
