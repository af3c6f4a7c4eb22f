import {defineWholePathTests} from './support/whole-path.ts';

defineWholePathTests([]);
