/** Starts exchanges: one at a steady interval, and a few at once when something urgent changed. */
import {
	exchangeIntervalMilliseconds, partnerRotationMilliseconds, urgentIntervalMilliseconds, urgentPartnerCount, urgentRoundCount,
} from '../decisions/membership/constants.ts';
import {choosePartners, shuffle} from '../decisions/membership/partners.ts';
import {type RandomSource} from '../decisions/random.ts';

export type ExchangeLoopHost = {
	readonly random: RandomSource;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
	/** Peer addresses of all entries that may be partners. */
	getCandidates(): readonly string[];
	/** Acts on the passage of time, before each exchange at the steady interval. */
	beat(): void;
	/** Exchanges digests with a partner; resolves to whether it answered. */
	exchange(address: string): Promise<boolean>;
};

export type ExchangeLoop = {
	start(): void;
	/** Exchanges with a few partners at once; resolves when they have answered or failed. */
	wake(): Promise<void>;
	stop(): void;
};

/** Time for which a partner that failed is chosen last. */
const failedMilliseconds = 5000;

/** Share of the interval by which each one differs, so that entries don't act in step. */
const jitterShare = 0.2;

/** Creates the loop; call `start` to begin. */
export function createExchangeLoop(host: ExchangeLoopHost): ExchangeLoop {
	const failedAt = new Map<string, number>();
	const busy = new Set<string>();
	let partners: readonly string[] = [];
	let rotatedAt = host.getNow();
	let wokenAt = Number.NEGATIVE_INFINITY;
	let timer: NodeJS.Timeout | undefined;
	let urgent: Promise<void> | undefined;
	let roundsLeft = 0;
	let isStopped = false;

	function updatePartners(): void {
		const now = host.getNow();
		const dropped = new Set<string>();
		for (const [address, time] of failedAt) {
			if (now - time < failedMilliseconds) {
				dropped.add(address);
			} else {
				failedAt.delete(address);
			}
		}

		if (now - rotatedAt >= partnerRotationMilliseconds) {
			rotatedAt = now;
			partners = shuffle(partners, host.random).slice(1);
		}

		partners = choosePartners(host.getCandidates(), partners, dropped, host.random);
	}

	async function exchange(address: string): Promise<void> {
		busy.add(address);
		const isAnswered = await host.exchange(address);
		busy.delete(address);
		if (!isAnswered) {
			failedAt.set(address, host.getNow());
		}
	}

	function getFree(): readonly string[] {
		return shuffle(partners.filter(address => !busy.has(address)), host.random);
	}

	function runSteady(): void {
		host.beat();
		updatePartners();
		const [partner] = getFree();
		if (partner !== undefined) {
			void exchange(partner);
		}

		schedule();
	}

	function schedule(): void {
		if (isStopped) {
			return;
		}

		const factor = 1 + (jitterShare * ((2 * host.random.nextFraction()) - 1));
		timer = setTimeout(runSteady, exchangeIntervalMilliseconds * factor);
	}

	/** Runs the rounds that are due, each with partners that it need not wait for. */
	async function runUrgent(): Promise<void> {
		const exchanges: Array<Promise<void>> = [];
		while (roundsLeft > 0) {
			roundsLeft--;
			await wait(wokenAt + urgentIntervalMilliseconds - host.getNow());
			wokenAt = host.getNow();
			updatePartners();
			exchanges.push(...getFree().slice(0, urgentPartnerCount).map(async partner => exchange(partner)));
		}

		urgent = undefined;
		await Promise.all(exchanges);
	}

	return {
		start: runSteady,
		async wake() {
			roundsLeft = isStopped ? 0 : urgentRoundCount;
			urgent ??= runUrgent();
			return urgent;
		},
		stop() {
			isStopped = true;
			roundsLeft = 0;
			clearTimeout(timer);
		},
	};
}

async function wait(milliseconds: number): Promise<void> {
	if (milliseconds > 0) {
		await new Promise(resolve => {
			setTimeout(resolve, milliseconds);
		});
	}
}
