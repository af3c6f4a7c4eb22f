/**
Holds the permits that an entry has received, and decides when to ask for the next one.

An entry asks in advance, while it has requests of the service, so that a request never waits for the answer. It holds at
most one permit of each upstream; one that isn't used in time expires. The validity counts from the moment of asking, so
that an entry that was delayed meanwhile doesn't use a permit that the coordinator regards as expired.
*/
import * as exhaustiveness from '../assert-never.ts';
import type * as permitIssuer from './permit-issuer.ts';
import type * as upstreamStatements from './upstream-statements.ts';

type UpstreamIncarnation = upstreamStatements.UpstreamIncarnation;

/** The permits of one entry. */
export type PermitWallet = {
	/** Uses the permit of an upstream. Returns whether there was a valid one. */
	take(upstream: UpstreamIncarnation, now: number): boolean;
	/** Returns whether to ask for a permit of an upstream, and records that it is asked for. */
	tryStartRequest(upstream: UpstreamIncarnation, now: number): boolean;
	/** Records the answer to the request that was sent at `askedAt`; undefined if the coordinator didn't answer. */
	recordResponse(upstream: UpstreamIncarnation, response: permitIssuer.PermitResponse | undefined, askedAt: number, now: number): void;
	/** Gets the start of the permit of an upstream; undefined if there is none. */
	getStart(upstream: UpstreamIncarnation, now: number): number | undefined;
	/** Forgets the upstreams that are no longer registered. */
	retain(isRegistered: (id: string) => boolean): void;
};

/** Pause after a request for a permit that was not answered, in milliseconds. */
const failurePauseMilliseconds = 500;

type PermitState
	= | {readonly kind: 'none'; readonly askAgainAt: number}
		| {readonly kind: 'asking'}
		| {readonly kind: 'held'; readonly startsAt: number; readonly expiresAt: number};

type TrackedPermit = {readonly incarnation: number; readonly state: PermitState};

/** Creates an empty wallet. */
export function createPermitWallet(): PermitWallet {
	const permits = new Map<string, TrackedPermit>();

	function getState({id, incarnation}: UpstreamIncarnation): PermitState | undefined {
		const permit = permits.get(id);
		return permit?.incarnation === incarnation ? permit.state : undefined;
	}

	function setState({id, incarnation}: UpstreamIncarnation, state: PermitState): void {
		permits.set(id, {incarnation, state});
	}

	return {
		take(upstream, now) {
			const state = getState(upstream);
			if (state?.kind !== 'held' || now < state.startsAt) {
				return false;
			}

			setState(upstream, {kind: 'none', askAgainAt: now});
			return now < state.expiresAt;
		},
		tryStartRequest(upstream, now) {
			const state = getState(upstream);
			const mayAsk = state === undefined || (state.kind === 'none' && now >= state.askAgainAt) || (state.kind === 'held' && now >= state.expiresAt);
			if (mayAsk) {
				setState(upstream, {kind: 'asking'});
			}

			return mayAsk;
		},
		recordResponse(upstream, response, askedAt, now) {
			if (getState(upstream)?.kind !== 'asking') {
				return;
			}

			if (response === undefined) {
				setState(upstream, {kind: 'none', askAgainAt: now + failurePauseMilliseconds});
				return;
			}

			switch (response.kind) {
				case 'granted': {
					const {startsInMilliseconds, validMilliseconds} = response;
					setState(upstream, {kind: 'held', startsAt: now + startsInMilliseconds, expiresAt: askedAt + startsInMilliseconds + validMilliseconds});
					break;
				}

				case 'denied': {
					setState(upstream, {kind: 'none', askAgainAt: now + response.retryAfterMilliseconds});
					break;
				}

				default: {
					exhaustiveness.assertNever(response);
				}
			}
		},
		getStart(upstream, now) {
			const state = getState(upstream);
			return state?.kind === 'held' && now < state.expiresAt ? state.startsAt : undefined;
		},
		retain(isRegistered) {
			for (const id of permits.keys()) {
				if (!isRegistered(id)) {
					permits.delete(id);
				}
			}
		},
	};
}
