/**
Selects the upstream of a request: asks a few for their load, takes the best that has room, or holds the request and
asks again until there is room or the request must be given up.
*/
import {type RandomSource} from '../decisions/random.ts';
import * as freshLoad from '../decisions/routing/fresh-load.ts';
import {type Connection} from '../entry/connection-pool.ts';
import {
	type CheckResult, type LoadCheck, type LoadCheckHost, startLoadCheck,
} from './load-check.ts';
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
	readonly work: freshLoad.WorkEstimate;
	/** Upstreams that were tried before. */
	readonly tried: ReadonlySet<string>;
	/** Time at which the request is given up when there is no room. */
	readonly holdUntil: number;
	/** Time after which no answer is of use. */
	readonly limitAt: number;
};

export type SelectionHost = LoadCheckHost & {
	readonly upstreams: Upstreams;
	readonly random: RandomSource;
	/** Takes one load check of an upstream from the budget, if it allows that. */
	tryTakeCheck(upstream: Upstream, now: number): boolean;
	noteReadout(service: string, tellsLoad: boolean): void;
	/** Whether upstreams of the service tell their load; assumed until an answer shows otherwise. */
	tellsLoad(service: string): boolean;
};

export type Selector = {
	/** Selects; the listener is called once unless the returned function takes the request back. */
	select(request: SelectionRequest, listener: (selection: Selection) => void): () => void;
};

/** Upstreams that are asked for each request: three of the own failure domain and one other. */
const candidateCounts: freshLoad.CandidateCounts = {near: 3, all: 4};
/** Wait for the answers of load checks, in milliseconds; ten times the way to another failure domain and back. */
const checkWaitMilliseconds = 25;
/** Wait for answers after the first that promises no delay, in milliseconds. */
const lingerMilliseconds = 3;
/** Pause before upstreams are asked again, in milliseconds; some requests end in that time. */
const pauseMilliseconds = 12;
/** Rounds after which upstreams that say they are unhealthy are used where no other is left, since such news can be wrong. */
const trustedRounds = 3;
/** A reading of this age is as good as a check, in milliseconds. */
const freshMilliseconds = 3;

/** Creates the selector of an entry. */
export function createSelector(host: SelectionHost): Selector {
	function select(request: SelectionRequest, listener: (selection: Selection) => void): () => void {
		let isOver = false;
		let checks = 0;
		let rounds = 0;
		let timer: NodeJS.Timeout | undefined;
		let cancelRound = () => undefined as void;

		function finish(selection: Selection): void {
			isOver = true;
			clearTimeout(timer);
			listener(selection);
		}

		function runRound(): void {
			rounds++;
			const now = host.getNow();
			const usable = host.upstreams.listUsable(request.service);
			const fresh = usable.filter(({registration}) => !request.tried.has(registration.id));
			const upstreams = fresh.length > 0 ? fresh : usable;
			const byId = new Map(upstreams.map(upstream => [upstream.registration.id, upstream]));
			const states = upstreams.map(upstream => host.upstreams.getState(upstream, now));
			const candidates = freshLoad.drawCandidates(states, candidateCounts, host.random).map(({id}) => byId.get(id)!);
			cancelRound = askAll(candidates, decide);
		}

		function decide(results: ReadonlyMap<Upstream, CheckResult | undefined>): void {
			const now = host.getNow();
			const healthy = [...results].filter(([upstream, result]) => isOffered(upstream, result));
			const offered = healthy.length === 0 && rounds >= trustedRounds
				? [...results].filter(([, result]) => result?.kind === 'unhealthy')
				: healthy;
			const states = offered.map(([upstream]) => host.upstreams.getState(upstream, now));
			const best = freshLoad.chooseUpstream(states, request.work);
			const upstream = offered.find(([{registration}]) => registration.id === best?.id)?.[0];
			for (const [other, result] of results) {
				if (other !== upstream && result?.kind === 'healthy') {
					other.pool.release(result.connection);
				}
			}

			if (upstream && best) {
				const result = results.get(upstream);
				finish({
					kind: 'selected', upstream, connection: result?.kind === 'healthy' ? result.connection : undefined, expectedMilliseconds: best.expectedMilliseconds, checks,
				});
				return;
			}

			hold(now);
		}

		function hold(now: number): void {
			const pause = pauseMilliseconds * (0.75 + (host.random.nextFraction() / 2));
			if (now + pause >= Math.min(request.holdUntil, request.limitAt)) {
				finish({kind: 'no-room', checks});
				return;
			}

			timer = setTimeout(runRound, pause);
		}

		/** Whether an upstream may be chosen: it answered its check, or was not asked and said something just before. */
		function isOffered(upstream: Upstream, result: CheckResult | undefined): boolean {
			if (result) {
				return result.kind === 'healthy';
			}

			return !host.tellsLoad(request.service) || upstream.record.getState(host.getNow()).reading !== undefined;
		}

		function askAll(candidates: readonly Upstream[], done: (results: ReadonlyMap<Upstream, CheckResult | undefined>) => void): () => void {
			const results = new Map<Upstream, CheckResult | undefined>();
			const running = new Map<Upstream, LoadCheck>();
			let roundTimer: NodeJS.Timeout | undefined;
			let isRoundOver = false;

			const end = () => {
				if (isRoundOver) {
					return;
				}

				isRoundOver = true;
				clearTimeout(roundTimer);
				for (const [upstream, check] of running) {
					check.detach();
					results.set(upstream, {kind: 'silent'});
				}

				done(results);
			};

			const ask = (upstream: Upstream) => {
				const now = host.getNow();
				const {reading} = upstream.record.getState(now);
				const isFresh = reading !== undefined && now - reading.readAt <= freshMilliseconds;
				if (isFresh || !host.tellsLoad(request.service) || !host.tryTakeCheck(upstream, now)) {
					results.set(upstream, undefined);
					return;
				}

				checks++;
				running.set(upstream, startLoadCheck(host, upstream, result => {
					running.delete(upstream);
					results.set(upstream, result);
					takeResult(upstream, result);
					if (running.size === 0) {
						end();
					} else if (result.kind === 'healthy' && promisesNoDelay(upstream)) {
						clearTimeout(roundTimer);
						roundTimer = setTimeout(end, lingerMilliseconds);
					}
				}));
			};

			for (const upstream of candidates) {
				ask(upstream);
			}

			if (running.size === 0) {
				end();
			} else {
				roundTimer ??= setTimeout(end, checkWaitMilliseconds);
			}

			return () => {
				if (isRoundOver) {
					return;
				}

				isRoundOver = true;
				clearTimeout(roundTimer);
				for (const check of running.values()) {
					check.detach();
				}

				for (const [upstream, result] of results) {
					if (result?.kind === 'healthy') {
						upstream.pool.release(result.connection);
					}
				}
			};
		}

		function takeResult(upstream: Upstream, result: CheckResult): void {
			if (result.kind === 'healthy') {
				host.noteReadout(request.service, upstream.record.getState(host.getNow()).reading !== undefined);
			} else if (result.kind === 'misdirected') {
				host.upstreams.retire(upstream.registration.id);
			}
		}

		function promisesNoDelay(upstream: Upstream): boolean {
			const {expectedMilliseconds} = freshLoad.estimate(host.upstreams.getState(upstream, host.getNow()), request.work);
			return expectedMilliseconds <= request.work.workMilliseconds * 1.25;
		}

		runRound();
		return () => {
			if (!isOver) {
				isOver = true;
				clearTimeout(timer);
				cancelRound();
			}
		};
	}

	return {select};
}
