/** Tells metrics, traces and the review figures how calls went. */
import {type Metrics} from '../observability/metrics.ts';
import {type Call} from './call.ts';
import {type ReviewWriter} from './review-writer.ts';
import {type CallEnd} from './running-call.ts';

export type CallObserverHost = {
	readonly metrics: Metrics;
	readonly reviewWriter: Pick<ReviewWriter, 'record'>;
	readonly failureDomain: string;
	/** Present time in milliseconds of a monotonic clock. */
	getNow(): number;
};

export type CallObserver = {
	start(call: Call): void;
	/** Each started call ends exactly once. */
	end(call: Call, end: CallEnd): void;
};

/** Creates the observer of the calls of one entry. */
export function createCallObserver(host: CallObserverHost): CallObserver {
	const resolveMetrics = (call: Call) => host.metrics.resolveOperation(call.service, call.operation.operation);

	return {
		start(call) {
			resolveMetrics(call).startCall();
		},
		end(call, {refusalReason, ...rest}) {
			const operationMetrics = resolveMetrics(call);
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
