/**
Keeps the allowances of workspaces over all entries.

One entry keeps the ledger; all entries agree on it by rendezvous hashing, as for the coordinators of permits. An entry
reports to it while requests of workspaces arrive, and a few times after that.
*/
import * as allowanceGate from '../decisions/admission/allowance-gate.ts';
import * as allowanceLedger from '../decisions/admission/allowance-ledger.ts';
import * as permitRoles from '../decisions/backpressure/permit-roles.ts';
import * as entryCount from '../decisions/sharing/entry-count.ts';
import type * as configuration from '../decisions/configuration/types.ts';
import type * as randomness from '../decisions/random.ts';
import type * as sharing from '../decisions/sharing/types.ts';
import type * as logger from '../observability/logger.ts';
import type * as peerAllowances from '../peers/allowances.ts';

/** Dependencies of the allowances of an entry. */
export type AllowancesHost = {
	readonly client: peerAllowances.AllowanceClient;
	readonly logger: logger.Logger;
	readonly random: randomness.RandomSource;
	/** Name of this entry. */
	readonly name: string;
	/** Lists the workspaces of the configuration in force. */
	listWorkspaces(): readonly configuration.Workspace[];
	listMembers(): readonly sharing.Member[];
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
};

/** The allowances of an entry. */
export type Allowances = {
	/** Counts a request of a workspace, and returns whether it is admitted. */
	admit(workspace: configuration.Workspace): boolean;
	getRetryMilliseconds(): number;
	/** Answers another entry that reports its requests. */
	handleReport(report: peerAllowances.UsageReport): readonly allowanceLedger.Grant[];
	close(): void;
};

/** Identifier by which the entry with the ledger is chosen. */
const ledgerId = 'allowances';
/** Time without requests after which an entry reports no more, in milliseconds; grants end by themselves. */
const quietMilliseconds = 3000;
/** Time for an answer above which it is logged, in milliseconds. */
const slowAnswerMilliseconds = 100;
/** Time for which the chosen entry and the allowances by name are used, in milliseconds. */
const lookupMilliseconds = 200;

/** Creates the allowances of an entry. */
export function createAllowances(host: AllowancesHost): Allowances {
	const gate = allowanceGate.createAllowanceGate(host.random);
	const ledger = allowanceLedger.createAllowanceLedger();
	const largestCount = entryCount.createLargestEntryCount();
	const limited = new Set<string>();
	let reportTimer: NodeJS.Timeout | undefined;
	let keeperName: string | undefined;
	let latestRequestAt = Number.NEGATIVE_INFINITY;
	let lookup: {readonly keeper: sharing.Member | undefined; readonly allowances: ReadonlyMap<string, allowanceLedger.Allowance>; readonly visibleShare: number; readonly expiresAt: number} | undefined;

	function getLookup(now: number) {
		if (!lookup || now >= lookup.expiresAt) {
			const members = host.listMembers();
			lookup = {
				keeper: permitRoles.findFirstReady(ledgerId, members),
				allowances: new Map(host.listWorkspaces().flatMap(({name, allowance}) => allowance ? [[name, allowance] as const] : [])),
				visibleShare: members.length / largestCount.observe(members.length, now),
				expiresAt: now + lookupMilliseconds,
			};
		}

		return lookup;
	}

	function handleReport({usages}: peerAllowances.UsageReport): readonly allowanceLedger.Grant[] {
		const now = host.getNow();
		const {allowances, visibleShare} = getLookup(now);
		return ledger.report(usages, workspace => allowances.get(workspace), visibleShare, now);
	}

	async function report(): Promise<void> {
		const {keeper} = getLookup(host.getNow());
		if (!keeper) {
			return;
		}

		recordKeeper(keeper.name);
		const usages = gate.takeUsages();
		if (keeper.name === host.name) {
			applyGrants(handleReport({entry: host.name, usages}));
			return;
		}

		const askedAt = host.getNow();
		const result = await host.client.report(keeper.peerAddress, {entry: host.name, usages});
		const milliseconds = Math.round(host.getNow() - askedAt);
		if (milliseconds > slowAnswerMilliseconds) {
			host.logger.info('allowance-answer-slow', {keeper: keeper.name, milliseconds});
		}

		const unheard = gate.takeUnheard();
		if (unheard > 0) {
			host.logger.warn('requests-admitted-unheard', {keeper: keeper.name, count: unheard});
		}

		if (result.isOk()) {
			applyGrants(result.value);
		} else {
			gate.restoreUsages(usages);
			host.logger.warn('allowance-report-failed', {keeper: keeper.name, reason: result.error.message});
		}
	}

	function recordKeeper(name: string): void {
		if (name !== keeperName) {
			host.logger.info('allowance-keeper-changed', {keeper: name, previous: keeperName, members: host.listMembers().length});
			keeperName = name;
		}
	}

	function applyGrants(grants: readonly allowanceLedger.Grant[]): void {
		gate.applyGrants(grants, host.getNow());
		for (const {workspace, admittedShare} of grants) {
			const isLimited = admittedShare < 1;
			if (isLimited !== limited.has(workspace)) {
				host.logger.info('workspace-limit-changed', {workspace, isLimited, admittedShare: Number(admittedShare.toFixed(2))});
			}

			if (isLimited) {
				limited.add(workspace);
			} else {
				limited.delete(workspace);
			}
		}
	}

	function scheduleReport(): void {
		reportTimer ??= setTimeout(() => {
			void runReport();
		}, allowanceLedger.reportMilliseconds);
	}

	async function runReport(): Promise<void> {
		await report();
		reportTimer = undefined;
		if (host.getNow() - latestRequestAt < quietMilliseconds) {
			scheduleReport();
		}
	}

	return {
		admit({name, allowance}) {
			if (!allowance) {
				return true;
			}

			const now = host.getNow();
			latestRequestAt = now;
			scheduleReport();
			return gate.admit(name, now);
		},
		getRetryMilliseconds: gate.getRetryMilliseconds,
		handleReport,
		close() {
			clearTimeout(reportTimer);
			latestRequestAt = Number.NEGATIVE_INFINITY;
			host.client.close();
		},
	};
}
