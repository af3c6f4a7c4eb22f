/** Runs the end-to-end tests without network delays. */
import {defineWholePathTests} from './support/whole-path.ts';

defineWholePathTests([]);
