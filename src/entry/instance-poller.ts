/**
Reads the instance list at an interval and keeps the last answer through outages.

A long list is read less often, so that reading it takes a bounded part of the network.
*/
import {type Logger} from '../observability/logger.ts';
import {type InstanceListHost, type InstanceRecord} from '../platform/types.ts';

export type InstancePollerHost = {
	readonly instanceList: InstanceListHost;
	readonly logger: Logger;
	/** Takes each answer that differs from the one before. */
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

/** Bytes of the list that are read in a second, on average. */
const bytesPerSecond = 4096;

/** Creates the poller; call `start` to begin. */
export function createInstancePoller(host: InstancePollerHost, options: InstancePollerOptions): InstancePoller {
	let last = '';
	let isFailing = false;
	let isStopped = false;
	let timer: NodeJS.Timeout | undefined;

	function noteHealth(reason: string | undefined): void {
		if (reason === undefined && isFailing) {
			host.logger.info('instance-list-recovered');
		} else if (reason !== undefined && !isFailing) {
			host.logger.warn('instance-list-failed', {reason});
		}

		isFailing = reason !== undefined;
	}

	function take(instances: readonly InstanceRecord[]): void {
		const text = JSON.stringify(instances);
		if (text !== last) {
			last = text;
			host.onChange(instances);
		}
	}

	async function poll(): Promise<void> {
		const result = await host.instanceList.list(options.timeoutMilliseconds);
		if (isStopped) {
			return;
		}

		noteHealth(result.isErr() ? result.error.message : undefined);
		if (result.isOk()) {
			take(result.value);
		}

		timer = setTimeout(() => {
			void poll();
		}, Math.max(options.intervalMilliseconds, 1000 * last.length / bytesPerSecond));
	}

	return {
		start: poll,
		stop() {
			isStopped = true;
			clearTimeout(timer);
		},
	};
}
