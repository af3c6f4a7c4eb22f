import {defineWholePathTests} from './support/whole-path.ts';

defineWholePathTests([0, 2, 5, 9]);
