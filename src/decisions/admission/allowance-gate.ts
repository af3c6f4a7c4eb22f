/** Admits the requests of workspaces by the shares that the ledger granted, and counts them for the next report. */
import type * as randomness from '../random.ts';
import type * as allowanceLedger from './allowance-ledger.ts';

/** Gate of one entry. */
export type AllowanceGate = {
	/** Counts a request, and returns whether it is admitted. */
	admit(workspace: string, now: number): boolean;
	/** Returns the counts since the last call, and starts to count anew. */
	takeUsages(): readonly allowanceLedger.Usage[];
	/** Counts again what could not be reported. */
	restoreUsages(usages: readonly allowanceLedger.Usage[]): void;
	applyGrants(grants: readonly allowanceLedger.Grant[], now: number): void;
	/** Returns the number of requests that were admitted since the last call while the ledger had not answered for a while. */
	takeUnheard(): number;
	/** Time after which a caller that was not admitted should return, in milliseconds. */
	getRetryMilliseconds(): number;
};

/** Time for which a grant holds without another one, in milliseconds. */
const grantMilliseconds = 3000;
/** Time without an answer of the ledger after which admitted requests are counted apart, in milliseconds. */
const unheardMilliseconds = 1000;
/** Shortest time until a caller should return, in milliseconds, and the time over which they are spread. */
const retryMilliseconds = 500;
const retrySpreadMilliseconds = 1500;

/** Creates a gate without grants, which admits all requests. */
export function createAllowanceGate(random: randomness.RandomSource): AllowanceGate {
	const grants = new Map<string, {readonly admittedShare: number; readonly at: number}>();
	let answeredAt = Number.NEGATIVE_INFINITY;
	let unheard = 0;
	let usages = new Map<string, {arrived: number; admitted: number}>();

	function count(workspace: string, arrived: number, admitted: number): void {
		const usage = usages.get(workspace) ?? {arrived: 0, admitted: 0};
		usage.arrived += arrived;
		usage.admitted += admitted;
		usages.set(workspace, usage);
	}

	return {
		admit(workspace, now) {
			const grant = grants.get(workspace);
			const isAdmitted = !grant || now - grant.at > grantMilliseconds || random.nextFraction() < grant.admittedShare;
			count(workspace, 1, isAdmitted ? 1 : 0);
			unheard += isAdmitted && now - answeredAt > unheardMilliseconds ? 1 : 0;
			return isAdmitted;
		},
		takeUsages() {
			const taken = [...usages].map(([workspace, usage]) => ({workspace, ...usage}));
			usages = new Map();
			return taken;
		},
		restoreUsages(restored) {
			for (const {workspace, arrived, admitted} of restored) {
				count(workspace, arrived, admitted);
			}
		},
		applyGrants(granted, now) {
			answeredAt = now;
			for (const {workspace, admittedShare} of granted) {
				grants.set(workspace, {admittedShare, at: now});
			}
		},
		takeUnheard() {
			const taken = unheard;
			unheard = 0;
			return taken;
		},
		getRetryMilliseconds: () => retryMilliseconds + (retrySpreadMilliseconds * random.nextFraction()),
	};
}
