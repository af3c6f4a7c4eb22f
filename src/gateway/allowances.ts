/**
Keeps the allowances of workspaces over all entries.

An entry asks the coordinators of a workspace for the admissions of its requests; a request waits for the answer, and is
passed on only with an admission. As a coordinator, an entry issues its part of the admissions of all entries.
*/
import * as allowanceIssuer from '../decisions/admission/allowance-issuer.ts';
import * as allowanceRoles from '../decisions/admission/allowance-roles.ts';
import * as allowanceWallet from '../decisions/admission/allowance-wallet.ts';
import type * as configuration from '../decisions/configuration/types.ts';
import type * as randomness from '../decisions/random.ts';
import type * as sharing from '../decisions/sharing/types.ts';
import type * as logger from '../observability/logger.ts';
import type * as peerAllowances from '../peers/allowances.ts';

/** Whether a request is passed on. */
export type Admission = 'admitted' | allowanceWallet.AdmissionRefusal;

/** Result of a question for admissions, for metrics. */
export type AdmissionResult = 'issued' | 'limited' | 'not-counted' | 'no-answer';

/** Dependencies of the allowances of an entry. */
export type AllowancesHost = {
	readonly client: peerAllowances.AllowanceClient;
	readonly logger: logger.Logger;
	readonly random: randomness.RandomSource;
	/** Name and failure domain of this entry. */
	readonly name: string;
	readonly failureDomain: string;
	/** Lists the workspaces of the configuration in force. */
	listWorkspaces(): readonly configuration.Workspace[];
	listMembers(): readonly sharing.Member[];
	/** Gets the part of the fleet that this entry sees, from 0 to 1. */
	getVisibleShare(): number;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	/** Records the result of a question that this entry asked or answered, and the time that it took. */
	recordAdmissions(side: 'asked' | 'answered', result: AdmissionResult, milliseconds: number): void;
};

/** The allowances of an entry. */
export type Allowances = {
	/**
	Decides about a request of a workspace: at once if possible, otherwise when a coordinator has answered. The listener is
	called once, unless the returned function withdraws the request before; its admission then serves another one.
	*/
	admit(workspace: configuration.Workspace, listener: (admission: Admission) => void): () => void;
	/** Number of requests that wait for an admission. */
	countWaiting(): number;
	/** Time after which a caller that was not admitted should return, in milliseconds. */
	getRetryMilliseconds(): number;
	/** Answers another entry that asks for admissions. */
	handleRequest(request: allowanceIssuer.AdmissionRequest): allowanceIssuer.AdmissionResponse;
	/** Updates what this entry coordinates, also while nobody asks. */
	maintain(): void;
	close(): void;
};

/** Time for which computed roles are used, in milliseconds; less than a new coordinator waits before it issues admissions. */
const rolesLifetimeMilliseconds = 200;
/** Longest time for which a request waits for admissions, in milliseconds. */
const maximumWaitMilliseconds = 500;
/** Requests of a workspace that may wait. */
const maximumWaiting = 1000;
/** Shortest time until a limited caller should return, in milliseconds, and the time over which they are spread. */
const retryMilliseconds = 500;
const retrySpreadMilliseconds = 1500;
/** Time without a refusal after which a workspace isn't limited any more, in milliseconds. */
const limitedMilliseconds = 3000;

const ignore = () => undefined;

type WaitingRequest = {readonly since: number; readonly listener: (admission: Admission) => void};
type Queue = {waiting: readonly WaitingRequest[]; isAsking: boolean};
type Cached<Value> = {readonly value: Value; readonly expiresAt: number};

/** Creates the allowances of an entry. */
export function createAllowances(host: AllowancesHost): Allowances {
	const issuer = allowanceIssuer.createAllowanceIssuer(host.random);
	const wallet = allowanceWallet.createAllowanceWallet();
	const queues = new Map<string, Queue>();
	const coordinatorsByWorkspace = new Map<string, Cached<readonly sharing.Member[]>>();
	/** Times of the latest refusals of workspaces that are limited. */
	const limitedAt = new Map<string, number>();
	let candidates: Cached<{readonly members: readonly sharing.Member[]; readonly entries: number}> = {value: {members: [], entries: 0}, expiresAt: Number.NEGATIVE_INFINITY};
	let partsExpireAt = Number.NEGATIVE_INFINITY;
	let coordinated = 0;

	function getCandidates(now: number) {
		if (now >= candidates.expiresAt) {
			const members = host.listMembers();
			candidates = {value: {members: allowanceRoles.chooseCandidates(members), entries: members.length}, expiresAt: now + rolesLifetimeMilliseconds};
		}

		return candidates.value;
	}

	function listCoordinators(workspace: string, now: number): readonly sharing.Member[] {
		const cached = coordinatorsByWorkspace.get(workspace);
		if (cached && now < cached.expiresAt) {
			return cached.value;
		}

		const coordinators = allowanceRoles.orderForEntry(host, allowanceRoles.chooseCoordinators(workspace, getCandidates(now).members));
		coordinatorsByWorkspace.set(workspace, {value: coordinators, expiresAt: now + rolesLifetimeMilliseconds});
		return coordinators;
	}

	/** Sets the parts of the allowances that this entry issues; less if it has lost sight of entries, since these may have coordinators of their own. */
	function updateParts(now: number): void {
		if (now < partsExpireAt) {
			return;
		}

		partsExpireAt = now + rolesLifetimeMilliseconds;
		const {entries} = getCandidates(now);
		const visibleShare = host.getVisibleShare();
		const parts = new Map<string, allowanceIssuer.Allowance>();
		for (const {name, allowance} of host.listWorkspaces()) {
			const coordinators = allowance ? listCoordinators(name, now) : [];
			if (allowance && coordinators.some(coordinator => coordinator.name === host.name)) {
				const share = visibleShare / coordinators.length;
				parts.set(name, {requestsPerSecond: allowance.requestsPerSecond * share, burst: allowance.burst * share});
			}
		}

		issuer.setParts(parts, now);
		if (parts.size !== coordinated) {
			coordinated = parts.size;
			host.logger.info('allowances-coordinated', {workspaces: parts.size, members: entries, visibleShare: Number(visibleShare.toFixed(2))});
		}
	}

	function handleRequest(request: allowanceIssuer.AdmissionRequest): allowanceIssuer.AdmissionResponse {
		const now = host.getNow();
		updateParts(now);
		const response = issuer.request(request, now);
		host.recordAdmissions('answered', getResult(response), 0);
		return response;
	}

	async function ask(coordinator: sharing.Member, request: allowanceIssuer.AdmissionRequest): Promise<allowanceIssuer.AdmissionResponse | undefined> {
		if (coordinator.name === host.name) {
			return handleRequest(request);
		}

		const askedAt = host.getNow();
		const result = await host.client.request(coordinator.peerAddress, request);
		const milliseconds = host.getNow() - askedAt;
		if (result.isErr()) {
			host.recordAdmissions('asked', 'no-answer', milliseconds);
			host.logger.warn('allowance-coordinator-silent', {
				coordinator: coordinator.name, workspace: request.workspace, milliseconds: Math.round(milliseconds), reason: result.error.message,
			});
			return undefined;
		}

		host.recordAdmissions('asked', getResult(result.value), milliseconds);
		return result.value;
	}

	/** Asks the coordinators of a workspace one after the other until no request waits any more. */
	async function serveQueue(workspace: string, queue: Queue): Promise<void> {
		queue.isAsking = true;
		for (;;) {
			const askedAt = host.getNow();
			while (queue.waiting.length > 0 && wallet.take(workspace, askedAt)) {
				settle(workspace, queue, 1, 'admitted');
			}

			settle(workspace, queue, queue.waiting.filter(({since}) => askedAt - since >= maximumWaitMilliseconds).length, 'undecided');
			const needed = queue.waiting.length;
			if (needed === 0) {
				break;
			}

			const coordinators = listCoordinators(workspace, askedAt);
			const step = wallet.chooseStep(workspace, coordinators.map(({name}) => name), askedAt);
			if (step.kind === 'refuse') {
				settle(workspace, queue, needed, step.reason);
				break;
			}

			const {coordinator, ahead} = step;
			const response = await ask(coordinators.find(({name}) => name === coordinator)!, {
				workspace, entry: host.name, needed, ahead,
			});
			wallet.recordResponse({
				workspace, coordinator, needed, askedAt,
			}, response, host.getNow());
		}

		queue.isAsking = false;
	}

	/** Decides about the requests that have waited longest. */
	function settle(workspace: string, queue: Queue, count: number, admission: Admission): void {
		const settled = queue.waiting.slice(0, count);
		queue.waiting = queue.waiting.slice(count);
		for (const {listener} of settled) {
			decide(workspace, admission, listener);
		}
	}

	function decide(workspace: string, admission: Admission, listener: (admission: Admission) => void): void {
		if (admission === 'limited') {
			if (!limitedAt.has(workspace)) {
				host.logger.info('workspace-limit-changed', {workspace, isLimited: true});
			}

			limitedAt.set(workspace, host.getNow());
		}

		listener(admission);
	}

	return {
		admit({name, allowance}, listener) {
			if (!allowance) {
				listener('admitted');
				return ignore;
			}

			const now = host.getNow();
			const queue = queues.get(name) ?? {waiting: [], isAsking: false};
			queues.set(name, queue);
			wallet.countArrival(name, now);
			if (queue.waiting.length === 0 && wallet.take(name, now)) {
				listener('admitted');
				return ignore;
			}

			if (queue.waiting.length >= maximumWaiting) {
				listener('undecided');
				return ignore;
			}

			const request = {since: now, listener};
			queue.waiting = [...queue.waiting, request];
			if (!queue.isAsking) {
				void serveQueue(name, queue);
			}

			return () => {
				queue.waiting = queue.waiting.filter(other => other !== request);
			};
		},
		countWaiting: () => [...queues.values()].reduce((sum, {waiting}) => sum + waiting.length, 0),
		getRetryMilliseconds: () => retryMilliseconds + (retrySpreadMilliseconds * host.random.nextFraction()),
		handleRequest,
		maintain() {
			const now = host.getNow();
			updateParts(now);
			wallet.forget(now);
			for (const [workspace, at] of limitedAt) {
				if (now - at > limitedMilliseconds) {
					limitedAt.delete(workspace);
					host.logger.info('workspace-limit-changed', {workspace, isLimited: false});
				}
			}

			for (const [workspace, {expiresAt}] of coordinatorsByWorkspace) {
				if (now >= expiresAt) {
					coordinatorsByWorkspace.delete(workspace);
				}
			}

			for (const [workspace, queue] of queues) {
				if (!queue.isAsking) {
					queues.delete(workspace);
				}
			}
		},
		close() {
			host.client.close();
		},
	};
}

function getResult(response: allowanceIssuer.AdmissionResponse): AdmissionResult {
	return response.kind === 'issued' && response.retryAfterMilliseconds > 0 ? 'limited' : response.kind;
}
