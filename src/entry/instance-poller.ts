/**
Polls the instance list; the last answer stays in effect during outages.

A long list is polled less often, to bound the network traffic.
*/
import {type Logger} from '../observability/logger.ts';
import {type InstanceListHost, type InstanceRecord} from '../platform/types.ts';

export type InstancePollerHost = {
	readonly instanceList: InstanceListHost;
	readonly logger: Logger;
	/** Called with each list that differs from the previous one. */
	onChange(instances: readonly InstanceRecord[]): void;
};

export type InstancePollerOptions = {
	readonly intervalMilliseconds: number;
	readonly timeoutMilliseconds: number;
};

export type InstancePoller = {
	/** Resolves after the first read, whether it succeeded or not. */
	start(): Promise<void>;
	stop(): void;
};

/** Limit on the average read rate of the list; its length in characters stands for its size in bytes. */
const maximumBytesPerSecond = 4096;

/** Creates the poller; call `start` to begin. */
export function createInstancePoller(host: InstancePollerHost, options: InstancePollerOptions): InstancePoller {
	let lastListJson = '';
	let isFailing = false;
	let isStopped = false;
	let timer: NodeJS.Timeout | undefined;

	/** Logs the first failure and the recovery; `reason` is undefined after a successful read. */
	function logHealthChange(reason: string | undefined): void {
		if (reason === undefined && isFailing) {
			host.logger.info('instance-list-recovered');
		} else if (reason !== undefined && !isFailing) {
			host.logger.warn('instance-list-failed', {reason});
		}

		isFailing = reason !== undefined;
	}

	function publishIfChanged(instances: readonly InstanceRecord[]): void {
		const listJson = JSON.stringify(instances);
		if (listJson !== lastListJson) {
			lastListJson = listJson;
			host.onChange(instances);
		}
	}

	async function poll(): Promise<void> {
		const result = await host.instanceList.list(options.timeoutMilliseconds);
		if (isStopped) {
			return;
		}

		logHealthChange(result.isErr() ? result.error.message : undefined);
		if (result.isOk()) {
			publishIfChanged(result.value);
		}

		timer = setTimeout(() => {
			void poll();
		}, Math.max(options.intervalMilliseconds, 1000 * lastListJson.length / maximumBytesPerSecond));
	}

	return {
		start: poll,
		stop() {
			isStopped = true;
			clearTimeout(timer);
		},
	};
}
