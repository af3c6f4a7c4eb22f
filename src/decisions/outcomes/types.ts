/** What is known about a call that did not get its answer: it ran, it did not run, or neither can be said. */
export type Outcome = 'ran' | 'not-run' | 'unknown';
