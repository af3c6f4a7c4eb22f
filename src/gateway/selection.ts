/**
Selects the upstream of a request.

The selector queries the load of a few upstreams in its own failure domain, and of some in the other failure domains if
the local ones can't meet the latency objective. If no upstream has capacity, the request is held. A held request is sent
as soon as a response or a load check shows capacity, in the order of `held-requests.ts`, or is given up at its time limit.

Upstreams with a rate limit and cold ones are not queried. A request goes to one with a rate limit if this entry has a
permit, before any other upstream is considered, and to a cold one if no other has capacity. If all upstreams of a service
have a limit, have asked for a pause or are evacuated, requests that can't be sent soon are rejected instead of being held.
*/
import * as exhaustiveness from '../decisions/assert-never.ts';
import {findNextRequest, type HeldRequest} from '../decisions/admission/held-requests.ts';
import * as closedService from '../decisions/backpressure/closed-service.ts';
import {type RandomSource} from '../decisions/random.ts';
import * as prequalSelection from '../decisions/routing/prequal-selection.ts';
import {type Connection} from '../entry/connection-pool.ts';
import {
	queryUpstreams, type UpstreamQueryHost, type QueryResults, maximumReadingAgeMilliseconds,
} from './query-upstreams.ts';
import * as patientTimer from './patient-timer.ts';
import type * as permits from './permits.ts';
import type * as relays from './relays.ts';
import * as upstreamSampler from './upstream-sampler.ts';
import {type Upstream, type Upstreams} from './upstreams.ts';

/** A selected upstream. */
export type SelectedUpstream = {
	readonly kind: 'selected';
	readonly upstream: Upstream;
	/** Connection on which the upstream just responded to a load check; undefined if it was not checked. */
	readonly connection: Connection | undefined;
	/** Expected time from sending to the response. */
	readonly expectedMilliseconds: number;
	/** Number of load checks made for the request. */
	readonly checks: number;
};

/** Result of a selection. */
export type Selection
	= | SelectedUpstream
	/** No upstream had capacity in time. */
		| {readonly kind: 'no-room'; readonly checks: number}
	/** All upstreams of the service have a rate limit, for which this entry has no permit, or have asked for a pause. */
		| {readonly kind: 'not-accepting'; readonly checks: number; readonly retryAfterMilliseconds: number};

/** Properties of a request that determine its upstream. */
export type SelectionRequest = {
	readonly service: string;
	readonly priority: number;
	readonly work: prequalSelection.WorkEstimate;
	/** Identifiers of the upstreams that earlier attempts were sent to. */
	readonly tried: ReadonlySet<string>;
	/** Whether the request may be passed on to another entry. */
	readonly mayRelay: boolean;
	/** Time at which the latency objective of the request ends. */
	readonly objectiveEndsAt: number;
	/** Time at which the request is given up if no upstream has capacity. */
	readonly expiresAt: number;
	/** Whether the request may still be sent to an upstream; one that is held is given up otherwise. */
	mayStart(): boolean;
};

/** Dependencies of a selector. */
export type SelectionHost = Omit<UpstreamQueryHost, 'takeLate'> & {
	readonly upstreams: Upstreams;
	readonly permits: Pick<permits.Permits, 'take' | 'areNeeded' | 'getWaitMilliseconds'>;
	readonly relays: Pick<relays.Relays, 'choose'>;
	readonly random: RandomSource;
	/** Time at which a stop refuses the requests that are held, so that their callers are told before it ends. */
	getHoldEnd(): number;
};

/** Selects upstreams for the requests of all services. */
export type Selector = {
	/** Selects an upstream. The listener is called once, unless the returned function cancels the selection first. */
	select(request: SelectionRequest, listener: (selection: Selection) => void): () => void;
	/** Whether requests of a service are held until an upstream has capacity. */
	hasHeldRequests(service: string): boolean;
	/** Sends held requests to an upstream at which an attempt has ended, while it has capacity. */
	onAttemptEnded(upstream: Upstream): void;
	close(): void;
};

/** A request whose upstream is not selected yet. */
type PendingSelection = HeldRequest & {
	readonly request: SelectionRequest;
	readonly listener: (selection: Selection) => void;
	checks: number;
	cancelQuery: (() => void) | undefined;
	isOver: boolean;
};

/** Upstreams of the own failure domain that are queried for a request. */
const localSampleSize = 5;
/** Upstreams of other failure domains that are queried if the local ones can't meet the objective. */
const remoteSampleSize = 3;
/** Upstreams that are queried in each round for held requests; remote ones only if there are fewer local ones than this. */
const heldSampleSize = 3;
/** Share of the objective above which the expected time at the best local upstream is too long, so that remote ones are queried. */
const localObjectiveShare = 0.6;
/** Time between two rounds of queries for held requests, in milliseconds. */
const heldRoundIntervalMilliseconds = 10;
/** Round from which held requests may go to upstreams that fail or report themselves unhealthy, since both can be wrong. */
const firstRoundWithUnhealthy = 8;

/** Creates the selector of an entry. */
export function createSelector(host: SelectionHost): Selector {
	const heldByService = new Map<string, Set<PendingSelection>>();
	const roundsByService = new Map<string, number>();
	let heldRoundTimer: patientTimer.PatientTimer | undefined;

	const queryHost: UpstreamQueryHost = {...host, takeLate: assignHeld};
	const {createEligibility, sampleUpstreams, sampleWarmUpstreams} = upstreamSampler.createUpstreamSampler(host);
	const findHeld = (service: string) => heldByService.get(service);

	const isLastResort = (service: string) => (roundsByService.get(service) ?? 0) >= firstRoundWithUnhealthy;

	const isHoldOver = ({expiresAt}: PendingSelection, now: number) => now >= Math.min(expiresAt, host.getHoldEnd());

	function finish(pending: PendingSelection, selection: Selection): void {
		pending.isOver = true;
		remove(pending);
		pending.listener(selection);
	}

	function remove(pending: PendingSelection): void {
		const {service} = pending.request;
		const held = findHeld(service);
		held?.delete(pending);
		if (held?.size === 0) {
			heldByService.delete(service);
			roundsByService.delete(service);
		}
	}

	function queryLocal(pending: PendingSelection): void {
		const {service, tried} = pending.request;
		const local = sampleWarmUpstreams(service, true, localSampleSize, tried);
		pending.cancelQuery = queryUpstreams(queryHost, {service, upstreams: local, purpose: 'choice'}, (results, checks) => {
			pending.checks += checks;
			const best = chooseBest(pending, results);
			if (best && best.expectedMilliseconds <= localObjectiveShare * pending.request.work.objectiveMilliseconds) {
				selectUpstream(pending, best, results);
			} else {
				queryRemote(pending, results);
			}
		});
	}

	function queryRemote(pending: PendingSelection, local: QueryResults): void {
		const {service, tried} = pending.request;
		const remote = sampleWarmUpstreams(service, false, remoteSampleSize, tried);
		pending.cancelQuery = queryUpstreams(queryHost, {service, upstreams: remote, purpose: 'choice'}, (results, checks) => {
			pending.checks += checks;
			const all: QueryResults = new Map([...local, ...results]);
			const best = chooseBest(pending, all);
			if (best) {
				selectUpstream(pending, best, all);
			} else {
				release(all);
				hold(pending);
			}
		}, () => {
			release(local);
		});
	}

	function chooseBest(pending: PendingSelection, results: QueryResults): prequalSelection.UpstreamEstimate | undefined {
		const now = host.getNow();
		const states = [...results]
			.filter(([upstream]) => host.upstreams.isUsable(upstream))
			.filter(([upstream, result]) => result ? result.kind === 'healthy' : isUsableWithoutCheck(upstream))
			.map(([upstream]) => host.upstreams.getState(upstream, now));
		// While no requests are held, filling a fast upstream beyond its usual capacity is better than using a slow idle one.
		return prequalSelection.chooseUpstream(states, {...pending.request.work, mayExceedCapacity: true});
	}

	/** Whether an upstream that was not queried may be chosen: it has a recent load reading, or its service reports no load. */
	function isUsableWithoutCheck(upstream: Upstream): boolean {
		return !host.reportsLoad(upstream.registration.service) || upstream.record.getState(host.getNow()).reading !== undefined;
	}

	function selectUpstream(pending: PendingSelection, {id, expectedMilliseconds}: prequalSelection.UpstreamEstimate, results: QueryResults): void {
		const [upstream, result] = [...results].find(([{registration}]) => registration.id === id)!;
		release(new Map([...results].filter(([other]) => other !== upstream)));
		finish(pending, {
			kind: 'selected', upstream, connection: result?.kind === 'healthy' ? result.connection : undefined, expectedMilliseconds, checks: pending.checks,
		});
	}

	function release(results: QueryResults): void {
		for (const [upstream, result] of results) {
			if (result?.kind === 'healthy') {
				upstream.pool.release(result.connection);
			}
		}
	}

	function hold(pending: PendingSelection): void {
		const {service} = pending.request;
		pending.cancelQuery = undefined;
		if (trySendByRelay(pending) || (!findHeld(service) && trySendByPermit(pending, true)) || rejectIfClosed(pending)) {
			return;
		}

		if (isHoldOver(pending, host.getNow())) {
			finish(pending, {kind: 'no-room', checks: pending.checks});
			return;
		}

		const held = findHeld(service) ?? new Set<PendingSelection>();
		heldByService.set(service, held.add(pending));
		scheduleHeldRound();
	}

	/** Rejects a request if no upstream of its service will accept it in time. Returns whether it was rejected. */
	function rejectIfClosed(pending: PendingSelection): boolean {
		const {service} = pending.request;
		const pauseEndsAt = host.upstreams.getPauseEnd(service);
		const needsPermit = host.permits.areNeeded(service);
		const isEvacuated = host.upstreams.isServiceEvacuated(service);
		if (host.upstreams.listUsable(service).length > 0 || (pauseEndsAt === undefined && !needsPermit && !isEvacuated)) {
			return false;
		}

		const permitWaitMilliseconds = needsPermit ? host.permits.getWaitMilliseconds(service) : undefined;
		const decision = closedService.decideForClosedService({permitWaitMilliseconds, pauseEndsAt, isEvacuated}, pending.expiresAt, host.random, host.getNow());
		switch (decision.kind) {
			case 'hold': {
				return false;
			}

			case 'reject': {
				finish(pending, {kind: 'not-accepting', checks: pending.checks, retryAfterMilliseconds: decision.retryAfterMilliseconds});
				return true;
			}

			default: {
				return exhaustiveness.assertNever(decision);
			}
		}
	}

	/** Passes a request on to another entry if this one is cut off from all upstreams. Returns whether it was sent. */
	function trySendByRelay(pending: PendingSelection): boolean {
		const {mayRelay, tried, work} = pending.request;
		const relay = mayRelay ? host.relays.choose(tried) : undefined;
		if (relay) {
			finish(pending, {
				kind: 'selected', upstream: relay, connection: undefined, expectedMilliseconds: prequalSelection.getMeanDurationMilliseconds(work.workMilliseconds), checks: pending.checks,
			});
		}

		return relay !== undefined;
	}

	/** Sends a request to an upstream with a rate limit, or to a cold one if that is allowed, if there is a permit. Returns whether it was sent. */
	function trySendByPermit(pending: PendingSelection, mayUseCold: boolean): boolean {
		const upstream = host.permits.take(pending.request.service, pending.request.tried, mayUseCold);
		if (!upstream) {
			return false;
		}

		const {expectedMilliseconds} = prequalSelection.estimateUpstream(host.upstreams.getState(upstream, host.getNow()), pending.request.work);
		finish(pending, {
			kind: 'selected', upstream, connection: undefined, expectedMilliseconds, checks: pending.checks,
		});
		return true;
	}

	/** Sends the next held requests of a service to upstreams with a rate limit while there are permits. */
	function sendHeldByPermit(service: string): void {
		let next = findNextRequest(findHeld(service) ?? [], host.getNow());
		while (next && trySendByPermit(next, true)) {
			next = findNextRequest(findHeld(service) ?? [], host.getNow());
		}
	}

	function scheduleHeldRound(): void {
		heldRoundTimer ??= patientTimer.startPatientTimer(heldRoundIntervalMilliseconds, host.getNow, runHeldRound);
	}

	/** Gives up the held requests whose time is over, and queries a few upstreams for the others. */
	function runHeldRound(): void {
		heldRoundTimer = undefined;
		const now = host.getNow();
		for (const [service, held] of heldByService) {
			for (const pending of held) {
				if (isHoldOver(pending, now) || !pending.request.mayStart()) {
					finish(pending, {kind: 'no-room', checks: pending.checks});
				}
			}

			sendHeldByPermit(service);
			for (const pending of held) {
				if (!trySendByRelay(pending)) {
					rejectIfClosed(pending);
				}
			}

			if (findHeld(service)) {
				queryForHeld(service);
			}
		}

		if (heldByService.size > 0) {
			scheduleHeldRound();
		}
	}

	function queryForHeld(service: string): void {
		roundsByService.set(service, (roundsByService.get(service) ?? 0) + 1);
		const local = sampleUpstreams(service, true, heldSampleSize, isLastResort(service));
		const remote = sampleUpstreams(service, false, heldSampleSize - local.length, isLastResort(service));
		queryUpstreams(queryHost, {service, upstreams: [...local, ...remote], purpose: 'held'}, results => {
			for (const [upstream, result] of results) {
				const isUsable = result ? result.kind === 'healthy' || (result.kind === 'unhealthy' && isLastResort(service)) : isUsableWithoutCheck(upstream);
				const connection = result?.kind === 'healthy' ? result.connection : undefined;
				if (!isUsable || !assignHeld(upstream, connection)) {
					release(new Map([[upstream, result]]));
				}
			}
		});
	}

	/** Lists the held requests that may be sent to an upstream. */
	function listEligible(held: ReadonlySet<PendingSelection>, upstream: Upstream): readonly PendingSelection[] {
		const {service} = upstream.registration;
		const isEligible = (tried: ReadonlySet<string>) => createEligibility(service, {tried, isLastResort: isLastResort(service)})(upstream);
		const isEligibleUntried = isEligible(new Set());
		return [...held].filter(({request: {tried}}) => tried.size === 0 ? isEligibleUntried : isEligible(tried));
	}

	/** Assigns the next held request to an upstream if it has capacity. Returns whether a request was assigned. */
	function assignHeld(upstream: Upstream, connection: Connection | undefined): boolean {
		const now = host.getNow();
		const {service} = upstream.registration;
		const held = host.upstreams.isUsable(upstream) ? findHeld(service) : undefined;
		const pending = held && findNextRequest(listEligible(held, upstream), now);
		if (!pending) {
			return false;
		}

		const expectation = prequalSelection.estimateUpstream(host.upstreams.getState(upstream, now), pending.request.work);
		if (!expectation.hasFreeSlot) {
			return false;
		}

		finish(pending, {
			kind: 'selected', upstream, connection, expectedMilliseconds: expectation.expectedMilliseconds, checks: pending.checks,
		});
		return true;
	}

	return {
		select(request, listener) {
			const pending: PendingSelection = {
				request,
				listener,
				priority: request.priority,
				objectiveEndsAt: request.objectiveEndsAt,
				expiresAt: request.expiresAt,
				expectedMilliseconds: prequalSelection.getMeanDurationMilliseconds(request.work.workMilliseconds),
				checks: 0,
				cancelQuery: undefined,
				isOver: false,
			};
			if (trySendByRelay(pending)) {
				return () => undefined;
			}

			if (findHeld(request.service)) {
				hold(pending);
				sendHeldByPermit(request.service);
			} else if (!trySendByPermit(pending, false)) {
				queryLocal(pending);
			}

			return () => {
				if (!pending.isOver) {
					pending.isOver = true;
					pending.cancelQuery?.();
					remove(pending);
				}
			};
		},
		hasHeldRequests: service => findHeld(service) !== undefined,
		onAttemptEnded(upstream) {
			const {reading} = upstream.record.getState(host.getNow());
			const isFresh = reading !== undefined && host.getNow() - reading.readAt <= maximumReadingAgeMilliseconds;
			if (!isFresh && host.reportsLoad(upstream.registration.service)) {
				return;
			}

			while (assignHeld(upstream, undefined)) {
				// Assigns requests until the upstream has no more capacity.
			}
		},
		close() {
			heldRoundTimer?.stop();
		},
	};
}
