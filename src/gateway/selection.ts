/**
Selects the upstream of a request.

A few upstreams of the own failure domain are asked for their load, then some of the others where the near ones can't
keep the objective. Without room the request is held: it goes out as soon as an answer or a check shows room, in the
order of `held-requests.ts`, or is given up.
*/
import {chooseNext, type HeldRequest} from '../decisions/admission/held-requests.ts';
import {type RandomSource} from '../decisions/random.ts';
import * as freshLoad from '../decisions/routing/fresh-load.ts';
import {type Connection} from '../entry/connection-pool.ts';
import {
	askUpstreams, type AskHost, type AskResults, freshMilliseconds,
} from './ask-upstreams.ts';
import {type Upstream, type Upstreams} from './upstreams.ts';

export type Selected = {
	readonly kind: 'selected';
	readonly upstream: Upstream;
	/** Connection that was heard just now; undefined where none was asked. */
	readonly connection: Connection | undefined;
	readonly expectedMilliseconds: number;
	readonly checks: number;
};

export type Selection = Selected | {readonly kind: 'no-room'; readonly checks: number};

export type SelectionRequest = {
	readonly service: string;
	readonly priority: number;
	readonly work: freshLoad.WorkEstimate;
	/** Upstreams that were tried before. */
	readonly tried: ReadonlySet<string>;
	/** Time until which an answer is worth its full value. */
	readonly objectiveAt: number;
	/** Time at which the request is given up when there is no room. */
	readonly giveUpAt: number;
};

export type SelectionHost = AskHost & {
	readonly upstreams: Upstreams;
	readonly random: RandomSource;
};

export type Selector = {
	/** Selects; the listener is called once unless the returned function takes the request back. */
	select(request: SelectionRequest, listener: (selection: Selection) => void): () => void;
	/** Whether requests of a service wait for room. */
	isCrowded(service: string): boolean;
	/** An attempt at an upstream has ended; what is held may go there. */
	noteRoom(upstream: Upstream): void;
	close(): void;
};

type Pending = HeldRequest & {
	readonly request: SelectionRequest;
	readonly listener: (selection: Selection) => void;
	checks: number;
	cancelAsking: (() => void) | undefined;
	isOver: boolean;
};

/** Upstreams of the own failure domain that are asked for a request. */
const nearCount = 5;
/** Upstreams of other failure domains that are asked where the near ones can't keep the objective. */
const farCount = 3;
/** Upstreams that are asked at a time while requests are held; far ones only where there are fewer near ones. */
const heldCount = 3;
/** Share of the objective above which the expected time of the near upstreams is too long. */
const longShare = 0.6;
/** Time between two looks at what is held, in milliseconds. */
const heldIntervalMilliseconds = 10;
/** Looks after which upstreams that say they are unhealthy are used where no other answers, since such news can be wrong. */
const trustedLooks = 8;

/** Creates the selector of an entry. */
export function createSelector(host: SelectionHost): Selector {
	const heldByService = new Map<string, Set<Pending>>();
	const looks = new Map<string, number>();
	let timer: NodeJS.Timeout | undefined;

	const getHeld = (service: string) => heldByService.get(service);

	function finish(pending: Pending, selection: Selection): void {
		pending.isOver = true;
		remove(pending);
		pending.listener(selection);
	}

	function remove(pending: Pending): void {
		const {service} = pending.request;
		const held = getHeld(service);
		held?.delete(pending);
		if (held?.size === 0) {
			heldByService.delete(service);
			looks.delete(service);
		}
	}

	function draw(service: string, isNear: boolean, count: number, tried: ReadonlySet<string>): readonly Upstream[] {
		const now = host.getNow();
		const isUntried = ({registration}: Upstream) => !tried.has(registration.id);
		const mayRepeat = tried.size > 0 && !host.upstreams.listUsable(service).some(upstream => isUntried(upstream));
		const candidates = host.upstreams.listByDistance(service, isNear);
		const allowed = tried.size === 0 || mayRepeat ? candidates : candidates.filter(upstream => isUntried(upstream));
		return freshLoad.drawCandidates(allowed, count, ({record}) => record.getFailureShare(now), host.random);
	}

	function start(pending: Pending): void {
		const {service, tried} = pending.request;
		const near = draw(service, true, nearCount, tried);
		pending.cancelAsking = askUpstreams(host, {service, upstreams: near, purpose: 'choice'}, (results, checks) => {
			pending.checks += checks;
			const best = choose(pending, results);
			if (best && best.expectedMilliseconds <= longShare * pending.request.work.objectiveMilliseconds) {
				send(pending, best, results);
			} else {
				goFar(pending, results);
			}
		});
	}

	function goFar(pending: Pending, near: AskResults): void {
		const {service, tried} = pending.request;
		const far = draw(service, false, farCount, tried);
		pending.cancelAsking = askUpstreams(host, {service, upstreams: far, purpose: 'choice'}, (results, checks) => {
			pending.checks += checks;
			const all: AskResults = new Map([...near, ...results]);
			const best = choose(pending, all);
			if (best) {
				send(pending, best, all);
			} else {
				release(all);
				hold(pending);
			}
		}, () => {
			release(near);
		});
	}

	function choose(pending: Pending, results: AskResults): freshLoad.Expectation | undefined {
		const now = host.getNow();
		const states = [...results]
			.filter(([upstream]) => host.upstreams.isUsable(upstream))
			.filter(([upstream, result]) => result ? result.kind === 'healthy' : isUsableUnasked(upstream))
			.map(([upstream]) => host.upstreams.getState(upstream, now));
		// As long as nothing is held, a fast upstream is better crowded than a slow one idle.
		return freshLoad.chooseUpstream(states, {...pending.request.work, mayCrowd: true});
	}

	/** Whether an upstream that was not asked may be chosen: it told its load just before, or never does. */
	function isUsableUnasked(upstream: Upstream): boolean {
		return !host.tellsLoad(upstream.registration.service) || upstream.record.getState(host.getNow()).reading !== undefined;
	}

	function send(pending: Pending, {id, expectedMilliseconds}: freshLoad.Expectation, results: AskResults): void {
		const [upstream, result] = [...results].find(([{registration}]) => registration.id === id)!;
		release(new Map([...results].filter(([other]) => other !== upstream)));
		finish(pending, {
			kind: 'selected', upstream, connection: result?.kind === 'healthy' ? result.connection : undefined, expectedMilliseconds, checks: pending.checks,
		});
	}

	function release(results: AskResults): void {
		for (const [upstream, result] of results) {
			if (result?.kind === 'healthy') {
				upstream.pool.release(result.connection);
			}
		}
	}

	function hold(pending: Pending): void {
		const {service} = pending.request;
		pending.cancelAsking = undefined;
		if (host.getNow() >= pending.giveUpAt) {
			finish(pending, {kind: 'no-room', checks: pending.checks});
			return;
		}

		const held = getHeld(service) ?? new Set<Pending>();
		heldByService.set(service, held.add(pending));
		timer ??= setTimeout(look, heldIntervalMilliseconds);
	}

	/** Gives up what has waited too long, and asks a few upstreams for the rest. */
	function look(): void {
		timer = undefined;
		const now = host.getNow();
		for (const [service, held] of heldByService) {
			for (const pending of held) {
				if (now >= pending.giveUpAt) {
					finish(pending, {kind: 'no-room', checks: pending.checks});
				}
			}

			if (getHeld(service)) {
				askForHeld(service);
			}
		}

		if (heldByService.size > 0) {
			timer = setTimeout(look, heldIntervalMilliseconds);
		}
	}

	function askForHeld(service: string): void {
		const count = (looks.get(service) ?? 0) + 1;
		looks.set(service, count);
		const nobody = new Set<string>();
		const near = draw(service, true, heldCount, nobody);
		const far = draw(service, false, heldCount - near.length, nobody);
		askUpstreams(host, {service, upstreams: [...near, ...far], purpose: 'held'}, results => {
			for (const [upstream, result] of results) {
				const isUsable = result ? result.kind === 'healthy' || (result.kind === 'unhealthy' && count >= trustedLooks) : isUsableUnasked(upstream);
				const connection = result?.kind === 'healthy' ? result.connection : undefined;
				if (!isUsable || !sendHeld(upstream, connection)) {
					release(new Map([[upstream, result]]));
				}
			}
		});
	}

	/** Sends the next held request to an upstream if it has room. */
	function sendHeld(upstream: Upstream, connection: Connection | undefined): boolean {
		const now = host.getNow();
		const {id, service} = upstream.registration;
		const held = host.upstreams.isUsable(upstream) ? getHeld(service) : undefined;
		const pending = held && chooseNext([...held].filter(({request}) => !request.tried.has(id)), now);
		if (!pending) {
			return false;
		}

		const expectation = freshLoad.estimate(host.upstreams.getState(upstream, now), pending.request.work);
		if (!expectation.hasRoom) {
			return false;
		}

		finish(pending, {
			kind: 'selected', upstream, connection, expectedMilliseconds: expectation.expectedMilliseconds, checks: pending.checks,
		});
		return true;
	}

	return {
		select(request, listener) {
			const pending: Pending = {
				request,
				listener,
				priority: request.priority,
				objectiveAt: request.objectiveAt,
				giveUpAt: request.giveUpAt,
				expectedMilliseconds: freshLoad.getUsualMilliseconds(request.work.workMilliseconds),
				checks: 0,
				cancelAsking: undefined,
				isOver: false,
			};
			if (getHeld(request.service)) {
				hold(pending);
			} else {
				start(pending);
			}

			return () => {
				if (!pending.isOver) {
					pending.isOver = true;
					pending.cancelAsking?.();
					remove(pending);
				}
			};
		},
		isCrowded: service => getHeld(service) !== undefined,
		noteRoom(upstream) {
			const {reading} = upstream.record.getState(host.getNow());
			const isFresh = reading !== undefined && host.getNow() - reading.readAt <= freshMilliseconds;
			if (!isFresh && host.tellsLoad(upstream.registration.service)) {
				return;
			}

			while (sendHeld(upstream, undefined)) {
				// Sends until the upstream has no more room.
			}
		},
		close() {
			clearTimeout(timer);
		},
	};
}
