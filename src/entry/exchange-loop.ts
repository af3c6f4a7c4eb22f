/** Schedules digest exchanges: one per steady interval, and several at once after an urgent change. */
import {
	exchangeIntervalMilliseconds, partnerRotationMilliseconds, urgentIntervalMilliseconds, urgentPartnerCount, urgentRoundCount,
} from '../decisions/membership/constants.ts';
import {choosePartners, shuffle} from '../decisions/membership/partners.ts';
import {type RandomSource} from '../decisions/random.ts';

export type ExchangeLoopHost = {
	readonly random: RandomSource;
	/** Current time in milliseconds of a monotonic clock. */
	getNow(): number;
	/** Peer addresses of all entries that may be partners. */
	getCandidates(): readonly string[];
	/** Called before each exchange at the steady interval; raises the heartbeat and applies timeouts. */
	onSteadyInterval(): void;
	/** Exchanges digests with a partner; resolves to whether the partner answered. */
	exchange(address: string): Promise<boolean>;
};

export type ExchangeLoop = {
	start(): void;
	/** Exchanges digests with several partners at once; resolves when all of them have answered or failed. */
	exchangeUrgently(): Promise<void>;
	stop(): void;
};

/** Time for which a partner is chosen last after a failed exchange. */
const failedPartnerAvoidanceMilliseconds = 5000;

/** Largest random deviation as a share of the interval, so that entries don't synchronize. */
const jitterShare = 0.2;

/** Creates the loop; call `start` to begin. */
export function createExchangeLoop(host: ExchangeLoopHost): ExchangeLoop {
	const failedAt = new Map<string, number>();
	const activeAddresses = new Set<string>();
	let partners: readonly string[] = [];
	let rotatedAt = host.getNow();
	let lastUrgentRoundAt = Number.NEGATIVE_INFINITY;
	let timer: NodeJS.Timeout | undefined;
	let urgentRounds: Promise<void> | undefined;
	let urgentRoundsLeft = 0;
	let isStopped = false;

	function updatePartners(): void {
		const now = host.getNow();
		const recentlyFailed = new Set<string>();
		for (const [address, time] of failedAt) {
			if (now - time < failedPartnerAvoidanceMilliseconds) {
				recentlyFailed.add(address);
			} else {
				failedAt.delete(address);
			}
		}

		if (now - rotatedAt >= partnerRotationMilliseconds) {
			rotatedAt = now;
			partners = shuffle(partners, host.random).slice(1);
		}

		partners = choosePartners(host.getCandidates(), partners, recentlyFailed, host.random);
	}

	async function exchangeWithPartner(address: string): Promise<void> {
		activeAddresses.add(address);
		const isAnswered = await host.exchange(address);
		activeAddresses.delete(address);
		if (!isAnswered) {
			failedAt.set(address, host.getNow());
		}
	}

	function listIdlePartners(): readonly string[] {
		return shuffle(partners.filter(address => !activeAddresses.has(address)), host.random);
	}

	function runSteadyExchange(): void {
		host.onSteadyInterval();
		updatePartners();
		const [partner] = listIdlePartners();
		if (partner !== undefined) {
			void exchangeWithPartner(partner);
		}

		scheduleSteadyExchange();
	}

	function scheduleSteadyExchange(): void {
		if (isStopped) {
			return;
		}

		const factor = 1 + (jitterShare * ((2 * host.random.nextFraction()) - 1));
		timer = setTimeout(runSteadyExchange, exchangeIntervalMilliseconds * factor);
	}

	/** Runs the remaining urgent rounds, each with partners that have no exchange in progress. */
	async function runUrgentRounds(): Promise<void> {
		const exchanges: Array<Promise<void>> = [];
		while (urgentRoundsLeft > 0) {
			urgentRoundsLeft--;
			await wait(lastUrgentRoundAt + urgentIntervalMilliseconds - host.getNow());
			lastUrgentRoundAt = host.getNow();
			updatePartners();
			exchanges.push(...listIdlePartners().slice(0, urgentPartnerCount).map(async partner => exchangeWithPartner(partner)));
		}

		urgentRounds = undefined;
		await Promise.all(exchanges);
	}

	return {
		start: runSteadyExchange,
		async exchangeUrgently() {
			urgentRoundsLeft = isStopped ? 0 : urgentRoundCount;
			urgentRounds ??= runUrgentRounds();
			return urgentRounds;
		},
		stop() {
			isStopped = true;
			urgentRoundsLeft = 0;
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
