/** Runs the end-to-end tests with different network delays to the upstreams. */
import {defineWholePathTests} from './support/whole-path.ts';

defineWholePathTests([0, 2, 5, 9]);
