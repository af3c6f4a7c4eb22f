/** The upstreams of a service as one entry sees them, with their slots, their load and their lives. */
import {type RandomSource} from '../random.ts';
import {type OperationRow} from '../table/rows.ts';
import {type ServiceView} from '../table/service-view.ts';
import {createIndexedSet, type IndexedSet} from './indexed-set.ts';
import {
	createLoadBelief, estimateForeign, type LoadBelief, noBelief,
} from './load-belief.ts';
import {divideSlots, type SlotShare} from './slot-shares.ts';
import {
	type FleetView, type LoadReport, type UpstreamDescription, type UpstreamStatus,
} from './types.ts';
import {
	addFailure, addGoodAnswer, goodHealth, isFailing, isSlow, type UpstreamHealth,
} from './upstream-health.ts';
import {
	advanceUpstreamLife, createUpstreamLife, getLifeState, type UpstreamLife, type UpstreamLifeEvent,
} from './upstream-life.ts';

/** A call of this entry at an upstream. */
export type RunningCall = {
	readonly operation: OperationRow;
	readonly isLong: boolean;
	readonly dispatchedAt: number;
	/** Time from which the call is overdue against the typical duration of its operation. */
	readonly overdueAt: number;
};

export type PoolUpstream = {
	readonly name: string;
	description: UpstreamDescription;
	slots: number;
	weight: number;
	share: SlotShare;
	readonly running: Map<number, RunningCall>;
	runningLong: number;
	belief: LoadBelief;
	health: UpstreamHealth;
	life: UpstreamLife;
	/** Own slots that are counted in the sum over the upstreams that take work. */
	countedSlots: number;
};

export type UpstreamPoolOptions = {
	readonly view: ServiceView;
	readonly fleet: FleetView;
	readonly upstreams: readonly UpstreamDescription[];
	readonly random: RandomSource;
};

export type ReportTimes = {
	readonly reportedAt: number;
	readonly now: number;
	/** Call on whose answer the report rode. */
	readonly answeredCallId: number | undefined;
};

export type UpstreamPool = {
	/** Upstreams with a free slot of this entry's own. */
	readonly free: IndexedSet<PoolUpstream>;
	/** Upstreams with a free slot of this entry's own that may hold long work. */
	readonly freeLong: IndexedSet<PoolUpstream>;
	/** Upstreams that take work. */
	readonly usable: IndexedSet<PoolUpstream>;
	get(name: string): PoolUpstream | undefined;
	start(upstream: PoolUpstream, callId: number, call: RunningCall): void;
	/** Ends a call; gets it, or undefined when it is not known. */
	end(name: string, callId: number, now: number): RunningCall | undefined;
	/** Time since the start in which long work held all own slots, in milliseconds. */
	getAllLongMilliseconds(now: number): number;
	/** Takes a report; it does not count the call on whose answer it rode. */
	takeReport(name: string, report: LoadReport, times: ReportTimes): void;
	/** Takes an answer whose duration is the given multiple of the typical one. */
	takeGoodAnswer(name: string, ratio: number, now: number): void;
	takeFailure(name: string, now: number): void;
	/** Estimates free slots; an upstream with an overdue call has none. */
	estimateSpare(upstream: PoolUpstream, typicalMilliseconds: number, now: number): number;
	isOverdue(upstream: PoolUpstream, now: number): boolean;
	/** Ends pauses that are over; gets the end of the next. */
	endPauses(now: number): number | undefined;
	setUpstreams(descriptions: readonly UpstreamDescription[]): void;
	setView(view: ServiceView): void;
	setFleet(fleet: FleetView): void;
	/** Own slots over all upstreams that take work. */
	countOwnSlots(): number;
	getStatus(): readonly UpstreamStatus[];
};

const noShare: SlotShare = {slots: 0, longSlots: 0};
const meanForeignWeight = 0.05;
/** Calls of each kind, short and long, that an upstream in its slow start gets from one entry at once. */
const startingCalls = 1;

/** Creates the pool; upstreams that are there from the start count as warm. */
export function createUpstreamPool(options: UpstreamPoolOptions): UpstreamPool {
	let {view, fleet} = options;
	const upstreams = new Map<string, PoolUpstream>();
	const free = createIndexedSet<PoolUpstream>();
	const freeLong = createIndexedSet<PoolUpstream>();
	const usable = createIndexedSet<PoolUpstream>();
	const paused = new Set<PoolUpstream>();
	let meanForeign = 0;
	let ownSlots = 0;
	let longCalls = 0;
	let allLongMilliseconds = 0;
	let allLongCountedAt = 0;
	setUpstreams(options.upstreams, false);

	function setUpstreams(descriptions: readonly UpstreamDescription[], isCold: boolean): void {
		const names = new Set(descriptions.map(description => description.name));
		for (const upstream of upstreams.values()) {
			if (!names.has(upstream.name)) {
				remove(upstream);
			}
		}

		for (const description of descriptions) {
			const known = upstreams.get(description.name);
			if (known) {
				known.description = description;
			} else {
				upstreams.set(description.name, createUpstream(description, isCold));
			}
		}

		divide();
	}

	/** Brings the sum up to date before the calls change. */
	function getAllLongMilliseconds(now: number): number {
		if (ownSlots > 0 && longCalls >= ownSlots) {
			allLongMilliseconds += now - allLongCountedAt;
		}

		allLongCountedAt = now;
		return allLongMilliseconds;
	}

	function remove(upstream: PoolUpstream): void {
		longCalls -= upstream.runningLong;
		upstreams.delete(upstream.name);
		paused.delete(upstream);
		upstream.life = advanceUpstreamLife(upstream.life, {type: 'removed'});
		update(upstream);
	}

	/** Divides the slots anew after a change of the upstreams, the table or the fleet. */
	function divide(): void {
		for (const upstream of upstreams.values()) {
			const row = view.upstreams.get(upstream.name);
			upstream.slots = row?.slots ?? view.service.slotsPerUpstream;
			upstream.weight = (row?.weight ?? 1) * (view.places.get(upstream.description.failureDomain)?.weight ?? 1);
		}

		const divided = [...upstreams.values()].filter(upstream => isMember(upstream));
		const entries = fleet.entries.map(entry => entry.name);
		const shares = divideSlots(divided, entries, fleet.self, view.service.longShare);
		for (const upstream of upstreams.values()) {
			upstream.share = shares.get(upstream.name) ?? noShare;
			update(upstream);
		}
	}

	/** Puts an upstream into the sets that it belongs to. */
	function update(upstream: PoolUpstream): void {
		const {running, runningLong, share} = upstream;
		const isTaking = isTakingWork(upstream);
		const isFree = isTaking && running.size < share.slots;
		const isStarting = getLifeState(upstream.life) === 'starting';
		const longLimit = isStarting ? Math.min(startingCalls, share.longSlots) : share.longSlots;
		const ownNow = isTaking ? share.slots : 0;
		ownSlots += ownNow - upstream.countedSlots;
		upstream.countedSlots = ownNow;
		usable.set(upstream, isTaking);
		free.set(upstream, isFree && !(isStarting && running.size - runningLong >= startingCalls));
		freeLong.set(upstream, isFree && runningLong < longLimit);
	}

	function isTakingWork(upstream: PoolUpstream): boolean {
		const state = getLifeState(upstream.life);
		return isMember(upstream) && (state === 'live' || state === 'starting');
	}

	function isMember(upstream: PoolUpstream): boolean {
		return upstream.description.state === 'live' && upstream.weight > 0 && getLifeState(upstream.life) !== 'gone';
	}

	function sendLifeEvent(upstream: PoolUpstream, event: UpstreamLifeEvent): void {
		upstream.life = advanceUpstreamLife(upstream.life, event);
		const state = getLifeState(upstream.life);
		if (state === 'suspected' || state === 'ejected') {
			paused.add(upstream);
		} else {
			paused.delete(upstream);
		}

		update(upstream);
	}

	/** Whether the cap on pauses leaves room for one more; beyond it every upstream stays in use. */
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
		free,
		freeLong,
		usable,
		isOverdue,
		get: name => upstreams.get(name),
		getAllLongMilliseconds,
		start(upstream, callId, call) {
			getAllLongMilliseconds(call.dispatchedAt);
			longCalls += call.isLong ? 1 : 0;
			upstream.running.set(callId, call);
			upstream.runningLong += call.isLong ? 1 : 0;
			update(upstream);
		},
		end(name, callId, now) {
			const upstream = upstreams.get(name);
			const call = upstream?.running.get(callId);
			if (!upstream || !call) {
				return undefined;
			}

			getAllLongMilliseconds(now);
			longCalls -= call.isLong ? 1 : 0;
			upstream.running.delete(callId);
			upstream.runningLong -= call.isLong ? 1 : 0;
			update(upstream);
			return call;
		},
		takeReport(name, report, {reportedAt, now, answeredCallId}) {
			const upstream = upstreams.get(name);
			if (!upstream || reportedAt < upstream.belief.reportedAt) {
				return;
			}

			upstream.belief = createLoadBelief(report, countSentBefore(upstream, now, answeredCallId), reportedAt);
			meanForeign += (Math.min(upstream.belief.foreign, upstream.slots) - meanForeign) * meanForeignWeight;
			const isDraining = getLifeState(upstream.life) === 'draining';
			if (isDraining !== (report.state === 'draining')) {
				sendLifeEvent(upstream, {type: report.state === 'draining' ? 'draining' : 'not-draining'});
			}
		},
		takeGoodAnswer(name, ratio, now) {
			const upstream = upstreams.get(name);
			if (!upstream) {
				return;
			}

			upstream.health = addGoodAnswer(upstream.health, ratio);
			const state = getLifeState(upstream.life);
			if (isSlow(upstream.health)) {
				sendLifeEvent(upstream, {type: 'slow', now, isAllowed: isPauseAllowed(upstream)});
			} else if (state === 'starting') {
				sendLifeEvent(upstream, {type: 'good-answer'});
			}
		},
		takeFailure(name, now) {
			const upstream = upstreams.get(name);
			if (!upstream) {
				return;
			}

			upstream.health = addFailure(upstream.health);
			const isTrial = getLifeState(upstream.life) === 'starting';
			if (isTrial || isFailing(upstream.health)) {
				sendLifeEvent(upstream, {type: 'failures', now, isAllowed: isPauseAllowed(upstream)});
			}
		},
		estimateSpare(upstream, typicalMilliseconds, now) {
			const foreign = estimateForeign(upstream.belief, meanForeign, typicalMilliseconds, now);
			return upstream.slots - upstream.running.size - foreign;
		},
		endPauses(now) {
			let next: number | undefined;
			for (const upstream of paused) {
				const {pausedUntil} = upstream.life.context;
				if (pausedUntil > now) {
					next = Math.min(next ?? pausedUntil, pausedUntil);
					continue;
				}

				upstream.health = goodHealth;
				sendLifeEvent(upstream, {type: 'pause-over'});
			}

			return next;
		},
		setUpstreams(descriptions) {
			setUpstreams(descriptions, upstreams.size > 0);
		},
		setView(next) {
			view = next;
			divide();
		},
		setFleet(next) {
			fleet = next;
			divide();
		},
		countOwnSlots: () => ownSlots,
		getStatus: () => [...upstreams.values()].map(upstream => ({
			upstream: upstream.name,
			state: upstream.description.state === 'leaving' ? 'leaving' : getLifeState(upstream.life),
			reason: describeReason(upstream),
			inFlight: upstream.running.size,
			slots: upstream.slots,
		})),
	};
}

/** Counts the calls that went out before the present moment and have not been answered; a report counts just these. */
function countSentBefore(upstream: PoolUpstream, now: number, answeredCallId: number | undefined): number {
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
		belief: noBelief,
		health: goodHealth,
		life: createUpstreamLife(isCold),
		countedSlots: 0,
	};
}

function describeReason(upstream: PoolUpstream): string {
	if (upstream.weight === 0) {
		return 'the table gives it weight 0';
	}

	if (upstream.description.state === 'leaving') {
		return 'membership says that it is leaving';
	}

	const {failuresInRow, slowness} = upstream.health;
	return `failures in a row ${failuresInRow}, duration ${slowness.toFixed(1)} times the typical one`;
}

