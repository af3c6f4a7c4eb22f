/**
Waits for answers, and once more if this entry stood still meanwhile.

After a pause of the process, timers run before the sockets are read, where the answers may be waiting.
*/

export type PatientTimer = {stop(): void};

/** Lateness of a timer from which on answers may have arrived that were not read, in milliseconds. */
const lateMilliseconds = 5;

/** Calls the listener after a wait, unless it is stopped; `getNow` returns the present time in milliseconds of a monotonic clock. */
export function startPatientTimer(milliseconds: number, getNow: () => number, listener: () => void): PatientTimer {
	const dueAt = getNow() + milliseconds;
	let timer = setTimeout(() => {
		if (getNow() < dueAt + lateMilliseconds) {
			listener();
		} else {
			timer = setTimeout(listener, milliseconds);
		}
	}, milliseconds);
	return {
		stop() {
			clearTimeout(timer);
		},
	};
}
