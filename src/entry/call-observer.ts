/** Records the results of calls in metrics, traces and review records. */
import {type Metrics} from '../observability/metrics.ts';
import {type Call} from './call.ts';
import {type ReviewWriter} from './review-writer.ts';
import {type CallEnd} from './running-call.ts';

/** Dependencies of a call observer. */
export type CallObserverHost = {
	readonly metrics: Metrics;
	readonly reviewWriter: Pick<ReviewWriter, 'record'>;
	readonly failureDomain: string;
	/** Current time of a monotonic clock, in milliseconds. */
	getNow(): number;
};

/** Observes the start and the end of each call. */
export type CallObserver = {
	start(call: Call): void;
	/** Records the end of a call; must be called exactly once for each started call. */
	end(call: Call, end: CallEnd): void;
};

/** Creates the observer for the calls of one entry. */
export function createCallObserver(host: CallObserverHost): CallObserver {
	const getOperationMetrics = (call: Call) => host.metrics.resolveOperation(call.service, call.operation.operation);

	return {
		start(call) {
			getOperationMetrics(call).startCall();
		},
		end(call, {refusalReason, ...rest}) {
			const operationMetrics = getOperationMetrics(call);
			if (refusalReason) {
				operationMetrics.recordRefusal(refusalReason);
			}

			const observation = {
				...rest,
				service: call.service,
				operation: call.operation.operation,
				failureDomain: host.failureDomain,
				totalMilliseconds: host.getNow() - call.receivedAt,
			};
			operationMetrics.finishCall(observation);
			host.reviewWriter.record(observation);
			call.hop.end(rest.result === 'answered' ? undefined : rest.result);
		},
	};
}
