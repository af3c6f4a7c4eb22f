/**
Holds the admissions that an entry was issued, and decides which coordinator to ask for the next ones.

Without an admission no request of a workspace with an allowance is passed on, so a coordinator that isn't heard can't
make the sum of all entries larger. The validity counts from the moment of asking, so that an entry that was delayed
meanwhile doesn't use an admission that the coordinator regards as expired.
*/
import * as exhaustiveness from '../assert-never.ts';
import * as allowanceIssuer from './allowance-issuer.ts';

/** Why a request isn't admitted: its workspace is beyond its allowance, or no coordinator answers. */
export type AdmissionRefusal = 'limited' | 'undecided';

/** What to do for a request without an admission. */
export type AdmissionStep
	= | {readonly kind: 'ask'; readonly coordinator: string; readonly ahead: number}
		| {readonly kind: 'refuse'; readonly reason: AdmissionRefusal};

/** A question that was sent. */
export type SentQuestion = {readonly workspace: string; readonly coordinator: string; readonly needed: number; readonly askedAt: number};

/** The admissions of one entry. */
export type AllowanceWallet = {
	/** Counts an arrival of a workspace. */
	countArrival(workspace: string, now: number): void;
	/** Uses an admission. Returns whether there was a valid one. */
	take(workspace: string, now: number): boolean;
	/** Chooses among the coordinators of a workspace, listed in the order of preference, and records that the first suitable one is asked. */
	chooseStep(workspace: string, coordinators: readonly string[], now: number): AdmissionStep;
	/** Records the answer of a coordinator, undefined if there was none, and keeps the admissions that it issued. */
	recordResponse(question: SentQuestion, response: allowanceIssuer.AdmissionResponse | undefined, now: number): void;
	/** Forgets workspaces and coordinators that matter no more. */
	forget(now: number): void;
};

/** Time for which a coordinator that didn't answer isn't asked, in milliseconds. */
const silenceMilliseconds = 1000;
/** Time over which arrivals are counted, in milliseconds, and the time for which admissions are asked ahead. */
const arrivalMilliseconds = 1000;
const aheadMilliseconds = allowanceIssuer.admissionMilliseconds / 2;

type Purse = {
	tokens: ReadonlyArray<{readonly count: number; readonly expiresAt: number}>;
	/** Arrivals in the present and the previous interval. */
	arrivals: {readonly startedAt: number; readonly count: number; readonly previous: number};
	/** Coordinators that need not be asked for a while, by name. */
	readonly pauses: Map<string, {readonly until: number; readonly reason: AdmissionRefusal}>;
};

/** Creates a wallet without admissions. */
export function createAllowanceWallet(): AllowanceWallet {
	const purses = new Map<string, Purse>();
	const silentUntil = new Map<string, number>();

	function getPurse(workspace: string, now: number): Purse {
		const purse = purses.get(workspace) ?? {tokens: [], arrivals: {startedAt: now, count: 0, previous: 0}, pauses: new Map()};
		purses.set(workspace, purse);
		return purse;
	}

	/** Estimates the arrivals while admissions that are asked for now are valid. */
	function getAhead({arrivals}: Purse): number {
		return Math.floor(Math.max(arrivals.count, arrivals.previous) * aheadMilliseconds / arrivalMilliseconds);
	}

	return {
		countArrival(workspace, now) {
			const purse = getPurse(workspace, now);
			const {startedAt, count} = purse.arrivals;
			const age = now - startedAt;
			purse.arrivals = age < arrivalMilliseconds
				? {...purse.arrivals, count: count + 1}
				: {startedAt: now, count: 1, previous: age < 2 * arrivalMilliseconds ? count : 0};
		},
		take(workspace, now) {
			const purse = getPurse(workspace, now);
			const [first, ...others] = purse.tokens.filter(({expiresAt}) => now < expiresAt);
			if (!first) {
				purse.tokens = [];
				return false;
			}

			purse.tokens = first.count > 1 ? [{...first, count: first.count - 1}, ...others] : others;
			return true;
		},
		chooseStep(workspace, coordinators, now) {
			const purse = getPurse(workspace, now);
			let reason: AdmissionRefusal = 'undecided';
			for (const coordinator of coordinators) {
				const pause = purse.pauses.get(coordinator);
				if (pause && now < pause.until) {
					reason = pause.reason === 'limited' ? 'limited' : reason;
					continue;
				}

				const silence = silentUntil.get(coordinator);
				if (silence !== undefined && now < silence) {
					continue;
				}

				if (silence !== undefined) {
					// One request at a time finds out whether it answers again.
					silentUntil.set(coordinator, now + silenceMilliseconds);
				}

				return {kind: 'ask', coordinator, ahead: getAhead(purse)};
			}

			return {kind: 'refuse', reason};
		},
		recordResponse({workspace, coordinator, needed, askedAt}, response, now) {
			if (!response) {
				silentUntil.set(coordinator, now + silenceMilliseconds);
				return;
			}

			silentUntil.delete(coordinator);
			const purse = getPurse(workspace, now);
			switch (response.kind) {
				case 'issued': {
					if (response.count < needed) {
						purse.pauses.set(coordinator, {until: now + response.retryAfterMilliseconds, reason: 'limited'});
					}

					if (response.count > 0) {
						purse.tokens = [...purse.tokens, {count: response.count, expiresAt: askedAt + allowanceIssuer.admissionMilliseconds}];
					}

					break;
				}

				case 'not-counted': {
					purse.pauses.set(coordinator, {until: now + response.retryAfterMilliseconds, reason: 'undecided'});
					break;
				}

				default: {
					exhaustiveness.assertNever(response);
				}
			}
		},
		forget(now) {
			for (const [workspace, {arrivals, pauses}] of purses) {
				if (now - arrivals.startedAt > 2 * arrivalMilliseconds && [...pauses.values()].every(({until}) => now >= until)) {
					purses.delete(workspace);
				}
			}

			for (const [coordinator, until] of silentUntil) {
				if (now - until > silenceMilliseconds) {
					silentUntil.delete(coordinator);
				}
			}
		},
	};
}
