/** Upstreams of a service from the view of one entry, with their slots, load, health and life cycles. */
import {type RandomSource} from '../random.ts';
import {type OperationRow} from '../table/rows.ts';
import {type ServiceView} from '../table/service-view.ts';
import {createIndexedSet, type IndexedSet} from './indexed-set.ts';
import {
	createForeignLoad, estimateForeignCalls, type ForeignLoad, unknownForeignLoad,
} from './foreign-load.ts';
import {divideSlots, type SlotShare} from './slot-shares.ts';
import {
	type FleetView, type LoadReport, type UpstreamDescription, type UpstreamStatus,
} from './types.ts';
import {
	applyFailure, applyAnswer, initialHealth, isFailing, isSlow, type UpstreamHealth,
} from './upstream-health.ts';
import {
	advanceUpstreamLifeCycle, createUpstreamLifeCycle, getLifeCycleState, type UpstreamLifeCycle, type UpstreamLifeCycleEvent,
} from './upstream-life-cycle.ts';

/** Call of this entry that is running at an upstream. */
export type RunningCall = {
	readonly operation: OperationRow;
	readonly isLong: boolean;
	readonly dispatchedAt: number;
	/** Time from which the call counts as overdue, given the typical duration of its operation. */
	readonly overdueAt: number;
};

/** Upstream with its state in the pool. */
export type PoolUpstream = {
	readonly name: string;
	description: UpstreamDescription;
	slots: number;
	weight: number;
	share: SlotShare;
	readonly running: Map<number, RunningCall>;
	runningLong: number;
	foreignLoad: ForeignLoad;
	health: UpstreamHealth;
	lifeCycle: UpstreamLifeCycle;
	/** Contribution of this upstream to `countOwnSlots`. */
	countedSlots: number;
};

export type UpstreamPoolOptions = {
	readonly view: ServiceView;
	readonly fleet: FleetView;
	readonly upstreams: readonly UpstreamDescription[];
	readonly random: RandomSource;
};

/** Times and origin of a load report. */
export type ReportTimes = {
	readonly reportedAt: number;
	readonly now: number;
	/** Call whose answer carried the report; undefined for a report without a call. */
	readonly answeredCallId: number | undefined;
};

/** Upstreams of one service; own slots are the slots in this entry's share. */
export type UpstreamPool = {
	/** Upstreams that accept calls and have a free own slot. */
	readonly withFreeSlot: IndexedSet<PoolUpstream>;
	/** Upstreams that accept calls and have a free own slot that a long call may use. */
	readonly withFreeLongSlot: IndexedSet<PoolUpstream>;
	/** Upstreams that accept calls. */
	readonly usable: IndexedSet<PoolUpstream>;
	get(name: string): PoolUpstream | undefined;
	/** Records that a call is dispatched to an upstream. */
	startCall(upstream: PoolUpstream, callId: number, call: RunningCall): void;
	/** Removes a call and returns it; undefined when the pool has no such call. */
	endCall(name: string, callId: number, now: number): RunningCall | undefined;
	/** Returns the total time during which long calls have occupied all own slots, in milliseconds. */
	getLongBlockedMilliseconds(now: number): number;
	/** Applies a load report, unless a newer one has been applied; the call whose answer carried it is not part of the reported load. */
	applyReport(name: string, report: LoadReport, times: ReportTimes): void;
	/** Records a successful answer; `durationRatio` is its duration relative to the typical one. */
	recordAnswer(name: string, durationRatio: number, now: number): void;
	/** Records a failed attempt. */
	recordFailure(name: string, now: number): void;
	/** Estimates the number of free slots from this entry's calls and the foreign load; it may be negative. */
	estimateFreeSlots(upstream: PoolUpstream, typicalMilliseconds: number, now: number): number;
	/** Whether the upstream has an overdue call. */
	isOverdue(upstream: PoolUpstream, now: number): boolean;
	/** Ends the pauses whose time has passed; returns the time at which the next pause ends. */
	endPauses(now: number): number | undefined;
	setUpstreams(descriptions: readonly UpstreamDescription[]): void;
	setView(view: ServiceView): void;
	setFleet(fleet: FleetView): void;
	/** Returns the number of own slots at all upstreams that accept calls. */
	countOwnSlots(): number;
	getStatus(): readonly UpstreamStatus[];
};

const noShare: SlotShare = {slots: 0, longSlots: 0};
/** Weight of a new report in the moving average of the foreign load. */
const meanForeignWeight = 0.05;
/** Limit on concurrent calls of each kind, short and long, from one entry to an upstream in its slow start. */
const slowStartCalls = 1;

/** Creates the pool; the initial upstreams count as warm and get no slow start. */
export function createUpstreamPool(options: UpstreamPoolOptions): UpstreamPool {
	let {view, fleet} = options;
	const upstreams = new Map<string, PoolUpstream>();
	const withFreeSlot = createIndexedSet<PoolUpstream>();
	const withFreeLongSlot = createIndexedSet<PoolUpstream>();
	const usable = createIndexedSet<PoolUpstream>();
	const paused = new Set<PoolUpstream>();
	let meanForeignCalls = 0;
	let ownSlots = 0;
	let longCalls = 0;
	let longBlockedMilliseconds = 0;
	let longBlockedUpdatedAt = 0;
	setUpstreams(options.upstreams, false);

	function setUpstreams(descriptions: readonly UpstreamDescription[], isCold: boolean): void {
		const names = new Set(descriptions.map(description => description.name));
		for (const upstream of upstreams.values()) {
			if (!names.has(upstream.name)) {
				remove(upstream);
			}
		}

		for (const description of descriptions) {
			const existing = upstreams.get(description.name);
			if (existing) {
				existing.description = description;
			} else {
				upstreams.set(description.name, createUpstream(description, isCold));
			}
		}

		updateShares();
	}

	/** Adds the time since the last update to the total; called before the set of running calls changes. */
	function getLongBlockedMilliseconds(now: number): number {
		if (ownSlots > 0 && longCalls >= ownSlots) {
			longBlockedMilliseconds += now - longBlockedUpdatedAt;
		}

		longBlockedUpdatedAt = now;
		return longBlockedMilliseconds;
	}

	function remove(upstream: PoolUpstream): void {
		longCalls -= upstream.runningLong;
		upstreams.delete(upstream.name);
		paused.delete(upstream);
		upstream.lifeCycle = advanceUpstreamLifeCycle(upstream.lifeCycle, {type: 'removed'});
		updateSets(upstream);
	}

	/** Recomputes the slot shares after a change of the upstreams, the table or the fleet. */
	function updateShares(): void {
		for (const upstream of upstreams.values()) {
			const row = view.upstreams.get(upstream.name);
			upstream.slots = row?.slots ?? view.service.slotsPerUpstream;
			upstream.weight = (row?.weight ?? 1) * (view.places.get(upstream.description.failureDomain)?.weight ?? 1);
		}

		const eligible = [...upstreams.values()].filter(upstream => isEligible(upstream));
		const entries = fleet.entries.map(entry => entry.name);
		const shares = divideSlots(eligible, entries, fleet.self, view.service.longShare);
		for (const upstream of upstreams.values()) {
			upstream.share = shares.get(upstream.name) ?? noShare;
			updateSets(upstream);
		}
	}

	/** Updates which sets contain the upstream, and the number of own slots. */
	function updateSets(upstream: PoolUpstream): void {
		const {running, runningLong, share} = upstream;
		const isAccepting = acceptsCalls(upstream);
		const isFree = isAccepting && running.size < share.slots;
		const isStarting = getLifeCycleState(upstream.lifeCycle) === 'starting';
		const longLimit = isStarting ? Math.min(slowStartCalls, share.longSlots) : share.longSlots;
		const countedSlots = isAccepting ? share.slots : 0;
		ownSlots += countedSlots - upstream.countedSlots;
		upstream.countedSlots = countedSlots;
		usable.set(upstream, isAccepting);
		withFreeSlot.set(upstream, isFree && !(isStarting && running.size - runningLong >= slowStartCalls));
		withFreeLongSlot.set(upstream, isFree && runningLong < longLimit);
	}

	function acceptsCalls(upstream: PoolUpstream): boolean {
		const state = getLifeCycleState(upstream.lifeCycle);
		return isEligible(upstream) && (state === 'live' || state === 'starting');
	}

	function isEligible(upstream: PoolUpstream): boolean {
		return upstream.description.state === 'live' && upstream.weight > 0 && getLifeCycleState(upstream.lifeCycle) !== 'gone';
	}

	function sendLifeCycleEvent(upstream: PoolUpstream, event: UpstreamLifeCycleEvent): void {
		upstream.lifeCycle = advanceUpstreamLifeCycle(upstream.lifeCycle, event);
		const state = getLifeCycleState(upstream.lifeCycle);
		if (state === 'suspected' || state === 'ejected') {
			paused.add(upstream);
		} else {
			paused.delete(upstream);
		}

		updateSets(upstream);
	}

	/** Whether the upstream may be paused without exceeding the allowed share of paused upstreams; beyond it, every upstream stays in use. */
	function isPauseAllowed(upstream: PoolUpstream): boolean {
		return paused.has(upstream) || paused.size + 1 <= upstreams.size * view.service.ejectionShare;
	}

	function isOverdue(upstream: PoolUpstream, now: number): boolean {
		for (const call of upstream.running.values()) {
			if (now >= call.overdueAt) {
				return true;
			}
		}

		return false;
	}

	return {
		withFreeSlot,
		withFreeLongSlot,
		usable,
		isOverdue,
		get: name => upstreams.get(name),
		getLongBlockedMilliseconds,
		startCall(upstream, callId, call) {
			getLongBlockedMilliseconds(call.dispatchedAt);
			longCalls += call.isLong ? 1 : 0;
			upstream.running.set(callId, call);
			upstream.runningLong += call.isLong ? 1 : 0;
			updateSets(upstream);
		},
		endCall(name, callId, now) {
			const upstream = upstreams.get(name);
			const call = upstream?.running.get(callId);
			if (!upstream || !call) {
				return undefined;
			}

			getLongBlockedMilliseconds(now);
			longCalls -= call.isLong ? 1 : 0;
			upstream.running.delete(callId);
			upstream.runningLong -= call.isLong ? 1 : 0;
			updateSets(upstream);
			return call;
		},
		applyReport(name, report, {reportedAt, now, answeredCallId}) {
			const upstream = upstreams.get(name);
			if (!upstream || reportedAt < upstream.foreignLoad.reportedAt) {
				return;
			}

			upstream.foreignLoad = createForeignLoad(report, countReportedCalls(upstream, now, answeredCallId), reportedAt);
			meanForeignCalls += (Math.min(upstream.foreignLoad.calls, upstream.slots) - meanForeignCalls) * meanForeignWeight;
			const isDraining = getLifeCycleState(upstream.lifeCycle) === 'draining';
			if (isDraining !== (report.state === 'draining')) {
				sendLifeCycleEvent(upstream, {type: report.state === 'draining' ? 'draining' : 'not-draining'});
			}
		},
		recordAnswer(name, durationRatio, now) {
			const upstream = upstreams.get(name);
			if (!upstream) {
				return;
			}

			upstream.health = applyAnswer(upstream.health, durationRatio);
			const state = getLifeCycleState(upstream.lifeCycle);
			if (isSlow(upstream.health)) {
				sendLifeCycleEvent(upstream, {type: 'slow', now, isAllowed: isPauseAllowed(upstream)});
			} else if (state === 'starting') {
				sendLifeCycleEvent(upstream, {type: 'good-answer'});
			}
		},
		recordFailure(name, now) {
			const upstream = upstreams.get(name);
			if (!upstream) {
				return;
			}

			upstream.health = applyFailure(upstream.health);
			const isTrial = getLifeCycleState(upstream.lifeCycle) === 'starting';
			if (isTrial || isFailing(upstream.health)) {
				sendLifeCycleEvent(upstream, {type: 'failures', now, isAllowed: isPauseAllowed(upstream)});
			}
		},
		estimateFreeSlots(upstream, typicalMilliseconds, now) {
			const foreignCalls = estimateForeignCalls(upstream.foreignLoad, meanForeignCalls, typicalMilliseconds, now);
			return upstream.slots - upstream.running.size - foreignCalls;
		},
		endPauses(now) {
			let next: number | undefined;
			for (const upstream of paused) {
				const {pausedUntil} = upstream.lifeCycle.context;
				if (pausedUntil > now) {
					next = Math.min(next ?? pausedUntil, pausedUntil);
					continue;
				}

				upstream.health = initialHealth;
				sendLifeCycleEvent(upstream, {type: 'pause-over'});
			}

			return next;
		},
		setUpstreams(descriptions) {
			setUpstreams(descriptions, upstreams.size > 0);
		},
		setView(next) {
			view = next;
			updateShares();
		},
		setFleet(next) {
			fleet = next;
			updateShares();
		},
		countOwnSlots: () => ownSlots,
		getStatus: () => [...upstreams.values()].map(upstream => ({
			upstream: upstream.name,
			state: upstream.description.state === 'leaving' ? 'leaving' : getLifeCycleState(upstream.lifeCycle),
			reason: describeReason(upstream),
			inFlight: upstream.running.size,
			slots: upstream.slots,
		})),
	};
}

/** Counts the unanswered calls that were dispatched before `now`, which are the calls of this entry that a report includes. */
function countReportedCalls(upstream: PoolUpstream, now: number, answeredCallId: number | undefined): number {
	let count = 0;
	for (const [id, call] of upstream.running) {
		count += call.dispatchedAt < now && id !== answeredCallId ? 1 : 0;
	}

	return count;
}

function createUpstream(description: UpstreamDescription, isCold: boolean): PoolUpstream {
	return {
		name: description.name,
		description,
		slots: 0,
		weight: 1,
		share: noShare,
		running: new Map(),
		runningLong: 0,
		foreignLoad: unknownForeignLoad,
		health: initialHealth,
		lifeCycle: createUpstreamLifeCycle(isCold),
		countedSlots: 0,
	};
}

/** Describes for operators why the upstream is in its state. */
function describeReason(upstream: PoolUpstream): string {
	if (upstream.weight === 0) {
		return 'the table gives it weight 0';
	}

	if (upstream.description.state === 'leaving') {
		return 'membership lists it as leaving';
	}

	const {failuresInRow, slowness} = upstream.health;
	return `failures in a row ${failuresInRow}, duration ${slowness.toFixed(1)} times the typical one`;
}

