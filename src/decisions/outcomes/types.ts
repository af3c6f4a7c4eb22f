/** Whether the operation of a call without an answer ran: it ran, it did not run, or this cannot be determined. */
export type Outcome = 'ran' | 'not-run' | 'unknown';
