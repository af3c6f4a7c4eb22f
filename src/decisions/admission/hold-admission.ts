/**
Decides which requests are held while no upstream has capacity, and which are refused at once.

Load pattern: demand exceeds the capacity of a service for several seconds. Requests that wait until their latency
objective is over take capacity from those that could still meet it, and their callers learn too late that they should
retry elsewhere. A request is therefore held only if the requests before it will probably be sent in time, and is given
up when it can no longer meet its objective but others can.
*/
import * as admissionControl from './admission-control.ts';
import * as heldRequests from './held-requests.ts';

/** Admission of held requests, kept for each service and priority. */
export type HoldAdmission = {
	/** Records that a held request was sent to an upstream. */
	recordDeparture(service: string, priority: number, now: number): void;
	/** Whether to hold a request, given the requests of the service that are held already. */
	canHold(service: string, request: heldRequests.HeldRequest, held: Iterable<heldRequests.HeldRequest>, now: number): boolean;
};

/** Share of the time left until the latest useful start that the estimated wait may take; the rest covers errors of the estimate. */
const waitShare = 0.7;

/** Creates the admission; `getAssumedRate` returns the departures per millisecond to assume for a service while none were measured. */
export function createHoldAdmission(getAssumedRate: (service: string) => number): HoldAdmission {
	const admissionsByService = new Map<string, Map<number, admissionControl.AdmissionControl>>();

	function getAdmissions(service: string): Map<number, admissionControl.AdmissionControl> {
		const admissions = admissionsByService.get(service) ?? new Map<number, admissionControl.AdmissionControl>();
		admissionsByService.set(service, admissions);
		return admissions;
	}

	function getAdmission(service: string, priority: number): admissionControl.AdmissionControl {
		const admissions = getAdmissions(service);
		const admission = admissions.get(priority) ?? admissionControl.createAdmissionControl(waitShare, () => getAssumedRate(service));
		admissions.set(priority, admission);
		return admission;
	}

	return {
		recordDeparture(service, priority, now) {
			getAdmission(service, priority);
			for (const [rank, admission] of getAdmissions(service)) {
				// A slot that a less urgent request got would have been free for a more urgent one.
				if (rank <= priority) {
					admission.recordDeparture(now);
				}
			}
		},
		canHold(service, request, held, now) {
			let requestsAhead = 0;
			for (const {priority} of held) {
				requestsAhead += priority <= request.priority ? 1 : 0;
			}

			// Without requests before it, the request gets the next free slot, however late that is.
			return requestsAhead === 0 || getAdmission(service, request.priority).canMeetDeadline(requestsAhead, request.expectedMilliseconds, request.objectiveEndsAt, now);
		},
	};
}

/** Lists the held requests of a service to give up: all that can't meet their objective while others still can. */
export function listHopelessRequests<Item extends heldRequests.HeldRequest>(held: Iterable<Item>, now: number): readonly Item[] {
	const requests = [...held];
	const hopeless = requests.filter(request => !heldRequests.canMeetObjective(request, now));
	return hopeless.length === requests.length ? [] : hopeless;
}
