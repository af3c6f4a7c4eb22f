/**
Obtains and issues permits to send requests to upstreams with a rate limit.

An entry asks the coordinator of an upstream while it has requests of the service, and uses the permits for requests that
arrive later. As a coordinator, it issues the permits of all entries.
*/
import * as permitIssuer from '../decisions/backpressure/permit-issuer.ts';
import * as permitRoles from '../decisions/backpressure/permit-roles.ts';
import * as permitWallet from '../decisions/backpressure/permit-wallet.ts';
import type * as upstreamStatements from '../decisions/backpressure/upstream-statements.ts';
import type * as randomness from '../decisions/random.ts';
import type * as sharing from '../decisions/sharing/types.ts';
import type * as peerPermits from '../peers/permits.ts';
import type * as statementRecorder from './statement-recorder.ts';
import type * as upstreams from './upstreams.ts';

/** Result of a request for a permit, for metrics. */
export type PermitResult = 'granted' | 'denied' | 'no-answer' | 'no-coordinator';

/** Dependencies of the permits of an entry. */
export type PermitsHost = {
	readonly client: peerPermits.PermitClient;
	readonly recorder: statementRecorder.StatementRecorder;
	readonly random: randomness.RandomSource;
	/** Name of this entry. */
	readonly name: string;
	/** Lists the upstreams of a service that need a permit for each request. */
	listByPermit(service: string): readonly upstreams.Upstream[];
	listMembers(): readonly sharing.Member[];
	/** Gets the part of the fleet that this entry sees, from 0 to 1. */
	getVisibleShare(): number;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	/** Records the result of a request for a permit that this entry made (`asked`) or answered (`issued`). */
	recordPermit(side: 'asked' | 'issued', result: PermitResult): void;
};

/** The permits of an entry. */
export type Permits = {
	/** Uses a permit for a request of a service, of a cold upstream only if that is allowed, and returns its upstream; undefined if there is no permit. */
	take(service: string, tried: ReadonlySet<string>, mayUseCold: boolean): upstreams.Upstream | undefined;
	/** Whether each request to some upstreams of a service needs a permit. */
	areNeeded(service: string): boolean;
	/** Estimates the time until this entry has a permit for a request of a service, in milliseconds. */
	getWaitMilliseconds(service: string): number;
	/** Answers another entry that asks for a permit. */
	handleRequest(request: peerPermits.SharedPermitRequest): permitIssuer.PermitResponse;
	/** Forgets the upstreams that are no longer registered. */
	retain(isRegistered: (id: string) => boolean): void;
	close(): void;
};

/** Time for which computed roles are used, in milliseconds; less than a coordinator waits before it issues its first permit. */
const rolesLifetimeMilliseconds = 200;
const minimumWaitMilliseconds = 100;
const maximumWaitMilliseconds = 3000;
const millisecondsPerSecond = 1000;

type CachedRoles = {readonly roles: permitRoles.PermitRoles; readonly expiresAt: number};

/** Creates the permits of an entry. */
export function createPermits(host: PermitsHost): Permits {
	const {recorder: {statements}, random} = host;
	const issuer = permitIssuer.createPermitIssuer(random);
	const wallet = permitWallet.createPermitWallet();
	const rolesByUpstream = new Map<string, CachedRoles>();
	let members: {readonly list: readonly sharing.Member[]; readonly expiresAt: number} = {list: [], expiresAt: Number.NEGATIVE_INFINITY};

	function listMembers(now: number): readonly sharing.Member[] {
		if (now >= members.expiresAt) {
			members = {list: host.listMembers(), expiresAt: now + rolesLifetimeMilliseconds};
		}

		return members.list;
	}

	function getRoles(id: string, requestsPerSecond: number, now: number): permitRoles.PermitRoles {
		const cached = rolesByUpstream.get(id);
		if (cached && now < cached.expiresAt) {
			return cached.roles;
		}

		const roles = permitRoles.getPermitRoles(host.name, id, requestsPerSecond, listMembers(now));
		rolesByUpstream.set(id, {roles, expiresAt: now + rolesLifetimeMilliseconds});
		return roles;
	}

	/** Gets the rate limit of an upstream; undefined if it has none. */
	function getLimit(upstream: upstreamStatements.UpstreamIncarnation, now: number) {
		const access = statements.getAccess(upstream, now);
		return access.kind === 'by-permit' ? access : undefined;
	}

	function issue(request: permitIssuer.PermitRequest): permitIssuer.PermitResponse {
		const now = host.getNow();
		const requestsPerSecond = getLimit({id: request.upstreamId, incarnation: request.incarnation}, now)?.requestsPerSecond;
		const coordinator = requestsPerSecond === undefined ? undefined : getRoles(request.upstreamId, requestsPerSecond, now).coordinator;
		const response = issuer.request(request, {requestsPerSecond, isCoordinator: coordinator?.name === host.name, visibleShare: host.getVisibleShare()}, now);
		host.recordPermit('issued', response.kind);
		return response;
	}

	function askIfNeeded({registration}: upstreams.Upstream, now: number): void {
		const limit = getLimit(registration, now);
		if (!limit) {
			return;
		}

		const {id, incarnation} = registration;
		const {requestsPerSecond, heardAt, coldUntil} = limit;
		const {coordinator, mayAsk} = getRoles(id, requestsPerSecond, now);
		if (mayAsk && wallet.tryStartRequest(registration, now)) {
			void ask({
				upstreamId: id, incarnation, requester: host.name, requestsPerSecond, ageMilliseconds: now - heardAt, coldMilliseconds: coldUntil === undefined ? 0 : coldUntil - now,
			}, coordinator);
		}
	}

	async function ask(request: peerPermits.SharedPermitRequest, coordinator: sharing.Member | undefined): Promise<void> {
		const askedAt = host.getNow();
		const response = coordinator && await requestPermit(coordinator, request);
		host.recordPermit('asked', coordinator ? response?.kind ?? 'no-answer' : 'no-coordinator');
		wallet.recordResponse({id: request.upstreamId, incarnation: request.incarnation}, response, askedAt, host.getNow());
	}

	async function requestPermit(coordinator: sharing.Member, request: peerPermits.SharedPermitRequest): Promise<permitIssuer.PermitResponse | undefined> {
		if (coordinator.name === host.name) {
			return issue(request);
		}

		const result = await host.client.request(coordinator.peerAddress, request);
		return result.unwrapOr(undefined);
	}

	return {
		take(service, tried, mayUseCold) {
			const now = host.getNow();
			const candidates = host.listByPermit(service).filter(({registration}) => mayUseCold || getLimit(registration, now)?.coldUntil === undefined);
			for (const upstream of candidates) {
				askIfNeeded(upstream, now);
			}

			const upstream = candidates.find(({registration}) => !tried.has(registration.id) && wallet.take(registration, now));
			if (upstream) {
				askIfNeeded(upstream, now);
			}

			return upstream;
		},
		areNeeded: service => host.listByPermit(service).length > 0,
		getWaitMilliseconds(service) {
			const now = host.getNow();
			let permitsPerSecond = 0;
			let wait = maximumWaitMilliseconds;
			for (const {registration} of host.listByPermit(service)) {
				const requestsPerSecond = getLimit(registration, now)?.requestsPerSecond ?? 0;
				const {mayAsk, requesterCount} = getRoles(registration.id, requestsPerSecond, now);
				permitsPerSecond += mayAsk ? requestsPerSecond / requesterCount : 0;
				wait = Math.min(wait, (wallet.getStart(registration, now) ?? Number.POSITIVE_INFINITY) - now);
			}

			const expected = permitsPerSecond === 0 ? wait : Math.min(wait, millisecondsPerSecond / permitsPerSecond);
			return Math.min(maximumWaitMilliseconds, Math.max(minimumWaitMilliseconds, expected) * (1 + random.nextFraction()));
		},
		handleRequest(request) {
			const {upstreamId, incarnation, requestsPerSecond, ageMilliseconds, coldMilliseconds} = request;
			host.recorder.recordShared([coldMilliseconds > 0
				? {
					id: upstreamId, incarnation, content: {kind: 'cold', milliseconds: coldMilliseconds, requestsPerSecond}, ageMilliseconds: 0,
				}
				: {
					id: upstreamId, incarnation, content: {kind: 'rate-limit', requestsPerSecond}, ageMilliseconds,
				}], request.requester);
			return issue(request);
		},
		retain(isRegistered) {
			issuer.retain(isRegistered);
			wallet.retain(isRegistered);
			for (const id of rolesByUpstream.keys()) {
				if (!isRegistered(id)) {
					rolesByUpstream.delete(id);
				}
			}
		},
		close() {
			host.client.close();
		},
	};
}
